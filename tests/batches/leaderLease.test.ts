/**
 * A leader that runs items itself, because it is the only store host that can. After
 * a suspension of its machine another host may lead, of which it learns only later.
 */
import test, { type ExecutionContext } from 'ava'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { answered } from '../fixtures/fleet/scriptedEndpoints.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const ITEM_IDS = ['i1', 'i2', 'i3', 'i4']
const RUN_MS = 200
const LONG_MS = 3_000
/** Longer than the pauses before a call or run is repeated. */
const REPEATED_MS = 500

async function start (t: ExecutionContext): Promise<StoreWorld> {
  const world = await new StoreWorld({ engines: ['e1', 'e2'].map(id => engine(id, 1)) }).start()
  t.teardown(() => world.close())
  return world
}

// A leader that woke from a suspension repeated reward calls that the next leader had made meanwhile.
test('should make no more reward calls on a leader whose lease has ended', async t => {
  const world = await start(t)
  let areRewardsFull = true
  world.endpoints.onCall = () => ({ afterMs: 1, outcome: areRewardsFull ? { kind: 'notExecuted', status: 503, load: undefined } : answered() })
  await world.submit(submission('b1', ITEM_IDS))
  await world.clock.advance(RUN_MS + REPEATED_MS)
  t.true(world.endpoints.calls.length > 0)
  world.leaderHoldsLease = false
  areRewardsFull = false
  const callsCount = world.endpoints.calls.length
  await world.clock.advance(LONG_MS)
  t.is(world.endpoints.calls.length, callsCount)
  world.leaderHoldsLease = true
  await world.untilListed('b1', ITEM_IDS.length, REPEATED_MS)
  t.is(world.endpoints.calls.length, callsCount + ITEM_IDS.length)
  t.deepEqual(world.failures, [])
})

// A leader that woke from a suspension started items that another host ran.
test('should start no items on a leader whose lease has ended', async t => {
  const world = await start(t)
  world.leaderHoldsLease = false
  await world.submit(submission('b1', ITEM_IDS))
  await world.clock.advance(LONG_MS)
  t.is(world.endpoints.runs.length, 0)
  world.leaderHoldsLease = true
  await world.untilListed('b1', ITEM_IDS.length, RUN_MS + REPEATED_MS)
  t.is(world.endpoints.runs.length, ITEM_IDS.length)
  t.deepEqual(world.failures, [])
})
