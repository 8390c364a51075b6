/**
 * Store hosts that run items for the leader, and what happens when they or the leader
 * are lost.
 */
import test, { type ExecutionContext } from 'ava'
import { textOf } from '../../src/batches/outputParts.js'
import { ResultState } from '../../src/protocol/batches.js'
import { PeerLinks } from '../../src/replication/log/peerLinks.js'
import { assignTasksMethod } from '../../src/transport/runnerMethods.js'
import { RpcHandlers, RpcPeer } from '../../src/transport/rpcPeer.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import type { WorkCosts } from '../fixtures/fleet/billedEndpoints.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import type { RunnerHost } from '../fixtures/fleet/runnerHost.js'
import { answered } from '../fixtures/fleet/scriptedEndpoints.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const EVENTS_COUNT = 100
const GAP_MS = 20
const RUN_MS = EVENTS_COUNT * GAP_MS
/** Long enough for some parts of each output, short enough that all runs are in progress. */
const BEFORE_FAULT_MS = 600
/** The time within which items continue at other hosts after theirs was lost without a word. */
const LOSS_KNOWN_MS = 900
const ITEM_IDS = ['i1', 'i2', 'i3', 'i4']
/** The shortest time after which a run counts as stalled. */
const MIN_STALL_MS = 400
const NO_COSTS: WorkCosts = { startMs: 0, eventMs: 0, rewardMs: 0, commitMs: 0, messageMs: 0 }

async function start (t: ExecutionContext, hostsCount = 3): Promise<StoreWorld> {
  const engines = ['e1', 'e2'].map(id => engine(id, 1))
  const world = await new StoreWorld({ engines, hostsCount, processors: { share: 1, costs: NO_COSTS } }).start()
  t.teardown(() => world.close())
  world.endpoints.onRun = () => ({ eventsCount: EVENTS_COUNT, gapMs: GAP_MS, version: 1 })
  return world
}

/** Starts four items and waits until they run; returns one of the hosts that run them. */
async function startItems (t: ExecutionContext, world: StoreWorld): Promise<RunnerHost> {
  await world.submit(submission('b1', ITEM_IDS))
  await world.clock.advance(BEFORE_FAULT_MS)
  const [runner] = world.busyRunners()
  t.truthy(runner, 'another host runs items')
  return runner as RunnerHost
}

async function checkAllListed (t: ExecutionContext, world: StoreWorld, withinMs: number): Promise<void> {
  await world.untilListed('b1', ITEM_IDS.length, withinMs)
  const results = world.state.get('b1')?.results ?? []
  t.deepEqual(results.map(({ itemId }) => itemId).sort(), ITEM_IDS)
  const expected = Array.from({ length: EVENTS_COUNT }, (_value, position) => `event ${position + 1}`).join('\n')
  for (const { state, parts, score } of results) {
    t.is(state, ResultState.Completed)
    t.is(textOf(parts), expected)
    t.is(score, 'receipt')
  }
  t.deepEqual(world.runningCounts(), [0, 0])
  t.deepEqual(world.failures, [])
}

function resumedAfterEventIds (world: StoreWorld): number[] {
  return world.endpoints.runs.flatMap(({ afterEventId }) => afterEventId ?? [])
}

test('should run items on the other store hosts, all runs of an engine on one host', async t => {
  const world = await start(t)
  await startItems(t, world)
  t.is(world.busyRunners().length, 2)
  await checkAllListed(t, world, RUN_MS)
  t.is(world.endpoints.runs.length, ITEM_IDS.length)
})

test('should run items on the leader when it is the only store host', async t => {
  const world = await start(t, 1)
  await world.submit(submission('b1', ITEM_IDS))
  await checkAllListed(t, world, 2 * RUN_MS)
})

test('should continue items elsewhere after the events that the leader has when their host is killed', async t => {
  const world = await start(t)
  world.kill(await startItems(t, world))
  await checkAllListed(t, world, RUN_MS + LOSS_KNOWN_MS)
  t.is(resumedAfterEventIds(world).length, 2)
  for (const afterEventId of resumedAfterEventIds(world)) t.true(afterEventId >= 16, `resumed after event ${afterEventId}`)
})

// A host that came back at once was heard of again, and its earlier tasks were waited for without end.
test('should continue items at once when their host is killed and comes back', async t => {
  const world = await start(t)
  const runner = await startItems(t, world)
  world.kill(runner)
  world.restart(runner)
  await checkAllListed(t, world, RUN_MS)
  t.is(resumedAfterEventIds(world).length, 2)
})

test('should continue items elsewhere while their host is frozen, and ignore what it reports when it wakes', async t => {
  const world = await start(t)
  const { hostId } = await startItems(t, world)
  world.freeze(hostId, 2 * LOSS_KNOWN_MS)
  await checkAllListed(t, world, RUN_MS + LOSS_KNOWN_MS)
  await world.clock.advance(3 * LOSS_KNOWN_MS)
  t.is(world.state.get('b1')?.results.length, ITEM_IDS.length)
  t.deepEqual(world.busyRunners(), [])
  t.deepEqual(world.failures, [])
})

// A host that had been given up got tasks again after half a second, without having answered.
test('should give no tasks to a host that was given up until it answers again', async t => {
  const world = await start(t)
  const { hostId } = await startItems(t, world)
  world.freeze(hostId, 8 * LOSS_KNOWN_MS)
  await world.untilListed('b1', ITEM_IDS.length)
  const runsCount = world.endpoints.runs.length
  const laterIds = ITEM_IDS.map(itemId => `later ${itemId}`)
  await world.submit(submission('b2', laterIds))
  // Runs and reward calls without a wait for the host that is gone.
  await world.untilListed('b2', laterIds.length, RUN_MS + LOSS_KNOWN_MS / 2)
  t.is(world.endpoints.runs.length - runsCount, laterIds.length)
  await world.clock.advance(8 * LOSS_KNOWN_MS)
  t.true(world.runnerPool?.isUsable(hostId))
})

// A host that had been frozen for seconds began items of batches that had ended meanwhile.
test('should not start what was assigned while the host was frozen, once it wakes', async t => {
  const world = await start(t, 2)
  await world.clock.advance(500)
  world.freeze('h2', 5 * LOSS_KNOWN_MS)
  await world.submit(submission('b1', ITEM_IDS))
  await world.untilListed('b1', ITEM_IDS.length, RUN_MS + LOSS_KNOWN_MS + 200)
  await world.end('b1')
  const runsCount = world.endpoints.runs.length
  await world.clock.advance(6 * LOSS_KNOWN_MS)
  t.is(world.endpoints.runs.length, runsCount)
  t.is(runsCount, ITEM_IDS.length)
  t.deepEqual(world.failures, [])
})

/** Lets a host fail for a while as it repeats reward calls, and checks that it makes none once it is back. */
async function checkRewardCallsAfter (t: ExecutionContext, fault: 'freeze' | 'suspend'): Promise<void> {
  const world = await start(t)
  world.endpoints.onRun = () => ({ eventsCount: 5, gapMs: GAP_MS, version: 1 })
  let areRewardsFull = true
  world.endpoints.onCall = () => ({ afterMs: 1, outcome: areRewardsFull ? { kind: 'notExecuted', status: 503, load: undefined } : answered() })
  const runner = await startItems(t, world)
  world[fault](runner.hostId, 2 * LOSS_KNOWN_MS)
  areRewardsFull = false
  await world.untilListed('b1', ITEM_IDS.length, 2 * LOSS_KNOWN_MS)
  const callsCount = world.endpoints.calls.length
  await world.clock.advance(3 * LOSS_KNOWN_MS)
  t.is(world.endpoints.calls.length, callsCount)
  t.deepEqual(world.failures, [])
}

// Guards against a host that repeats, on waking, a reward call that another host has made meanwhile.
test('should make no more reward calls of a lease that ended while the host was frozen', async t => await checkRewardCallsAfter(t, 'freeze'))

// Guards against a lease that is counted on a clock that stands still with the machine.
test('should make no more reward calls of a lease that ended while the machine was suspended', async t => await checkRewardCallsAfter(t, 'suspend'))

for (const direction of ['to', 'from'] as const) {
  test(`should continue items elsewhere when messages ${direction} their host are lost, and end their runs there`, async t => {
    const world = await start(t)
    const { hostId } = await startItems(t, world)
    if (direction === 'to') world.network.cutOneWay('h1', hostId)
    else world.network.cutOneWay(hostId, 'h1')
    await world.clock.advance(LOSS_KNOWN_MS)
    // Both items that ran there.
    t.is(world.endpoints.abandonedRuns.length, 2)
    await checkAllListed(t, world, RUN_MS)
  })
}

test('should continue items after their very last event when their host stops as planned', async t => {
  const world = await start(t)
  const runner = await startItems(t, world)
  const progress = new Progress(world.clock, new Scope('stop'), world.clock.nowMs() + 500)
  await world.clock.advanceUntil(runner.stop(progress))
  await checkAllListed(t, world, RUN_MS)
  const sentCount = Math.floor(BEFORE_FAULT_MS / GAP_MS)
  for (const afterEventId of resumedAfterEventIds(world)) t.true(afterEventId >= sentCount - 3, `resumed after event ${afterEventId}`)
  t.is(resumedAfterEventIds(world).length, 2)
})

// A planned stop ended as a violated invariant when the leader changed meanwhile.
test('should stop as planned while the leader changes', async t => {
  const world = await start(t)
  const runner = await startItems(t, world)
  world.network.cutOneWay(runner.hostId, 'h1')
  const progress = new Progress(world.clock, new Scope('stop'), world.clock.nowMs() + 500)
  const stopped = runner.stop(progress)
  world.stopDispatching()
  world.startDispatching()
  await t.notThrowsAsync(world.clock.advanceUntil(stopped))
  await checkAllListed(t, world, RUN_MS + LOSS_KNOWN_MS)
})

test('should end the runs of an earlier leader before those of the next one begin', async t => {
  const world = await start(t)
  await startItems(t, world)
  world.stopDispatching()
  world.startDispatching()
  await world.clock.advance(100)
  t.is(world.endpoints.abandonedRuns.length, ITEM_IDS.length)
  await checkAllListed(t, world, RUN_MS)
})

test('should continue all items when the leader and a host that runs items for it are lost together', async t => {
  const world = await start(t)
  const runner = await startItems(t, world)
  world.stopDispatching()
  world.kill(runner)
  await world.clock.advance(300)
  world.startDispatching()
  await checkAllListed(t, world, RUN_MS + LOSS_KNOWN_MS)
})

test('should end runs whose leader is gone, without a new leader', async t => {
  const world = await start(t)
  await startItems(t, world)
  world.stopDispatching()
  await world.clock.advance(2 * LOSS_KNOWN_MS)
  t.is(world.endpoints.abandonedRuns.length, ITEM_IDS.length)
})

test('should run items on other hosts when a store host does not know how to', async t => {
  const world = await start(t)
  const old = world.runners[0] as RunnerHost
  world.kill(old)
  const scope = new Scope('host of an older build')
  t.teardown(() => scope.close('test over'))
  let callsCount = 0
  await world.network.host(old.hostId).listen(`${old.hostId}:1`, scope, connection => {
    const peer = new RpcPeer(connection, new RpcHandlers(), error => world.failures.push(error))
    peer.connection.onMessage(() => { callsCount++ })
  })
  await world.submit(submission('b1', ITEM_IDS))
  await checkAllListed(t, world, RUN_MS + 500)
  t.true(callsCount > 0)
})

// A host that did not answer used up the time in which a leader that stops hands over.
test('should not wait long for a frozen host before a planned change of leader', async t => {
  const world = await start(t)
  const { hostId } = await startItems(t, world)
  world.freeze(hostId, 2 * LOSS_KNOWN_MS)
  const fromMs = world.clock.nowMs()
  await world.keepOutputs()
  t.true(world.clock.nowMs() - fromMs <= 400, `${world.clock.nowMs() - fromMs} ms`)
})

test('should store all events before a planned change of leader', async t => {
  const world = await start(t)
  await startItems(t, world)
  await world.keepOutputs()
  world.stopDispatching()
  world.startDispatching()
  await checkAllListed(t, world, RUN_MS)
  const sentCount = Math.floor(BEFORE_FAULT_MS / GAP_MS)
  for (const afterEventId of resumedAfterEventIds(world)) t.true(afterEventId >= sentCount - 3, `resumed after event ${afterEventId}`)
})

// Events of 900 ms ago, passed on at the end of a run that had stalled, were taken for a sign of life of their engine.
for (const hostsCount of [1, 2]) {
  test(`should tell how old the last events of a stalled run are, with ${hostsCount} store hosts`, async t => {
    const world = await start(t, hostsCount)
    const { clock, endpoints, runnerPool } = world
    const eventsCount = 20
    endpoints.onRun = () => ({ eventsCount: EVENTS_COUNT, gapMs: GAP_MS, version: 1, stallsAfterEventId: eventsCount })
    const scope = new Scope('stalled run')
    const agesMs = new Map<number, number>()
    const request = { endpoint: engine('e1', 1), path: '/hints/1', host: 'h', headers: [], body: Buffer.from('i1'), itemId: 'i1', afterEventId: 0, minVersion: 1, isSingleVersion: false }
    const run = runnerPool?.run(request, Number.POSITIVE_INFINITY, scope, ({ parts }, ageMs) => {
      for (const { afterEventId } of parts) agesMs.set(afterEventId, ageMs)
    })
    const outcome = await clock.advanceUntil(run?.outcome ?? Promise.reject(new Error('no runner pool')))
    t.is(outcome.kind, 'broken')
    // The events that make no whole part are held back until the run ends.
    t.deepEqual([...agesMs.keys()], [0, 16])
    t.true((agesMs.get(0) ?? Number.NaN) <= GAP_MS, `${agesMs.get(0)} ms`)
    t.true((agesMs.get(16) ?? Number.NaN) >= MIN_STALL_MS, `${agesMs.get(16)} ms`)
    scope.close('test over')
  })
}

test('should refuse tasks of an earlier term, unless the later leader has not been heard of for seconds', async t => {
  const world = await start(t, 2)
  const { hostId } = world.runners[0] as RunnerHost
  const scope = new Scope('leaders')
  t.teardown(() => scope.close('test over'))
  const link = new PeerLinks(world.network.host('h9'), scope, error => world.failures.push(error)).to({ peerAddress: `${hostId}:1` })
  const assign = async (term: number): Promise<string> => {
    const progress = new Progress(world.clock, scope, world.clock.nowMs() + 500)
    const outcome = await world.clock.advanceUntil(link.call(assignTasksMethod, { term, leaderAddress: 'h9:1', tasks: [] }, progress))
    return outcome.kind === 'replied' ? outcome.body.kind : outcome.kind
  }
  t.is(await assign(5), 'assigned')
  t.is(await assign(4), 'staleTerm')
  await world.clock.advance(6_000)
  t.is(await assign(4), 'assigned')
})
