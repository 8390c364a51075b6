import test from 'ava'
import { RefusalReason, RetryReason } from '../../src/protocol/refusals.js'
import { ResourceKind } from '../../src/protocol/resources.js'
import { ScopeClosedError } from '../../src/utils/errors.js'
import { POOL, SchedulingFixture, settledOf } from '../fixtures/schedulingFixture.js'

test('should refuse names that are not declared', async t => {
  const fixture = new SchedulingFixture()
  t.like(await fixture.assign({ pool: 'none' }), { kind: 'refused', reason: RefusalReason.UnknownPool })
  t.like(await fixture.assign({ priorityClass: 'none' }), { kind: 'refused', reason: RefusalReason.UnknownPriorityClass })
})

test('should never exceed the concurrency limit of an endpoint, and dispatch again when a request finishes', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one', { maxConcurrentCount: 2 })
  const outcomes = await settledOf([1, 2, 3].map(() => fixture.assign({ priorityClass: 'bronze' })))
  t.is(outcomes.length, 2)
  const first = outcomes[0]
  if (first?.kind === 'assigned') first.assignment.finish({ kind: 'succeeded', tokensCount: 10, durationMs: 100 })
  await settledOf([])
  t.is(outcomes.length, 3)
})

test('should refuse requests beyond the queue limits of a class in count and of a pool in bytes', async t => {
  const fixture = new SchedulingFixture({ pool: { maxQueuedBytes: 250 }, classes: { gold: { paidWeight: 1, maxQueuedCount: 3 } } })
  const byBytes = await settledOf([1, 2, 3].map(() => fixture.assign()))
  t.like(byBytes, [{ kind: 'refused', reason: RefusalReason.QueueFull }])
  const byCount = await settledOf([1, 2].map(() => fixture.assign({ bodyBytes: 1 })))
  t.like(byCount, [{ kind: 'refused', reason: RefusalReason.QueueFull }])
})

test('should evict from the class that most exceeds its share when the queue of the pool is full', async t => {
  const fixture = new SchedulingFixture({ pool: { maxQueuedCount: 3 } })
  const flood = [1, 2, 3].map(() => fixture.assign({ priorityClass: 'bronze' }))
  const gold = fixture.assign({ priorityClass: 'gold' })
  const refused = await settledOf([...flood, gold])
  t.like(refused, [{ kind: 'refused', reason: RefusalReason.QueueFull }])
  t.like(await flood[2], { kind: 'refused' })
})

test('should limit the concurrent requests and the request rate of a caller', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one')
  fixture.configuration.put(ResourceKind.CallerLimit, 'caller', { maxConcurrentCount: 2, requestsPerSecond: 3 })
  const first = await fixture.assigned()
  await fixture.assigned()
  t.like(await fixture.assign(), { kind: 'refused', reason: RefusalReason.CallerLimit })
  first.finish({ kind: 'cancelled' })
  const third = await fixture.assigned()
  third.finish({ kind: 'cancelled' })
  const outcome = await fixture.assign()
  t.like(outcome, { kind: 'refused', reason: RefusalReason.CallerLimit })
  t.true(outcome.kind === 'refused' && (outcome.retryAfterMs ?? 0) > 0)
  await fixture.clock.advance(1000)
  await fixture.assigned()
})

test('should spread the retries of refused callers over time', async t => {
  const fixture = new SchedulingFixture({ classes: { gold: { paidWeight: 1, maxQueuedCount: 1 } } })
  const waiting = fixture.assign()
  const instants = new Set<number>()
  for (let index = 0; index < 50; index++) {
    const outcome = await fixture.assign()
    if (outcome.kind === 'refused') instants.add(outcome.retryAfterMs ?? 0)
  }
  t.true(instants.size > 30, `${instants.size} different instants`)
  t.deepEqual(await settledOf([waiting]), [])
})

test('should refuse immediately a request that cannot finish before its deadline', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one')
  await fixture.clock.advanceUntil(fixture.runOne(10))
  t.like(await fixture.assign({ expectedTokensCount: 100 }, 900), { kind: 'refused', reason: RefusalReason.DeadlineUnreachable })
  t.like(await fixture.assign({ expectedTokensCount: 100 }, 1100), { kind: 'assigned' })
})

test('should refuse a queued request at the moment from which it cannot meet its deadline', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one', { maxConcurrentCount: 1 })
  await fixture.clock.advanceUntil(fixture.runOne(10))
  await fixture.assigned({ priorityClass: 'bronze' })
  const waiting = fixture.assign({ priorityClass: 'bronze' }, 500)
  await fixture.clock.advance(399)
  t.is((await settledOf([waiting])).length, 0)
  await fixture.clock.advance(1)
  t.like(await waiting, { kind: 'refused', reason: RefusalReason.DeadlineUnreachable })
})

test('should refuse a request on arrival when the queue would take too long for its deadline', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one', { maxConcurrentCount: 1 })
  await fixture.clock.advanceUntil(fixture.runOne(10))
  const backlog = Array.from({ length: 30 }, () => fixture.runOne(10, { priorityClass: 'bronze' }))
  await fixture.clock.advance(1000)
  t.true((await settledOf(backlog)).length < 12)
  t.like(await fixture.assign({ priorityClass: 'bronze' }, 1500), { kind: 'refused', reason: RefusalReason.DeadlineUnreachable })
  const admitted = await settledOf([fixture.assign({ priorityClass: 'bronze' }, 5000)])
  t.deepEqual(admitted, [])
})

test('should refuse a request that no endpoint can take, after a grace period', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one')
  const excluded = fixture.assign({ excludedEndpointIds: ['one'] })
  t.like(await fixture.clock.advanceUntil(excluded), { kind: 'refused', reason: RefusalReason.NoEndpoint })
  fixture.directory.remove('one')
  const none = fixture.assign()
  t.like(await fixture.clock.advanceUntil(none), { kind: 'refused', reason: RefusalReason.NoEndpoint })
  t.true(fixture.clock.nowMs() < 5000)
})

test('should refuse immediately a request that has failed on every endpoint of the pool', async t => {
  const fixture = new SchedulingFixture()
  for (const name of ['one', 'two']) fixture.announce(name)
  const [outcome] = await settledOf([fixture.assign({ excludedEndpointIds: ['one', 'two'] })])
  t.like(outcome, { kind: 'refused', reason: RefusalReason.NoEndpoint })
  t.is(fixture.clock.nowMs(), 0)
})

test('should release the requests of a disconnected caller, queued or running', async t => {
  const fixture = new SchedulingFixture()
  fixture.configuration.put(ResourceKind.CallerLimit, 'caller', { maxConcurrentCount: 1, requestsPerSecond: 100 })
  const queuedProgress = fixture.progress()
  const waiting = fixture.scheduler.assign(fixture.item(), queuedProgress)
  queuedProgress.scope.close('caller gone')
  await t.throwsAsync(waiting, { instanceOf: ScopeClosedError })
  fixture.announce('one', { maxConcurrentCount: 1 })
  const runningProgress = fixture.progress()
  t.like(await fixture.scheduler.assign(fixture.item(), runningProgress), { kind: 'assigned' })
  runningProgress.scope.close('caller gone')
  await fixture.clock.advance(2000)
  t.like(await fixture.assign(), { kind: 'assigned' })
})

test('should treat a second finish of one assignment as a broken invariant', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one')
  const assignment = await fixture.assigned()
  assignment.finish({ kind: 'cancelled' })
  t.throws(() => assignment.finish({ kind: 'cancelled' }), { message: /finished twice/ })
})

test('should take retries only from a budget that first attempts fill, and count them by reason', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one')
  const takeAll = (): number => {
    let count = 0
    while (count < 100 && fixture.scheduler.takeRetry(POOL, RetryReason.ConnectFailed)) count += 1
    return count
  }
  t.is(takeAll(), 10)
  for (let index = 0; index < 25; index++) (await fixture.assigned()).finish({ kind: 'cancelled' })
  t.is(takeAll(), 2)
  t.is(fixture.metrics.snapshot()[`request.retried{pool=${POOL},reason=connect_failed}`], 12)
})

test('should explain the decisions on a request, and evict the oldest requests', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one')
  const first = await fixture.assigned({ requestId: 'first' })
  first.finish({ kind: 'cancelled' })
  const decisions = fixture.scheduler.explain('first')
  t.deepEqual(decisions.map(({ kind }) => kind), ['queued', 'assigned'])
  t.like(decisions[1], { endpointId: 'one', candidates: [{ endpointId: 'one', ownLimitCount: 4 }] })
  for (let index = 0; index < 1100; index++) (await fixture.assigned({ requestId: `r${index}` })).finish({ kind: 'cancelled' })
  t.deepEqual(fixture.scheduler.explain('first'), [])
})
