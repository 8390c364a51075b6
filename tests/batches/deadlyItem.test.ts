/**
 * Guards against an item that crashes one engine after the other: a run that broke off
 * was repeated on the next engine without limit. After three crashes the item is sent
 * to no engine, while the others of its batch continue. fleet/deadlyRequest covers the
 * same for single requests.
 */
import test, { type ExecutionContext } from 'ava'
import { ResultState } from '../../src/protocol/batches.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const ENGINES_COUNT = 6
/** The route allows an item to be abandoned after twelve seconds. */
const MAX_QUEUE_MS = 12_000
const DEADLY = 'deadly'

/** Each engine that runs the item crashes, together with all its other runs. */
async function start (t: ExecutionContext): Promise<StoreWorld> {
  const engines = Array.from({ length: ENGINES_COUNT }, (_value, position) => engine(`e${position + 1}`, 1))
  const world = await new StoreWorld({ engines }).start()
  t.teardown(() => world.close())
  world.endpoints.onRun = ({ attemptId, endpoint, afterEventId }) => {
    if (attemptId !== DEADLY) return { eventsCount: 3, gapMs: 10, version: 1 }
    world.endpoints.refusing.add(endpoint.address)
    return { eventsCount: 9, gapMs: 20, version: 1, breaksAfterEventId: (afterEventId ?? 0) + 1, isConnectionLost: true }
  }
  return world
}

function runsOf ({ endpoints }: StoreWorld): string[] {
  return endpoints.runs.filter(({ attemptId }) => attemptId === DEADLY).map(({ endpoint }) => endpoint.endpointId)
}

test('should send an item that crashed three engines to no further engine', async t => {
  const world = await start(t)
  await world.submit(submission('b1', [DEADLY]))
  await world.clock.advance(MAX_QUEUE_MS / 2)
  t.is(new Set(runsOf(world)).size, 3, `ran on ${runsOf(world).join(', ')}`)
  t.deepEqual(world.state.get('b1')?.results, [], 'the item may not be abandoned yet')
})

test('should abandon such an item when its route allows it, and list the other items before', async t => {
  const world = await start(t)
  await world.submit(submission('b1', ['i1', DEADLY, 'i2', 'i3']))
  await world.untilListed('b1', 3, 5_000)
  await world.untilListed('b1', 4, MAX_QUEUE_MS + 2_000)
  const states = world.state.get('b1')?.results.map(({ itemId, state }) => [itemId, state])
  t.deepEqual(states?.at(-1), [DEADLY, ResultState.Abandoned])
  t.is(states?.filter(([, state]) => state === ResultState.Completed).length, 3)
})
