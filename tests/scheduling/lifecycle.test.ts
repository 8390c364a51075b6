/**
 * Checks the invariants of the scheduler under random sequences of arrivals,
 * finished and withdrawn requests, load reports, lost endpoints and delays.
 */
import fc from 'fast-check'
import test from 'ava'
import type { AssignOutcome, Assignment, AttemptResult } from '../../src/entry/scheduling/scheduler.js'
import { RefusalReason } from '../../src/protocol/refusals.js'
import { Scope } from '../../src/utils/scope.js'
import { POOL, SchedulingFixture } from '../fixtures/schedulingFixture.js'
import { settle } from '../fixtures/virtualClock.js'

const ENDPOINTS = ['a', 'b', 'c', 'd']
const CAPACITY = 3
/** Requests of the best-paid class that a host may send beyond its limit; see URGENT_EXTRA_COUNT in endpointState.ts. */
const URGENT_EXTRA = 4
const MAX_QUEUED = 12
const MAX_QUEUED_BYTES = 1000
const CLASS_MAX_QUEUED = 6

type Step =
  | { kind: 'arrive', priorityClass: string, bodyBytes: number, tokensCount: number, deadlineMs: number, group: number, idle: boolean }
  | { kind: 'finish', index: number, result: AttemptResult['kind'], durationMs: number }
  | { kind: 'withdraw', index: number }
  | { kind: 'report', endpoint: number, runningCount: number, incarnation: number }
  | { kind: 'lose', endpoint: number }
  | { kind: 'wait', ms: number }

const nat = (max: number): fc.Arbitrary<number> => fc.integer({ min: 0, max })
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('arrive' as const), priorityClass: fc.constantFrom('gold', 'silver', 'bronze'), bodyBytes: nat(400), tokensCount: fc.integer({ min: 1, max: 50 }), deadlineMs: nat(20_000), group: nat(3), idle: fc.boolean() }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('finish' as const), index: nat(30), result: fc.constantFrom('succeeded' as const, 'failed' as const, 'refused' as const, 'cancelled' as const), durationMs: nat(3000) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('withdraw' as const), index: nat(30) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('report' as const), endpoint: nat(3), runningCount: nat(6), incarnation: fc.integer({ min: 1, max: 2 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const), endpoint: nat(3) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: nat(4000) }) }
)

interface Request {
  scope: Scope
  bodyBytes: number
  priorityClass: string
  outcomesCount: number
  outcome: AssignOutcome | undefined
  withdrawn: boolean
}

class SchedulerRun {
  private readonly _fixture = new SchedulingFixture({
    pool: { maxQueuedCount: MAX_QUEUED, maxQueuedBytes: MAX_QUEUED_BYTES, maxConcurrentCount: CAPACITY },
    classes: {
      gold: { paidWeight: 10, maxQueuedCount: CLASS_MAX_QUEUED },
      silver: { paidWeight: 3, maxQueuedCount: CLASS_MAX_QUEUED },
      bronze: { paidWeight: 1, maxQueuedCount: CLASS_MAX_QUEUED }
    }
  })

  private readonly _requests: Request[] = []
  private readonly _running: Assignment[] = []

  async perform (step: Step): Promise<void> {
    if (step.kind === 'arrive') this._arrive(step)
    if (step.kind === 'finish') this._finish(step)
    if (step.kind === 'withdraw') this._withdraw(step.index)
    if (step.kind === 'report') {
      const load = { runningCount: step.runningCount, waitingCount: 0, kvUsedPercent: 0, tokensPerSecond: 0, ageMs: 0 }
      this._fixture.announce(ENDPOINTS[step.endpoint]!, { incarnation: step.incarnation, maxConcurrentCount: CAPACITY, load })
    }
    if (step.kind === 'lose') this._fixture.directory.remove(ENDPOINTS[step.endpoint]!)
    if (step.kind === 'wait') await this._fixture.clock.advance(step.ms)
    await settle()
    this._check()
  }

  /** Lets every deadline pass, checks that each request has exactly one outcome, and finishes what still runs. */
  async end (): Promise<void> {
    await this._fixture.clock.advance(30_000)
    for (const request of this._requests) {
      if (request.outcomesCount !== 1) throw new Error(`a request has ${request.outcomesCount} outcomes`)
    }
    while (this._running.length > 0) this._running.pop()?.finish({ kind: 'cancelled' })
    await settle()
  }

  private _arrive (step: Extract<Step, { kind: 'arrive' }>): void {
    const request: Request = { scope: new Scope('request'), bodyBytes: step.bodyBytes, priorityClass: step.priorityClass, outcomesCount: 0, outcome: undefined, withdrawn: false }
    this._requests.push(request)
    const item = this._fixture.item({ priorityClass: step.priorityClass, bodyBytes: step.bodyBytes, expectedTokensCount: step.tokensCount, groupKey: `g${step.group}`, onlyWhenIdle: step.idle && step.priorityClass === 'bronze' })
    this._fixture.scheduler.assign(item, this._fixture.progress(step.deadlineMs, request.scope)).then(outcome => {
      request.outcomesCount += 1
      request.outcome = outcome
      if (outcome.kind === 'assigned') this._running.push(outcome.assignment)
    }, () => {
      request.outcomesCount += 1
      request.withdrawn = true
    })
  }

  private _finish (step: Extract<Step, { kind: 'finish' }>): void {
    const [assignment] = this._running.splice(step.index % Math.max(1, this._running.length), 1)
    if (!assignment) return
    if (step.result === 'succeeded') assignment.finish({ kind: 'succeeded', tokensCount: 10, durationMs: step.durationMs })
    else assignment.finish({ kind: step.result })
  }

  private _withdraw (index: number): void {
    const waiting = this._requests.filter(request => request.outcomesCount === 0)
    waiting[index % Math.max(1, waiting.length)]?.scope.close('caller gone')
  }

  private _check (): void {
    const waiting = this._requests.filter(request => request.outcomesCount === 0 && !request.scope.isClosed)
    if (waiting.length > MAX_QUEUED) throw new Error(`${waiting.length} requests are queued, ${MAX_QUEUED} at most are allowed`)
    const bytes = waiting.reduce((sum, request) => sum + request.bodyBytes, 0)
    if (bytes > MAX_QUEUED_BYTES) throw new Error(`${bytes} bytes are queued, ${MAX_QUEUED_BYTES} at most are allowed`)
    const gauges = this._fixture.metrics.snapshot()
    for (const [name, value] of Object.entries(gauges)) if (value < 0) throw new Error(`${name} is ${value}`)
    for (const endpointId of ENDPOINTS) {
      const count = this._running.filter(({ endpoint }) => endpoint.announcement.endpointId === endpointId).length
      if (count > CAPACITY + URGENT_EXTRA) throw new Error(`${count} requests run on ${endpointId}`)
    }
  }
}

test('should keep its bounds and give every request exactly one outcome, whatever happens', async t => {
  await fc.assert(fc.asyncProperty(fc.array(anyStep, { minLength: 20, maxLength: 80 }), async steps => {
    const run = new SchedulerRun()
    for (const step of steps) await run.perform(step)
    await run.end()
  }), { numRuns: 60, seed: 7 })
  t.pass()
})

test('should give the lowest class its guaranteed share under any flood of the others', async t => {
  const flood = fc.record({ goldCount: fc.integer({ min: 20, max: 60 }), silverCount: fc.integer({ min: 0, max: 60 }), sharePercent: fc.integer({ min: 5, max: 40 }), seed: nat(1000) })
  await fc.assert(fc.asyncProperty(flood, async ({ goldCount, silverCount, sharePercent, seed }) => {
    const fixture = new SchedulingFixture({
      seed,
      classes: { gold: { paidWeight: 100, minSharePercent: 5 }, silver: { paidWeight: 50, minSharePercent: 5 }, bronze: { paidWeight: 1, minSharePercent: sharePercent } }
    })
    const served: string[] = []
    const start = (priorityClass: string, count: number): void => {
      for (let index = 0; index < count; index++) fixture.runOne(10, { priorityClass }).then(() => served.push(priorityClass)).catch(() => {})
    }
    start('gold', goldCount)
    start('silver', silverCount)
    start('bronze', 60)
    fixture.announce('one', { maxConcurrentCount: 2 })
    const total = goldCount + silverCount
    while (served.length < total && served.filter(name => name === 'bronze').length < 60) await fixture.clock.advance(100)
    const bronzeCount = served.filter(name => name === 'bronze').length
    const minCount = Math.floor(served.length * sharePercent / 100) - 6
    if (bronzeCount < Math.min(60, minCount)) throw new Error(`bronze got ${bronzeCount} of ${served.length} requests, expected at least ${minCount}`)
  }), { numRuns: 25, seed: 11 })
  t.pass()
})

test('should refuse with a specific reason, and never with a negative retry delay', async t => {
  const fixture = new SchedulingFixture({ pool: { maxQueuedCount: 2 } })
  const outcomes = await Promise.all([...Array(8).keys()].map(() => fixture.clock.advanceUntil(fixture.assign({}, 100))))
  for (const outcome of outcomes) {
    t.true(outcome.kind === 'refused' && (outcome.retryAfterMs ?? 0) >= 0)
    t.true(outcome.kind === 'refused' && [RefusalReason.QueueFull, RefusalReason.DeadlinePassed].includes(outcome.reason))
  }
  t.is(fixture.metrics.snapshot()[`queue.bytes{pool=${POOL}}`], 0)
})
