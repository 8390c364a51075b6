/**
 * Which store hosts a leader takes for live: a host that is frozen or cut off gets
 * no tasks, also if that happened while it had none.
 */
import test, { type ExecutionContext } from 'ava'
import { FailureReason } from '../../src/endpoints/endpointHealth.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import type { WorkCosts } from '../fixtures/fleet/billedEndpoints.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const EVENTS_COUNT = 20
const GAP_MS = 20
const RUN_MS = EVENTS_COUNT * GAP_MS
/** Messages, turns of the dispatcher, and a commit. */
const AT_ONCE_MS = 60
/** Time after which no host is watched, as no step has begun. */
const QUIET_MS = 20_000
/** Time in which a host that does not answer is recognized, as it is watched. */
const NOTICED_MS = 500
const LONG_MS = 10_000
const FIRST_IDS = ['i1', 'i2', 'i3', 'i4']
const NEXT_IDS = ['n1', 'n2', 'n3', 'n4']
/** Hosts beside the leader whose messages are counted. */
const HOSTS_COUNT = 2
const MESSAGE_MS = 1 / 1024
/** One in 150 ms. */
const MAX_HEARTBEATS_PER_SECOND_COUNT = 7
/** A host of the world listens twice to each message and answers once. */
const CHARGES_PER_CALL = 3
const NO_COSTS: WorkCosts = { startMs: 0, eventMs: 0, rewardMs: 0, commitMs: 0, messageMs: 0 }

interface Start {
  itemId: string
  atMs: number
}

interface Store {
  world: StoreWorld
  /** Runs that the engines were asked for, in order. */
  starts: Start[]
}

async function startStore (t: ExecutionContext, hostsCount: number, costs = NO_COSTS): Promise<Store> {
  const engines = ['e1', 'e2'].map(id => engine(id, 1))
  const world = await new StoreWorld({ engines, hostsCount, processors: { share: 1, costs } }).start()
  t.teardown(() => world.close())
  const starts: Start[] = []
  world.endpoints.onRun = ({ attemptId }) => {
    starts.push({ itemId: attemptId, atMs: world.clock.nowMs() })
    return { eventsCount: EVENTS_COUNT, gapMs: GAP_MS, version: 1 }
  }
  return { world, starts }
}

async function runStep ({ world }: Store, batchId: string, itemIds: string[]): Promise<void> {
  await world.submit(submission(batchId, itemIds))
  await world.untilListed(batchId, itemIds.length)
  await world.end(batchId)
}

/** Submits the next step; returns how long it takes until the engines were asked for the first and for all of its items. */
async function startDelays ({ world, starts }: Store): Promise<{ firstMs: number, allMs: number }> {
  const fromMs = world.clock.nowMs()
  const fromCount = starts.length
  await world.submit(submission('next', NEXT_IDS))
  await world.untilListed('next', NEXT_IDS.length)
  const firstStarts = NEXT_IDS.map(itemId => starts.slice(fromCount).find(start => start.itemId === itemId)?.atMs ?? Number.NaN)
  return { firstMs: Math.min(...firstStarts) - fromMs, allMs: Math.max(...firstStarts) - fromMs }
}

async function checkStartsAtOnceAfter (t: ExecutionContext, fault: 'freeze' | 'suspend'): Promise<void> {
  const store = await startStore(t, 4)
  const { world } = store
  await runStep(store, 'first', FIRST_IDS)
  for (const hostId of ['h2', 'h3']) world[fault](hostId, LONG_MS)
  await world.clock.advance(NOTICED_MS)
  const { allMs } = await startDelays(store)
  t.true(allMs <= AT_ONCE_MS, `${allMs} ms`)
  await world.clock.advance(2 * LONG_MS)
  t.is(store.starts.length, FIRST_IDS.length + NEXT_IDS.length)
  t.deepEqual(world.failures, [])
}

// A host that froze while it had nothing to do was the first choice for the next step, which stood still for 600 ms.
test('should start a step at once on the hosts that answer, after a freeze of some without tasks', async t => await checkStartsAtOnceAfter(t, 'freeze'))

// The clock of a host that is suspended stands still, so that only its silence tells.
test('should start a step at once on the hosts that answer, after a suspension of some without tasks', async t => await checkStartsAtOnceAfter(t, 'suspend'))

// After a quiet time nobody knows which hosts are frozen; what waits for an answer must not begin later.
test('should give tasks to a host that was not watched only once it has answered', async t => {
  const store = await startStore(t, 2)
  const { world } = store
  await runStep(store, 'first', FIRST_IDS)
  await world.clock.advance(QUIET_MS)
  world.freeze('h2', LONG_MS)
  const { firstMs, allMs } = await startDelays(store)
  t.true(firstMs > AT_ONCE_MS && allMs <= 400, `${firstMs} to ${allMs} ms`)
  await world.clock.advance(2 * LONG_MS)
  t.is(store.starts.length, FIRST_IDS.length + NEXT_IDS.length)
  t.deepEqual(world.failures, [])
})

test('should lose little time with a host that was not watched and answers', async t => {
  const store = await startStore(t, 2)
  await runStep(store, 'first', FIRST_IDS)
  await store.world.clock.advance(QUIET_MS)
  // Engines that were idle for long get one run each at first, so only the first start shows what the hosts lose.
  const { firstMs } = await startDelays(store)
  t.true(firstMs <= AT_ONCE_MS, `${firstMs} ms`)
})

// A host whose lease had ended, as it no longer received messages of the leader, got its items back and did not answer for another 600 ms.
test('should not give items back to a host that no longer receives messages of the leader', async t => {
  const store = await startStore(t, 3)
  const { world, starts } = store
  const runMs = 2_000
  world.endpoints.onRun = ({ attemptId }) => {
    starts.push({ itemId: attemptId, atMs: world.clock.nowMs() })
    return { eventsCount: runMs / GAP_MS, gapMs: GAP_MS, version: 1 }
  }
  await world.submit(submission('first', FIRST_IDS))
  await world.clock.advance(RUN_MS)
  const [runner] = world.busyRunners()
  if (!runner) return t.fail('no host runs items')
  const cutAtMs = world.clock.nowMs()
  world.network.cutOneWay('h1', runner.hostId)
  await world.untilListed('first', FIRST_IDS.length)
  const again = starts.slice(FIRST_IDS.length)
  t.true(again.length > 0)
  const latestMs = Math.max(...again.map(({ atMs }) => atMs)) - cutAtMs
  t.true(latestMs <= 800, `${latestMs} ms after the messages were lost`)
})

// After a change of leader, the last item of a step went to an engine that did not answer, and its host was suspended before it could say so: the item waited for the end of the lease, although the leader knew of the engine.
test('should give up a run that has not begun when its engine is found unreachable, also when its host is lost', async t => {
  const { world, starts } = await startStore(t, 3)
  world.stopDispatching()
  const dispatcher = world.startDispatching()
  world.endpoints.onRun = ({ attemptId, endpoint: { endpointId } }) => {
    starts.push({ itemId: attemptId, atMs: world.clock.nowMs() })
    engineIds.push(endpointId)
    return { eventsCount: EVENTS_COUNT, gapMs: starts.length === 1 ? LONG_MS : GAP_MS, version: 1 }
  }
  const engineIds: string[] = []
  await world.submit(submission('first', ['i1']))
  await world.clock.advance(RUN_MS / 4)
  const [runner] = world.busyRunners()
  const dead = dispatcher.engines.ofService('engines').find(({ id }) => id === engineIds[0])
  if (!runner || !dead) return t.fail('no other host runs the item')
  world.suspend(runner.hostId, LONG_MS)
  await world.clock.advance(RUN_MS / 4)
  const foundAtMs = world.clock.nowMs()
  dead.health.failed(FailureReason.NoReport, foundAtMs)
  await world.untilListed('first', 1, LONG_MS)
  t.is(starts.length, 2)
  t.not(engineIds[1], engineIds[0])
  const delayMs = (starts[1]?.atMs ?? Number.NaN) - foundAtMs
  t.true(delayMs <= AT_ONCE_MS, `${delayMs} ms`)
  t.deepEqual(world.runningCounts(), [0, 0])
  t.deepEqual(world.failures, [])
})

test('should ask hosts for answers only while there are steps', async t => {
  const store = await startStore(t, 1 + HOSTS_COUNT, { ...NO_COSTS, messageMs: MESSAGE_MS })
  const { world } = store
  await runStep(store, 'first', FIRST_IDS)
  const used = (): number => world.processors.slice(1).reduce((sum, { usedMs }) => sum + usedMs, 0)
  // Until the last messages on the tasks of the step are sent.
  await world.clock.advance(NOTICED_MS)
  const beforeMs = used()
  await world.clock.advance(1_000)
  const watchedMs = used() - beforeMs
  t.true(watchedMs > 0 && watchedMs <= HOSTS_COUNT * MAX_HEARTBEATS_PER_SECOND_COUNT * CHARGES_PER_CALL * MESSAGE_MS, `${watchedMs} ms`)
  await world.clock.advance(QUIET_MS)
  const quietMs = used()
  await world.clock.advance(QUIET_MS)
  t.is(used(), quietMs)
})

// The slots of a step whose host was lost went to items of other steps that waited, so that the step had no run at all for seconds.
test('should start the items of a lost host again in their slots, before items that wait', async t => {
  const { world, starts } = await startStore(t, 2)
  await world.submit(submission('first', FIRST_IDS))
  await world.clock.advance(RUN_MS / 2)
  await world.submit(submission('next', NEXT_IDS, { expectedTokensCount: 1_000 }))
  const [runner] = world.busyRunners()
  if (!runner) return t.fail('no host runs items')
  const fromCount = starts.length
  world.kill(runner)
  await world.clock.advance(RUN_MS / 2)
  t.deepEqual(starts.slice(fromCount, fromCount + FIRST_IDS.length).map(({ itemId }) => itemId).sort(), FIRST_IDS)
  await world.untilListed('next', NEXT_IDS.length)
  t.deepEqual(world.runningCounts(), [0, 0])
})
