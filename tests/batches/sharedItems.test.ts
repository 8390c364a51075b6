/**
 * Items that stand in two batches of which both are open: the end of the earlier one
 * stayed unanswered, and its trainer sent the groups that were not whole again.
 */
import test, { type ExecutionContext } from 'ava'
import { textOf } from '../../src/batches/outputParts.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { SampledTexts } from '../fixtures/fleet/sampledTexts.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const EVENTS_COUNT = 150
const ITEM_IDS = Array.from({ length: 8 }, (_value, position) => `i${position + 1}`)
/** Engines differ in speed. */
const GAPS_MS = [36, 36, 47]

interface World {
  store: StoreWorld
  texts: SampledTexts
}

async function start (t: ExecutionContext, hostsCount = 1): Promise<World> {
  const engines = Array.from({ length: 6 }, (_value, position) => engine(`e${position + 1}`, 1))
  const store = await new StoreWorld({ engines, hostsCount }).start()
  t.teardown(() => store.close())
  const texts = new SampledTexts()
  store.endpoints.onRun = request => {
    const position = engines.findIndex(({ endpointId }) => endpointId === request.endpoint.endpointId)
    return texts.script(request, { eventsCount: EVENTS_COUNT, gapMs: GAPS_MS[position % GAPS_MS.length] ?? 40, version: 1 })
  }
  return { store, texts }
}

function faultsIn ({ store, texts }: World, batchId: string): string[] {
  const results = store.state.get(batchId)?.results ?? []
  return results.flatMap(({ itemId, parts }) => texts.faultsOf(itemId, textOf(parts), EVENTS_COUNT))
}

// The runs of both batches stored their events under the id of the item, and where the counts met, a text went on with the events of the other run.
test('should not join the texts of two runs of an item that stands in two open batches', async t => {
  for (const laterAfterMs of [400, 1_000, 1_700, 2_300, 3_100]) {
    const world = await start(t)
    await world.store.submit(submission('b1', ITEM_IDS))
    await world.store.clock.advance(laterAfterMs)
    await world.store.submit(submission('b2', ITEM_IDS))
    await world.store.untilListed('b2', ITEM_IDS.length)
    await world.store.untilListed('b1', ITEM_IDS.length)
    t.deepEqual([...faultsIn(world, 'b1'), ...faultsIn(world, 'b2')], [], `second batch after ${laterAfterMs} ms`)
    t.deepEqual(world.store.failures, [])
    world.store.close()
  }
})

test('should not join the texts of two runs over changes of leader', async t => {
  for (const changeAfterMs of [300, 900, 1_500]) {
    const world = await start(t)
    await world.store.submit(submission('b1', ITEM_IDS))
    await world.store.clock.advance(1_000)
    await world.store.submit(submission('b2', ITEM_IDS))
    await world.store.clock.advance(changeAfterMs)
    world.store.stopDispatching()
    world.store.startDispatching()
    await world.store.clock.advance(changeAfterMs)
    world.store.stopDispatching()
    world.store.startDispatching()
    await world.store.untilListed('b2', ITEM_IDS.length)
    await world.store.untilListed('b1', ITEM_IDS.length)
    t.deepEqual([...faultsIn(world, 'b1'), ...faultsIn(world, 'b2')], [], `leaders change every ${changeAfterMs} ms`)
    t.deepEqual(world.store.failures, [])
    world.store.close()
  }
})

test('should run an item at one engine at a time, and give its result to all open batches that hold it', async t => {
  const world = await start(t)
  const { store, texts } = world
  await store.submit(submission('b1', ITEM_IDS))
  await store.clock.advance(1_000)
  await store.submit(submission('b2', ITEM_IDS))
  await store.clock.advance(1_000)
  t.is(store.runningCounts().reduce((sum, count) => sum + count, 0), ITEM_IDS.length)
  await store.untilListed('b1', ITEM_IDS.length)
  for (const itemId of ITEM_IDS) {
    const [, later] = texts.runsOf(itemId)
    t.true((later?.afterEventId ?? 0) > 0, `the second run of ${itemId} continues behind event ${later?.afterEventId}`)
    const resultIn = (batchId: string): string => textOf(store.state.get(batchId)?.results.find(result => result.itemId === itemId)?.parts ?? [])
    t.is(resultIn('b1'), resultIn('b2'))
  }
})

test('should go on with an item for the earlier batch when the later one ends without its result', async t => {
  const world = await start(t)
  const { store } = world
  await store.submit(submission('b1', ITEM_IDS))
  await store.clock.advance(1_000)
  await store.submit(submission('b2', ITEM_IDS))
  await store.clock.advance(1_000)
  await store.end('b2')
  await store.untilListed('b1', ITEM_IDS.length)
  t.deepEqual(faultsIn(world, 'b1'), [])
  t.deepEqual(store.state.get('b2')?.results, [])
  const fromStart = world.texts.runs.filter(({ afterEventId }) => afterEventId === 0)
  t.deepEqual(fromStart.map(({ itemId }) => itemId).sort(), ITEM_IDS, 'each item begins once, and then goes on')
})

// The text of another model's item with the same id was taken over.
test('should share nothing between items of two models with the same ids', async t => {
  const world = await start(t)
  const { store, texts } = world
  await store.submit(submission('b1', ITEM_IDS))
  await store.clock.advance(1_000)
  await store.submit(submission('b2', ITEM_IDS, { model: 'other-model' }))
  await store.untilListed('b2', ITEM_IDS.length)
  await store.untilListed('b1', ITEM_IDS.length)
  const fromStart = texts.runs.filter(({ afterEventId }) => afterEventId === 0)
  t.deepEqual(fromStart.map(({ itemId }) => itemId).sort(), ITEM_IDS.flatMap(itemId => [itemId, itemId]))
  t.deepEqual([...faultsIn(world, 'b1'), ...faultsIn(world, 'b2')], [])
})
