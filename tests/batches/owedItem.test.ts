/**
 * Items that were handed in for later are never requests that crash engines by
 * themselves: an item under which engines crashed is still owed, however many crashed,
 * and however they did. Requests of callers that crash endpoints are withheld:
 * fleet/deadlyRequest.
 */
import test, { type ExecutionContext } from 'ava'
import { ResultState } from '../../src/protocol/batches.js'
import { digestOf, QuarantineVerdict } from '../../src/protocol/quarantine.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { endpoint, engine, HOST } from '../fixtures/fleet/fleetFixtures.js'
import { answered, type EngineScript } from '../fixtures/fleet/scriptedEndpoints.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const ENGINES_COUNT = 6
/** The route allows an item to be abandoned after twelve seconds. */
const MAX_QUEUE_MS = 12_000
const UNLUCKY = 'unlucky'
/** Nothing keeps an item from a sound engine for longer, once one is free. */
const MAX_IDLE_MS = 1_000
const EVENTS_COUNT = 9
const DOWN: EngineScript = { eventsCount: 0, gapMs: 0, version: 1, refuses: { kind: 'unreached', reason: 'ECONNREFUSED', isRefused: true } }

async function start (t: ExecutionContext, enginesCount = ENGINES_COUNT): Promise<StoreWorld> {
  const engines = Array.from({ length: enginesCount }, (_value, position) => engine(`e${position + 1}`, 1))
  const world = await new StoreWorld({ engines }).start()
  t.teardown(() => world.close())
  return world
}

/** Each engine crashes under the item, in turn, until this many have; they do not come back. */
function crashUnder (world: StoreWorld, crashesCount: number): void {
  world.endpoints.onRun = ({ attemptId, endpoint: { address }, afterEventId }) => {
    if (world.endpoints.refusing.has(address)) return DOWN
    if (attemptId !== UNLUCKY) return { eventsCount: 3, gapMs: 10, version: 1 }
    if (world.endpoints.refusing.size >= crashesCount) return { eventsCount: EVENTS_COUNT, gapMs: 20, version: 1 }
    world.endpoints.refusing.add(address)
    return { eventsCount: EVENTS_COUNT, gapMs: 20, version: 1, breaksAfterEventId: (afterEventId ?? 0) + 1, isConnectionLost: true }
  }
}

function runsOf ({ endpoints }: StoreWorld): string[] {
  return endpoints.runs.filter(({ attemptId }) => attemptId === UNLUCKY).map(({ endpoint: { endpointId } }) => endpointId)
}

function stateOf (world: StoreWorld, batchId: string): ResultState | undefined {
  return world.state.get(batchId)?.results.find(({ itemId }) => itemId === UNLUCKY)?.state
}

// After three crashes the item was sent to no engine for four hours.
test('should send an item under which engines crashed, one after the other, to the next engine', async t => {
  for (const crashesCount of [3, 4, 5]) {
    const world = await start(t)
    crashUnder(world, crashesCount)
    await world.submit(submission('b1', [UNLUCKY]))
    await world.untilListed('b1', 1, MAX_QUEUE_MS / 2)
    t.is(stateOf(world, 'b1'), ResultState.Completed)
    t.is(new Set(runsOf(world)).size, crashesCount + 1, `ran on ${runsOf(world).join(', ')}`)
    world.close()
  }
})

// One crash of a whole rack counted once for each engine.
test('should run all items at once again after all engines crashed at the same moment, again and again', async t => {
  const world = await start(t)
  let isDown = false
  world.endpoints.onRun = () => (isDown ? DOWN : { eventsCount: 20, gapMs: 100, version: 1 })
  const itemIds = Array.from({ length: 12 }, (_value, position) => `i${position + 1}`)
  const batch = submission('b1', itemIds)
  // The items of a group have equal bodies.
  await world.submit({ ...batch, items: batch.items.map(item => ({ ...item, path: '/hints/same', body: Uint8Array.from([1]) })) })
  for (let round = 0; round < 4; round++) {
    await world.clock.advance(300)
    isDown = true
    for (const { address } of world.view.ready()) world.endpoints.refusing.add(address)
    world.endpoints.breakAll()
    await world.clock.advance(400)
    isDown = false
    world.endpoints.refusing.clear()
  }
  const sinceCount = world.endpoints.runs.length
  await world.clock.advance(MAX_IDLE_MS)
  t.deepEqual([...new Set(world.endpoints.runs.slice(sinceCount).map(({ attemptId }) => attemptId))].sort(), [...itemIds].sort())
  await world.untilListed('b1', itemIds.length, 8_000)
  t.is(world.state.get('b1')?.results.filter(({ state }) => state === ResultState.Completed).length, itemIds.length)
})

test('should send an item on after a change of leader, and in the next step, whatever was noted of it', async t => {
  const world = await start(t)
  const { path, body } = submission('b1', [UNLUCKY]).items[0]!
  // What a build has left that condemned items.
  const digest = digestOf({ host: HOST, method: 'POST', path, body })
  world.view.merge('control-1', { quarantine: [{ number: 1, digest, verdict: QuarantineVerdict.Condemned, endpointIds: ['x1', 'x2', 'x3'], endedAtMs: world.clock.wallMs() }] })
  crashUnder(world, 3)
  await world.submit(submission('b1', [UNLUCKY]))
  await world.clock.advance(200)
  world.stopDispatching()
  world.startDispatching()
  await world.clock.advance(200)
  await world.end('b1')
  await world.submit(submission('b2', [UNLUCKY]))
  await world.untilListed('b2', 1, MAX_QUEUE_MS / 2)
  t.is(stateOf(world, 'b2'), ResultState.Completed)
})

test('should score an item whose reward calls crash endpoints', async t => {
  const scorers = Array.from({ length: 5 }, (_value, position) => endpoint(`s${position + 1}`, { address: `10.9.1.${position + 1}:80` }))
  const world = await new StoreWorld({ engines: [engine('e1', 1), ...scorers] }).start()
  t.teardown(() => world.close())
  const crashed = new Set<string>()
  world.endpoints.onCall = ({ endpoint: { address } }) => {
    if (crashed.size >= 4) return { afterMs: 10, outcome: answered() }
    crashed.add(address)
    world.endpoints.refusing.add(address)
    return { afterMs: 10, outcome: { kind: 'broken', reason: 'scripted', isConnectionLost: true } }
  }
  await world.submit(submission('b1', ['i1']))
  await world.untilListed('b1', 1, MAX_QUEUE_MS / 2)
  t.is(crashed.size, 4)
  t.is(world.state.get('b1')?.results[0]?.state, ResultState.Completed)
})

test('should abandon an item for which no engine is left when its route allows it, and list the other items before', async t => {
  const world = await start(t)
  crashUnder(world, Number.POSITIVE_INFINITY)
  await world.submit(submission('b1', ['i1', UNLUCKY, 'i2', 'i3']))
  await world.untilListed('b1', 3, 5_000)
  await world.untilListed('b1', 4, MAX_QUEUE_MS + 2_000)
  const states = world.state.get('b1')?.results.map(({ itemId, state }) => [itemId, state])
  t.deepEqual(states?.at(-1), [UNLUCKY, ResultState.Abandoned])
  t.is(states?.filter(([, state]) => state === ResultState.Completed).length, 3)
})
