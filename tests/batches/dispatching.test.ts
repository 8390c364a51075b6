import test from 'ava'
import { textOf } from '../../src/batches/outputParts.js'
import { EndpointLifecycle } from '../../src/protocol/fleet.js'
import { ResultState } from '../../src/protocol/batches.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { batchRoute, engine, route, routing } from '../fixtures/fleet/fleetFixtures.js'
import { answered } from '../fixtures/fleet/scriptedEndpoints.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'
import { MetricName } from '../../src/utils/metricNames.js'

function events (count: number, from = 1): string {
  return Array.from({ length: count }, (_value, position) => `event ${from + position}`).join('\n')
}

test('should run every item, score it once its text is complete, and list it', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1), engine('e2', 1)] }).start()
  await world.submit(submission('b1', ['i1', 'i2', 'i3', 'i4', 'i5']))
  await world.untilListed('b1', 5)
  for (const { state, parts, score, versions } of world.state.get('b1')?.results ?? []) {
    t.is(state, ResultState.Completed)
    t.is(textOf(parts), events(3))
    t.is(score, 'receipt')
    t.deepEqual(versions, [1])
  }
  t.deepEqual(world.failures, [])
  world.close()
})

test('should resume after the last event at another engine when a stream breaks off', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1), engine('e2', 1)] }).start()
  world.endpoints.onRun = () => ({ eventsCount: 6, gapMs: 10, version: 1, ...(world.endpoints.runs.length === 1 ? { breaksAfterEventId: 4 } : {}) })
  await world.submit(submission('b1', ['i1']))
  await world.untilListed('b1', 1)
  t.deepEqual(world.endpoints.runs.map(({ afterEventId }) => afterEventId), [undefined, 4])
  t.not(world.endpoints.runs[0]?.endpoint.endpointId, world.endpoints.runs[1]?.endpoint.endpointId)
  t.is(textOf(world.state.get('b1')?.results[0]?.parts ?? []), events(6))
  world.close()
})

test('should leave an engine that stalls in the middle of a run', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1), engine('e2', 1)] }).start()
  world.endpoints.onRun = () => ({ eventsCount: 4, gapMs: world.endpoints.runs.length === 1 ? 60_000 : 10, version: 1 })
  await world.submit(submission('b1', ['i1']))
  await world.untilListed('b1', 1, 5_000)
  t.deepEqual(world.endpoints.abandonedRuns, ['i1'])
  world.close()
})

test('should resume from the replicated output after a change of leader', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  world.endpoints.onRun = () => ({ eventsCount: 40, gapMs: 20, version: 1 })
  await world.submit(submission('b1', ['i1']))
  await world.clock.advance(500)
  world.stopDispatching()
  world.startDispatching()
  await world.untilListed('b1', 1)
  const [, second] = world.endpoints.runs
  t.true((second?.afterEventId ?? 0) >= 16, `resumes after event ${second?.afterEventId}`)
  t.is(textOf(world.state.get('b1')?.results[0]?.parts ?? []), events(40))
  world.close()
})

test('should resume from the very last event after a planned change of leader', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  world.endpoints.onRun = () => ({ eventsCount: 40, gapMs: 20, version: 1 })
  await world.submit(submission('b1', ['i1', 'i2']))
  await world.clock.advance(250)
  await world.keepOutputs()
  world.stopDispatching()
  world.startDispatching()
  await world.untilListed('b1', 2)
  const returned = world.endpoints.runs.slice(2).map(({ afterEventId }) => afterEventId)
  t.deepEqual(returned, [12, 12])
  for (const { parts } of world.state.get('b1')?.results ?? []) t.is(textOf(parts), events(40))
  world.close()
})

test('should discard events of an engine whose weights are older than the batch allows', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 3), engine('e2', 3)] }).start()
  world.endpoints.onRun = () => ({ eventsCount: 3, gapMs: 10, version: world.endpoints.runs.length === 1 ? 1 : 3 })
  await world.submit(submission('b1', ['i1'], { minVersion: 2 }))
  await world.untilListed('b1', 1)
  t.deepEqual(world.state.get('b1')?.results[0]?.versions, [3])
  world.close()
})

test('should send nothing to a leaving engine, nor to one whose weights are too old', async t => {
  const leaving = engine('e1', 5, { lifecycle: EndpointLifecycle.Leaving })
  const world = await new StoreWorld({ engines: [leaving, engine('e2', 1), engine('e3', 5)], orderLeaseMs: 1_000_000 }).start()
  world.endpoints.onRun = () => ({ eventsCount: 3, gapMs: 10, version: 5 })
  await world.submit(submission('b1', ['i1', 'i2', 'i3'], { minVersion: 4 }))
  await world.untilListed('b1', 3)
  t.deepEqual([...new Set(world.endpoints.runs.map(run => run.endpoint.endpointId))], ['e3'])
  world.close()
})

test('should send no item of an ended batch, and abandon its runs', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  world.endpoints.onRun = () => ({ eventsCount: 100, gapMs: 50, version: 1 })
  await world.submit(submission('b1', ['i1', 'i2', 'i3', 'i4']))
  await world.clock.advance(200)
  await world.end('b1')
  const runsCount = world.endpoints.runs.length
  await world.clock.advance(10_000)
  t.is(world.endpoints.runs.length, runsCount)
  t.is(world.endpoints.abandonedRuns.length, 2)
  world.close()
})

test('should abandon an item after as many failures as its route allows, and at once when it is impossible', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  world.endpoints.onRun = ({ attemptId }) => (
    { eventsCount: 1, gapMs: 1, version: 1, refuses: attemptId === 'i1' ? { kind: 'failed', status: 500 } : { kind: 'impossible' } }
  )
  await world.submit(submission('b1', ['i1', 'i2']))
  await world.untilListed('b1', 2)
  t.deepEqual(world.state.get('b1')?.results.map(({ state }) => state), [ResultState.Abandoned, ResultState.Abandoned])
  t.is(world.endpoints.runs.filter(({ attemptId }) => attemptId === 'i1').length, 3)
  t.is(world.endpoints.runs.filter(({ attemptId }) => attemptId === 'i2').length, 1)
  world.close()
})

test('should list a sample only with a score, and abandon it when its reward call has failed for good', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  world.endpoints.onCall = ({ attemptId }) => ({ afterMs: 5, outcome: answered(attemptId === 'reward of i1' ? 500 : 200) })
  await world.submit(submission('b1', ['i1', 'i2']))
  await world.untilListed('b1', 2)
  const byItem = new Map(world.state.get('b1')?.results.map(result => [result.itemId, result]))
  t.is(byItem.get('i1')?.state, ResultState.Abandoned)
  t.is(byItem.get('i2')?.score, 'receipt')
  world.close()
})

test('should reuse the result and the score of an item that is submitted again, when its versions are new enough', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  await world.submit(submission('b1', ['i1']))
  await world.untilListed('b1', 1)
  await world.end('b1')
  await world.submit(submission('b2', ['i1']))
  await world.untilListed('b2', 1)
  t.is(world.endpoints.runs.length, 1)
  t.is(world.endpoints.calls.length, 1)
  world.close()
})

test('should move a run from an engine that turned slow to a faster one with room', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1), engine('e2', 1)] }).start()
  const slowId = (): string | undefined => world.endpoints.runs[0]?.endpoint.endpointId
  world.endpoints.onRun = ({ endpoint }) => ({ eventsCount: 60, gapMs: endpoint.endpointId === slowId() ? 150 : 30, version: 1 })
  await world.submit(submission('b1', ['i1', 'i2'], { expectedTokensCount: 3_000 }))
  await world.untilListed('b1', 2, 6_000)
  t.true(world.endpoints.runs.length > 2)
  for (const { parts } of world.state.get('b1')?.results ?? []) t.is(textOf(parts), events(60))
  world.close()
})

test('should give a slot of a fast engine to a long run on a slow one, ahead of short items that wait', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1), engine('e2', 1)] }).start()
  const isLong = (itemId: string): boolean => itemId.startsWith('long')
  world.endpoints.onRun = ({ endpoint, attemptId }) => (
    { eventsCount: isLong(attemptId) ? 120 : 20, gapMs: endpoint.endpointId === 'e1' ? 80 : 40, version: 1 }
  )
  const shorts = Array.from({ length: 24 }, (_value, position) => `short${position}`)
  await world.submit(submission('b1', ['long1', 'long2', ...shorts]))
  await world.untilListed('b1', 26, 20_000)
  const onSlow = world.endpoints.runs.filter(({ endpoint, attemptId }) => endpoint.endpointId === 'e1' && isLong(attemptId))
  t.true(onSlow.length > 0, 'a long item started on the slow engine')
  for (const { attemptId } of onSlow) {
    const last = world.endpoints.runs.findLast(run => run.attemptId === attemptId)
    t.is(last?.endpoint.endpointId, 'e2', `${attemptId} continued at the fast engine`)
    t.true((last?.afterEventId ?? 120) < 60, `${attemptId} was moved after event ${last?.afterEventId}`)
  }
  for (const { parts, itemId } of world.state.get('b1')?.results ?? []) t.is(textOf(parts), events(isLong(itemId) ? 120 : 20))
  t.deepEqual(world.runningCounts(), [0, 0])
  world.close()
})

test('should move no run to an engine that leaves, when a slot there becomes free', async t => {
  const leaving = engine('e2', 1)
  const world = await new StoreWorld({ engines: [engine('e1', 1), leaving] }).start()
  world.endpoints.onRun = ({ endpoint }) => ({ eventsCount: 100, gapMs: endpoint.endpointId === 'e1' ? 90 : 40, version: 1 })
  await world.submit(submission('b1', ['i1', 'i2', 'i3', 'i4']))
  await world.clock.advance(1_000)
  const runsCount = world.endpoints.runs.length
  world.view.merge('control-1', { endpoints: [{ ...leaving, lifecycle: EndpointLifecycle.Leaving, sequence: 2 }] })
  await world.clock.advance(5_000)
  const later = world.endpoints.runs.slice(runsCount)
  t.deepEqual(later.filter(run => run.endpoint.endpointId === 'e2'), [])
  await world.untilListed('b1', 4, 20_000)
  world.close()
})

test('should abandon no item by a default time while a leader that has just started has no routing configuration', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)], lacksRouting: true }).start()
  const recoveredAtMs = world.clock.nowMs() + 20_000
  world.endpoints.onRun = () => (
    { eventsCount: 3, gapMs: 10, version: 1, ...(world.clock.nowMs() < recoveredAtMs ? { refuses: { kind: 'broken', reason: 'scripted' } } : {}) }
  )
  await world.submit(submission('b1', ['i1']))
  await world.clock.advance(500)
  const batch = { dueMs: 7_500, maxQueueMs: 40_000, isSingleVersion: false }
  world.view.merge('control-1', { routing: routing(1, [route(), batchRoute({ batch })]) })
  await world.untilListed('b1', 1, 30_000)
  t.is(world.state.get('b1')?.results[0]?.state, ResultState.Completed)
  world.close()
})

test('should start with the longest item of a batch, wherever it stands in it', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  world.endpoints.onRun = () => ({ eventsCount: 10, gapMs: 10, version: 1 })
  const batch = submission('b1', ['i1', 'i2', 'i3', 'i4', 'long'])
  const items = batch.items.map(item => (item.itemId === 'long' ? { ...item, expectedTokensCount: 5_000 } : item))
  await world.submit({ ...batch, items })
  await world.untilListed('b1', 5)
  t.is(world.endpoints.runs[0]?.attemptId, 'long')
  world.close()
})

test('should resume started items first after a change of leader, whatever their batch', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  world.endpoints.onRun = ({ attemptId }) => ({ eventsCount: attemptId.startsWith('begun') ? 60 : 3, gapMs: 20, version: 1 })
  await world.submit(submission('b1', ['i1', 'i2', 'i3', 'i4']))
  await world.submit(submission('b2', ['begun1', 'begun2'], { expectedTokensCount: 3_000 }))
  await world.untilListed('b1', 1)
  await world.clock.advance(700)
  const runsCount = world.endpoints.runs.length
  world.stopDispatching()
  await world.submit(submission('b3', ['i5', 'i6', 'i7']))
  world.startDispatching()
  await world.clock.advance(50)
  const resumed = world.endpoints.runs.slice(runsCount, runsCount + 2).map(({ attemptId }) => attemptId)
  t.deepEqual(resumed.sort(), ['begun1', 'begun2'])
  world.close()
})

test('should leave a stalled engine after several of its own gaps between events, a slow one later', async t => {
  for (const { gapMs, withinMs } of [{ gapMs: 40, withinMs: 420 }, { gapMs: 100, withinMs: 820 }]) {
    const world = await new StoreWorld({ engines: [engine('e1', 1), engine('e2', 1)] }).start()
    world.endpoints.onRun = () => ({ eventsCount: 30, gapMs, version: 1, ...(world.endpoints.runs.length === 1 ? { stallsAfterEventId: 10 } : {}) })
    await world.submit(submission('b1', ['i1']))
    const stalledAtMs = world.clock.nowMs() + 10 * gapMs
    while (world.endpoints.runs.length < 2) await world.clock.advance(10)
    const leftAfterMs = world.clock.nowMs() - stalledAtMs
    t.true(leftAfterMs >= 8 * gapMs && leftAfterMs <= withinMs + 50, `left after ${leftAfterMs} ms at ${gapMs} ms per event`)
    t.is(world.endpoints.runs[1]?.afterEventId, 10)
    world.close()
  }
})

test('should replicate the output of a long run more often, so that a dead leader loses little of it', async t => {
  for (const generatedCount of [100, 103, 109]) {
    const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
    world.endpoints.onRun = () => ({ eventsCount: 150, gapMs: 40, version: 1 })
    await world.submit(submission('b1', ['i1']))
    await world.clock.advance(generatedCount * 40 + 20)
    world.stopDispatching()
    world.startDispatching()
    await world.clock.advance(100)
    const replicatedCount = world.endpoints.runs[1]?.afterEventId ?? 0
    t.true(generatedCount - replicatedCount <= 7, `${replicatedCount} of ${generatedCount}`)
    world.close()
  }
})

// Guards against a run that the host itself ends because of old weights, and that counts as a failure of the engine and ejects it for other batches.
test('should not eject an engine for events of weights that a batch does not allow', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 3)], orderLeaseMs: 1_000_000 }).start()
  world.endpoints.onRun = () => ({ eventsCount: 3, gapMs: 10, version: 1 })
  await world.submit(submission('b1', ['i1'], { minVersion: 2 }))
  await world.clock.advance(100)
  t.true(world.endpoints.runs.length >= 1)
  t.deepEqual(Object.keys(world.metrics.snapshot()).filter(name => name.startsWith(MetricName.EndpointLeftOut)), [])
  world.close()
})

// Guards against items that keep calling an address that another endpoint has taken over, until the fleet view is updated.
test('should not use an engine again after another endpoint answered at its address', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1), engine('e2', 1)] }).start()
  world.endpoints.onRun = ({ endpoint: { endpointId } }) => ({ eventsCount: 3, gapMs: 10, version: 1, ...(endpointId === 'e1' ? { refuses: { kind: 'misdirected' } } : {}) })
  await world.submit(submission('b1', Array.from({ length: 20 }, (_value, position) => `i${position}`)))
  await world.untilListed('b1', 20)
  t.true(world.endpoints.runs.filter(({ endpoint: { endpointId } }) => endpointId === 'e1').length <= 2)
  world.close()
})

// Guards against an item that waits for a slot forever, when its time limit is only checked after a run has ended.
test('should abandon an item at its time when no engine ever has the weights for it', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)], orderLeaseMs: 1_000_000 }).start()
  world.endpoints.onOrder = () => ({ outcome: { kind: 'refused', status: 503 }, loadMs: 0, isLost: true })
  await world.submit(submission('b1', ['i1'], { minVersion: 9 }))
  await world.clock.advance(11_900)
  t.deepEqual(world.state.get('b1')?.results, [])
  await world.untilListed('b1', 1, 500)
  t.is(world.state.get('b1')?.results[0]?.state, ResultState.Abandoned)
  t.is(world.endpoints.runs.length, 0)
  world.close()
})

// Guards against a new leader that computes the times of open batches from its own start and treats late batches as fresh ones.
test('should keep the times of a batch across a change of leader', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1, { slotsCount: 1 })] }).start()
  world.endpoints.onRun = () => ({ eventsCount: 1_000, gapMs: 50, version: 1 })
  await world.submit(submission('b0', ['occupies']))
  await world.submit(submission('b1', ['old']))
  await world.clock.advance(5_000)
  world.stopDispatching()
  await world.submit(submission('b2', ['new'], { expectedTokensCount: 2_000 }))
  world.endpoints.onRun = () => ({ eventsCount: 3, gapMs: 20, version: 1 })
  await world.end('b0')
  world.startDispatching()
  await world.untilListed('b2', 1)
  t.deepEqual(world.endpoints.runs.slice(-2).map(({ attemptId }) => attemptId), ['old', 'new'])
  world.close()
})

test('should abandon an item at its time after a change of leader, and not before', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)], orderLeaseMs: 1_000_000 }).start()
  world.endpoints.onOrder = () => ({ outcome: { kind: 'refused', status: 503 }, loadMs: 0, isLost: true })
  await world.submit(submission('b1', ['i1'], { minVersion: 9 }))
  await world.clock.advance(8_000)
  world.stopDispatching()
  world.startDispatching()
  await world.clock.advance(3_900)
  t.deepEqual(world.state.get('b1')?.results, [])
  await world.untilListed('b1', 1, 500)
  world.close()
})

// Guards against an item that is abandoned because its endpoints timed out: only a 500 counts as a failed attempt.
test('should abandon no sample for answers other than 500 of its engines or its reward call', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1), engine('e2', 1), engine('e3', 1), engine('e4', 1)] }).start()
  let runsCount = 0
  world.endpoints.onRun = () => ({ eventsCount: 3, gapMs: 10, version: 1, ...(++runsCount <= 6 ? { refuses: { kind: 'failed', status: 504 } } : {}) })
  let callsCount = 0
  world.endpoints.onCall = () => ({ afterMs: 5, outcome: answered(++callsCount <= 6 ? 504 : 200) })
  await world.submit(submission('b1', ['i1']))
  await world.untilListed('b1', 1, 11_000)
  t.is(world.state.get('b1')?.results[0]?.state, ResultState.Completed)
  world.close()
})
