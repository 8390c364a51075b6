/**
 * Admission, queue and dispatch at one pool.
 *
 * Whatever may free a place or change the order calls `pump`, which hands out
 * places until none is free or nothing that waits can use one.
 */
import { ResourceKind, type EndpointPoolSpec } from '../../protocol/resources.js'
import { RefusalReason } from '../../protocol/refusals.js'
import { invariant } from '../../utils/errors.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Progress } from '../../utils/progress.js'
import { createAssignment } from './assignment.js'
import { QueueOrder, type QueuedWork } from './classQueue.js'
import type { DecisionLog } from './decisionLog.js'
import { chooseEndpoint, type Choice } from './endpointChoice.js'
import { nextToDispatch, type Dispatchable, type Order } from './dispatchOrder.js'
import type { EndpointState } from './endpointState.js'
import { FairShare, classShares } from './fairShare.js'
import { PoolEndpoints, isSuitable } from './poolEndpoints.js'
import { PoolQueue } from './poolQueue.js'
import { PrefixPopularity, homesFor } from './prefixHomes.js'
import { RetryBudget } from '../../utils/retryBudget.js'
import type { AssignOutcome, AttemptResult, WorkItem } from './scheduler.js'
import type { SchedulerParts } from './schedulerParts.js'
import { DrainRate, RunTime, retryAfterMs } from './waitForecast.js'
import { waitFor, type Waiting } from './waiting.js'

/** Waiting work that is looked at per class and pump, past work that must wait for a certain endpoint. */
const SCAN_COUNT = 64
/** Work that no endpoint can take is refused after this time. */
const NO_ENDPOINT_GRACE_MS = 2_000
/** Part of the time to its deadline that a request waits for a place where its prefix is kept. */
const PATIENCE_FRACTION = 0.2
const MAX_PATIENCE_MS = 1_000
/** An endpoint under this part of its capacity counts as idle. */
const IDLE_FRACTION = 0.25

export class PoolScheduler {
  readonly retryBudget: RetryBudget
  private readonly _parts: SchedulerParts
  private readonly _pool: string
  private readonly _decisions: DecisionLog
  private readonly _fairShare = new FairShare()
  private readonly _queue = new PoolQueue(this._fairShare)
  private readonly _places = new QueueOrder()
  private readonly _endpoints: PoolEndpoints
  private readonly _drain: DrainRate
  private readonly _runTime = new RunTime()
  private readonly _popularity = new PrefixPopularity()
  private _sharesRevision: number | undefined
  private _emptyCheckArmed = false
  private _cancelWakeUp = (): void => {}

  constructor (parts: SchedulerParts, pool: string, decisions: DecisionLog) {
    this._parts = parts
    this._pool = pool
    this._decisions = decisions
    this._endpoints = new PoolEndpoints(parts, pool)
    this._drain = new DrainRate(parts.clock.nowMs())
    this.retryBudget = new RetryBudget(parts.clock)
  }

  get queuedCount (): number {
    return this._queue.count
  }

  get queuedBytes (): number {
    return this._queue.bytes
  }

  /** Settles once; `onLeft` is called when the work no longer waits or runs. */
  assign (item: WorkItem, progress: Progress, onLeft: () => void): Promise<AssignOutcome> {
    const spec = this._spec()
    this._endpoints.refresh(spec)
    this._refreshShares()
    const refusal = this._refusalWhenAllFailed(item) ?? this._refusalOnArrival(item, progress) ?? this._makeRoom(item, spec)
    if (refusal) {
      onLeft()
      return Promise.resolve(refusal)
    }
    if (item.excludedEndpointIds.length === 0) this.retryBudget.depositFirstTry()
    return this._enqueue(item, progress, onLeft)
  }

  /** Hands out free places; to be called when anything changed. */
  pump (): void {
    if (this._queue.count === 0) return
    const nowMs = this._parts.clock.nowMs()
    this._endpoints.refresh(this._spec())
    this._refreshShares()
    if (this._endpoints.available.length === 0) this._refuseAllUnlessOneComes()
    while (this._dispatchNext(nowMs)) { /* each call hands out one place */ }
    this._afterChange(nowMs)
  }

  private _spec (): EndpointPoolSpec {
    const resource = this._parts.configuration.get(ResourceKind.EndpointPool, this._pool)
    return resource?.spec ?? this._lastSpec()
  }

  /** A pool that was deleted still runs off what waits, with nothing new admitted. */
  private _lastSpec (): EndpointPoolSpec {
    const spec = this._endpoints.spec
    invariant(spec, `pool ${this._pool} was never declared`)
    return spec
  }

  private _refreshShares (): void {
    const { revision } = this._parts.configuration
    if (revision === this._sharesRevision) return
    this._sharesRevision = revision
    const classes = this._parts.configuration.list(ResourceKind.PriorityClass)
    this._fairShare.setShares(classShares(classes.map(({ name, spec }) => ({ className: name, spec }))))
  }

  /** Nothing is left to wait for: the caller learns that now, not after a grace time. */
  private _refusalWhenAllFailed (item: WorkItem): AssignOutcome | undefined {
    if (item.excludedEndpointIds.length === 0 || this._endpoints.available.length === 0) return undefined
    if (this._endpoints.couldTake(item)) return undefined
    return this._refuse(item, RefusalReason.NoEndpoint, `every endpoint of ${this._pool} has failed it`)
  }

  private _refusalOnArrival (item: WorkItem, progress: Progress): AssignOutcome | undefined {
    const nowMs = this._parts.clock.nowMs()
    const remainingMs = progress.remainingMs()
    const runMs = this._shortestRunMs(item, nowMs)
    if (runMs > remainingMs) {
      return this._refuse(item, RefusalReason.DeadlineUnreachable, `it needs about ${Math.round(runMs)} ms, ${Math.round(remainingMs)} ms remain`)
    }
    const waitMs = this._expectedWaitMs(item, nowMs)
    const usualRunMs = this._runTime.expectedMs(item)
    if (waitMs === 0 || waitMs + usualRunMs <= remainingMs) return undefined
    const message = `about ${Math.round(waitMs)} ms of waiting before it, ${Math.round(remainingMs)} ms remain`
    return this._refuse(item, RefusalReason.DeadlineUnreachable, message, waitMs)
  }

  /** On the fastest endpoint; 0 before any figures. */
  private _shortestRunMs (item: WorkItem, nowMs: number): number {
    return this._runTime.expectedMs(item, this._endpoints.fastestMsPerToken(nowMs) ?? 0)
  }

  private _makeRoom (item: WorkItem, spec: EndpointPoolSpec): AssignOutcome | undefined {
    const classSpec = this._parts.configuration.get(ResourceKind.PriorityClass, item.priorityClass)?.spec
    const room = this._queue.makeRoomFor(item, spec, classSpec?.maxQueuedCount ?? 0)
    if (room.kind === 'full') return this._refuse(item, RefusalReason.QueueFull, room.message)
    for (const work of room.evicted) {
      work.settle(this._refuse(work.item, RefusalReason.QueueFull, 'gave way to a class further below its share'))
    }
    return undefined
  }

  /** How long work of the item's class that waits already would keep it waiting. */
  private _expectedWaitMs (item: WorkItem, nowMs: number): number {
    const aheadCount = item.onlyWhenIdle ? 0 : this._queue.tokensOf(item.priorityClass)
    const perMs = this._drain.perMs(nowMs)
    if (aheadCount === 0 || perMs === undefined) return 0
    const active = new Set([...this._queue.backlogged(), item.priorityClass])
    const activeShare = [...active].reduce((total, name) => total + this._fairShare.shareOf(name), 0)
    const classPerMs = perMs * this._fairShare.shareOf(item.priorityClass) / activeShare
    return aheadCount / Math.max(classPerMs, Number.MIN_VALUE)
  }

  private _refuse (item: WorkItem, reason: RefusalReason, message: string, waitMs?: number): AssignOutcome {
    const nowMs = this._parts.clock.nowMs()
    this._decisions.record(item.requestId, { kind: 'refused', atMs: nowMs, reason, message })
    const expectedWaitMs = waitMs ?? this._expectedWaitMs(item, nowMs)
    return { kind: 'refused', reason, message, retryAfterMs: retryAfterMs(expectedWaitMs, this._parts.random) }
  }

  private _enqueue (item: WorkItem, progress: Progress, onLeft: () => void): Promise<AssignOutcome> {
    const nowMs = this._parts.clock.nowMs()
    const place = this._places.next(item, nowMs)
    const waiting = waitFor({
      item,
      progress,
      enqueuedAtMs: nowMs,
      ...place,
      patienceEndsAtMs: nowMs + Math.min(MAX_PATIENCE_MS, PATIENCE_FRACTION * progress.remainingMs()),
      homes: homesFor(item.affinityText, this._popularity, nowMs),
      hopelessAtMs: progress.deadlineMs - this._shortestRunMs(item, nowMs),
      onHopeless: () => this._giveUp(waiting),
      onScopeClosed: () => this._withdraw(waiting),
      left: onLeft
    })
    const expectedWaitMs = Math.round(this._expectedWaitMs(item, nowMs))
    this._decisions.record(item.requestId, { kind: 'queued', atMs: nowMs, queuedCount: this._queue.count, expectedWaitMs })
    this._queue.add(waiting)
    if (!this._endpoints.couldTake(item)) this._refuseUnlessTakenSoon(waiting)
    this.pump()
    return waiting.outcome
  }

  private _refuseUnlessTakenSoon (waiting: Waiting): void {
    const atMs = this._parts.clock.nowMs() + NO_ENDPOINT_GRACE_MS
    const cancel = this._parts.clock.callAt(atMs, () => {
      this._endpoints.refresh(this._spec())
      if (this._endpoints.couldTake(waiting.item)) return
      this._refuseWaiting(waiting, RefusalReason.NoEndpoint, `no endpoint of ${this._pool} can take it`)
    })
    waiting.onSettled(cancel)
  }

  private _refuseAllUnlessOneComes (): void {
    if (this._emptyCheckArmed) return
    this._emptyCheckArmed = true
    this._parts.clock.callAt(this._parts.clock.nowMs() + NO_ENDPOINT_GRACE_MS, () => {
      this._emptyCheckArmed = false
      this._endpoints.refresh(this._spec())
      if (this._endpoints.available.length > 0) return
      for (const work of this._queue.all()) this._refuseWaiting(work, RefusalReason.NoEndpoint, `${this._pool} has no endpoint`)
    })
  }

  private _refuseWaiting (work: QueuedWork, reason: RefusalReason, message: string): void {
    if (!this._queue.remove(work)) return
    work.settle(this._refuse(work.item, reason, message))
    this._afterChange(this._parts.clock.nowMs())
  }

  /** Its deadline can't be met any more, wherever it went. */
  private _giveUp (waiting: Waiting): void {
    const reason = waiting.progress.isOver() ? RefusalReason.DeadlinePassed : RefusalReason.DeadlineUnreachable
    const waitedMs = Math.round(this._parts.clock.nowMs() - waiting.enqueuedAtMs)
    this._refuseWaiting(waiting, reason, `still waiting after ${waitedMs} ms`)
  }

  private _withdraw (waiting: Waiting): void {
    this._queue.remove(waiting)
    this._afterChange(this._parts.clock.nowMs())
  }

  private _dispatchNext (nowMs: number): boolean {
    if (this._queue.count === 0) return false
    const inUse = this._endpoints.inUse(nowMs)
    const backlogged = this._fairShare.inTurn(this._queue.backlogged())
    if (this._dispatchUrgent(backlogged[0], inUse, nowMs)) return true
    const open = inUse.filter(state => state.hasPlace)
    if (open.length === 0) return false
    if (backlogged.length > 0) return this._dispatchInTurn(backlogged, open, inUse, nowMs)
    const idle = open.filter(state => this._isIdle(state))
    const { ready, patient } = this._order(this._queue.idle.first(SCAN_COUNT), idle, inUse, nowMs)
    return this._dispatchTo(ready ?? patient, nowMs)
  }

  /** The best-paid class, while it is within its share, may go beyond this host's limits. */
  private _dispatchUrgent (className: string | undefined, inUse: EndpointState[], nowMs: number): boolean {
    if (className === undefined || !this._fairShare.isBestPaid(className)) return false
    const open = inUse.filter(state => state.hasPlaceForUrgent)
    const { ready, patient } = this._order(this._queue.first(className, SCAN_COUNT), open, inUse, nowMs)
    return this._dispatchTo(ready ?? patient, nowMs)
  }

  /** Work whose home is open first, in the turn of the classes; then what has waited for its home long enough. */
  private _dispatchInTurn (classNames: string[], open: EndpointState[], inUse: EndpointState[], nowMs: number): boolean {
    const patients: Dispatchable[] = []
    for (const className of classNames) {
      const { ready, patient } = this._order(this._queue.first(className, SCAN_COUNT), open, inUse, nowMs)
      if (ready) {
        for (const { work } of patients) work.passedCount += 1
        return this._dispatchTo(ready, nowMs)
      }
      if (patient) patients.push(patient)
    }
    return this._dispatchTo(patients[0], nowMs)
  }

  private _order (waiting: QueuedWork[], open: EndpointState[], inUse: EndpointState[], nowMs: number): Order {
    if (open.length === 0 || waiting.length === 0) return {}
    const inUseIds = this._endpoints.idsOf(inUse)
    return nextToDispatch({
      waiting,
      endpointsCount: inUse.length,
      nowMs,
      openFor: work => open.filter(state => isSuitable(state, work.item) && this._meetsDeadline(state, work)),
      homesOf: work => work.homes?.among(inUseIds) ?? new Set()
    })
  }

  private _dispatchTo (next: Dispatchable | undefined, nowMs: number): boolean {
    if (!next) return false
    const spec = this._spec()
    const choice = chooseEndpoint({
      ...next,
      spec,
      usualMsPerToken: this._runTime.msPerToken,
      reportedSlowness: state => this._endpoints.reportedSlowness(state),
      nowMs
    }, this._parts.random)
    invariant(choice, 'work that may be dispatched has no endpoint')
    this._dispatch(next.work, choice, nowMs)
    return true
  }

  private _isIdle (state: EndpointState): boolean {
    return state.estimatedCount < IDLE_FRACTION * state.capacityCount(this._spec())
  }

  private _meetsDeadline (state: EndpointState, work: QueuedWork): boolean {
    const { item, progress } = work
    const usualMs = this._runTime.msPerToken ?? 0
    const msPerToken = Math.max(state.health.msPerToken ?? 0, usualMs * this._endpoints.reportedSlowness(state))
    return this._runTime.expectedMs(item, msPerToken) <= progress.remainingMs()
  }

  private _dispatch (work: QueuedWork, { chosen, reason, candidates }: Choice, nowMs: number): void {
    const { item } = work
    const removed = this._queue.remove(work)
    invariant(removed, 'dispatched work was not waiting')
    if (!item.onlyWhenIdle) this._fairShare.charge(item.priorityClass, item.expectedTokensCount)
    this._drain.left(nowMs, item.expectedTokensCount)
    chosen.began(nowMs)
    const waitedMs = nowMs - work.enqueuedAtMs
    this._decisions.record(item.requestId, { kind: 'assigned', atMs: nowMs, waitedMs, endpointId: chosen.endpointId, reason, candidates })
    const assignment = createAssignment({
      endpoint: chosen.record,
      clock: this._parts.clock,
      scope: work.progress.scope,
      onFinish: result => this._finished(work, chosen, result)
    })
    work.settle({ kind: 'assigned', assignment })
  }

  private _finished (work: QueuedWork, state: EndpointState, result: AttemptResult): void {
    const { item } = work
    work.left()
    this._endpoints.ended(state, result, this._parts.clock.nowMs())
    if (result.kind === 'succeeded') {
      this._runTime.observe(item.priorityClass, result)
      if (!item.onlyWhenIdle) this._fairShare.correct(item.priorityClass, result.tokensCount - item.expectedTokensCount)
    }
    if (result.kind === 'refused' && !item.onlyWhenIdle) this._fairShare.correct(item.priorityClass, -item.expectedTokensCount)
    this.pump()
  }

  /** Keeps the drain rate, the gauges and the wake-up for a returning endpoint in step. */
  private _afterChange (nowMs: number): void {
    this._drain.setBacklogged(nowMs, this._queue.count > 0)
    this._gaugeQueue()
    this._cancelWakeUp()
    const wakeAtMs = this._queue.count > 0 ? this._nextWakeAtMs(nowMs) : Infinity
    this._cancelWakeUp = wakeAtMs === Infinity ? () => {} : this._parts.clock.callAt(wakeAtMs, () => this.pump())
  }

  private _gaugeQueue (): void {
    const { metrics } = this._parts
    metrics.gauge(MetricName.QueueBytes, this._queue.bytes, { pool: this._pool })
    for (const [priorityClass, count] of this._queue.counts()) metrics.gauge(MetricName.QueueLength, count, { pool: this._pool, priorityClass })
  }

  /** When an endpoint comes back, or the first request stops waiting for the home of its prefix. */
  private _nextWakeAtMs (nowMs: number): number {
    const nextPatient = (className: string): number => {
      const patient = this._queue.first(className, SCAN_COUNT).find(work => work.patienceEndsAtMs > nowMs)
      return patient?.patienceEndsAtMs ?? Infinity
    }
    return Math.min(this._endpoints.nextReturnAtMs(nowMs) ?? Infinity, ...this._queue.backlogged().map(nextPatient))
  }
}
