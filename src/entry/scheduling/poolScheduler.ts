/**
 * Admission, queueing and dispatch of one pool.
 *
 * `dispatchWaiting` is called on every event that may free capacity or change
 * the order. It dispatches until no capacity is free or no queued request can
 * use it.
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
import { nextToDispatch, type Dispatchable, type DispatchCandidates } from './dispatchOrder.js'
import type { EndpointState } from './endpointState.js'
import { FairShare, classShares } from './fairShare.js'
import { PoolEndpoints, isSuitable } from './poolEndpoints.js'
import { PoolQueue } from './poolQueue.js'
import { PrefixPopularity, homesFor } from './prefixHomes.js'
import { RetryBudget } from '../../utils/retryBudget.js'
import type { AssignOutcome, AttemptResult, WorkItem } from './scheduler.js'
import type { SchedulerOptions } from './schedulerOptions.js'
import { DrainRate, RunTimeEstimate, retryAfterMs } from './waitForecast.js'
import { createWaitingRequest, type WaitingRequest } from './waitingRequest.js'

/** Queued requests that are considered per class, since the first ones may have to wait for certain endpoints. */
const MAX_SCANNED_COUNT = 64
/** Requests that no endpoint can take are refused after this time. */
const NO_ENDPOINT_GRACE_MS = 2_000
/** Fraction of the time to its deadline that a request waits for free capacity at a home of its prefix. */
const AFFINITY_WAIT_FRACTION = 0.2
const MAX_AFFINITY_WAIT_MS = 1_000
/** An endpoint whose load is below this fraction of its capacity counts as idle. */
const IDLE_FRACTION = 0.25

export class PoolScheduler {
  readonly retryBudget: RetryBudget
  private readonly _options: SchedulerOptions
  private readonly _pool: string
  private readonly _decisions: DecisionLog
  private readonly _fairShare = new FairShare()
  private readonly _queue = new PoolQueue(this._fairShare)
  private readonly _queueOrder = new QueueOrder()
  private readonly _endpoints: PoolEndpoints
  private readonly _drainRate: DrainRate
  private readonly _runTimeEstimate = new RunTimeEstimate()
  private readonly _popularity = new PrefixPopularity()
  private _sharesRevision: number | undefined
  private _isEmptyCheckScheduled = false
  private _cancelWakeUp = (): void => {}

  constructor (options: SchedulerOptions, pool: string, decisions: DecisionLog) {
    this._options = options
    this._pool = pool
    this._decisions = decisions
    this._endpoints = new PoolEndpoints(options, pool)
    this._drainRate = new DrainRate(options.clock.nowMs())
    this.retryBudget = new RetryBudget(options.clock)
  }

  get queuedCount (): number {
    return this._queue.count
  }

  get queuedBytes (): number {
    return this._queue.bytes
  }

  /** @param onRelease called once when the request is neither queued nor running any more */
  assign (item: WorkItem, progress: Progress, onRelease: () => void): Promise<AssignOutcome> {
    const spec = this._spec()
    this._endpoints.refresh(spec)
    this._refreshShares()
    const refusal = this._refusalWhenAllFailed(item) ?? this._refusalForDeadline(item, progress) ?? this._makeRoom(item, spec)
    if (refusal) {
      onRelease()
      return Promise.resolve(refusal)
    }
    if (item.excludedEndpointIds.length === 0) this.retryBudget.depositFirstAttempt()
    return this._enqueue(item, progress, onRelease)
  }

  /** Dispatches queued requests to free capacity. Must be called when endpoints or the configuration change. */
  dispatchWaiting (): void {
    if (this._queue.count === 0) return
    const nowMs = this._options.clock.nowMs()
    this._endpoints.refresh(this._spec())
    this._refreshShares()
    if (this._endpoints.available.length === 0) this._refuseAllIfPoolStaysEmpty()
    while (this._dispatchNext(nowMs)) { /* each call dispatches one request */ }
    this._onQueueChanged(nowMs)
  }

  private _spec (): EndpointPoolSpec {
    const resource = this._options.configuration.get(ResourceKind.EndpointPool, this._pool)
    return resource?.spec ?? this._lastSpec()
  }

  /** A deleted pool still serves its queue, but admits no new requests. */
  private _lastSpec (): EndpointPoolSpec {
    const spec = this._endpoints.spec
    invariant(spec, `pool ${this._pool} was never declared`)
    return spec
  }

  private _refreshShares (): void {
    const { revision } = this._options.configuration
    if (revision === this._sharesRevision) return
    this._sharesRevision = revision
    const classes = this._options.configuration.list(ResourceKind.PriorityClass)
    this._fairShare.setShares(classShares(classes.map(({ name, spec }) => ({ className: name, spec }))))
  }

  /** Every endpoint has been tried, so the request is refused immediately instead of after the grace period. */
  private _refusalWhenAllFailed (item: WorkItem): AssignOutcome | undefined {
    if (item.excludedEndpointIds.length === 0 || this._endpoints.available.length === 0) return undefined
    if (this._endpoints.hasCandidateFor(item)) return undefined
    return this._refuse(item, RefusalReason.NoEndpoint, `the request has failed on every endpoint of pool ${this._pool}`)
  }

  private _refusalForDeadline (item: WorkItem, progress: Progress): AssignOutcome | undefined {
    const nowMs = this._options.clock.nowMs()
    const remainingMs = progress.remainingMs()
    const runMs = this._shortestRunMs(item, nowMs)
    if (runMs > remainingMs) {
      return this._refuse(item, RefusalReason.DeadlineUnreachable, `the request needs about ${Math.round(runMs)} ms to run, but its deadline is in ${Math.round(remainingMs)} ms`)
    }
    const waitMs = this._expectedWaitMs(item, nowMs)
    const typicalRunMs = this._runTimeEstimate.expectedMs(item)
    if (waitMs === 0 || waitMs + typicalRunMs <= remainingMs) return undefined
    const message = `the request would be queued for about ${Math.round(waitMs)} ms, but its deadline is in ${Math.round(remainingMs)} ms`
    return this._refuse(item, RefusalReason.DeadlineUnreachable, message, waitMs)
  }

  /** Expected run time on the fastest endpoint; 0 before the first measurement. */
  private _shortestRunMs (item: WorkItem, nowMs: number): number {
    return this._runTimeEstimate.expectedMs(item, this._endpoints.fastestMsPerToken(nowMs) ?? 0)
  }

  private _makeRoom (item: WorkItem, spec: EndpointPoolSpec): AssignOutcome | undefined {
    const classSpec = this._options.configuration.get(ResourceKind.PriorityClass, item.priorityClass)?.spec
    const room = this._queue.makeRoomFor(item, spec, classSpec?.maxQueuedCount ?? 0)
    if (room.kind === 'full') return this._refuse(item, RefusalReason.QueueFull, room.message)
    for (const work of room.evicted) {
      work.settle(this._refuse(work.item, RefusalReason.QueueFull, 'evicted from the full queue in favour of a class further below its share'))
    }
    return undefined
  }

  /** Expected time in the queue behind the requests of the item's class. */
  private _expectedWaitMs (item: WorkItem, nowMs: number): number {
    const tokensAheadCount = item.onlyWhenIdle ? 0 : this._queue.tokensOf(item.priorityClass)
    const tokensPerMs = this._drainRate.tokensPerMs(nowMs)
    if (tokensAheadCount === 0 || tokensPerMs === undefined) return 0
    const activeClasses = new Set([...this._queue.backloggedClasses(), item.priorityClass])
    const activeShare = [...activeClasses].reduce((total, name) => total + this._fairShare.shareOf(name), 0)
    const classTokensPerMs = tokensPerMs * this._fairShare.shareOf(item.priorityClass) / activeShare
    return tokensAheadCount / Math.max(classTokensPerMs, Number.MIN_VALUE)
  }

  private _refuse (item: WorkItem, reason: RefusalReason, message: string, waitMs?: number): AssignOutcome {
    const nowMs = this._options.clock.nowMs()
    this._decisions.record(item.requestId, { kind: 'refused', atMs: nowMs, reason, message })
    const expectedWaitMs = waitMs ?? this._expectedWaitMs(item, nowMs)
    return { kind: 'refused', reason, message, retryAfterMs: retryAfterMs(expectedWaitMs, this._options.random) }
  }

  private _enqueue (item: WorkItem, progress: Progress, onRelease: () => void): Promise<AssignOutcome> {
    const nowMs = this._options.clock.nowMs()
    const position = this._queueOrder.next(item, nowMs)
    const waiting = createWaitingRequest({
      item,
      progress,
      enqueuedAtMs: nowMs,
      ...position,
      affinityWaitEndsAtMs: nowMs + Math.min(MAX_AFFINITY_WAIT_MS, AFFINITY_WAIT_FRACTION * progress.remainingMs()),
      homes: homesFor(item.affinityText, this._popularity, nowMs),
      deadlineUnreachableAtMs: progress.deadlineMs - this._shortestRunMs(item, nowMs),
      onDeadlineUnreachable: () => this._refuseUnreachable(waiting),
      onScopeClosed: () => this._withdraw(waiting),
      release: onRelease
    })
    const expectedWaitMs = Math.round(this._expectedWaitMs(item, nowMs))
    this._decisions.record(item.requestId, { kind: 'queued', atMs: nowMs, queuedCount: this._queue.count, expectedWaitMs })
    this._queue.add(waiting)
    if (!this._endpoints.hasCandidateFor(item)) this._refuseIfStillWithoutCandidate(waiting)
    this.dispatchWaiting()
    return waiting.outcome
  }

  private _refuseIfStillWithoutCandidate (waiting: WaitingRequest): void {
    const atMs = this._options.clock.nowMs() + NO_ENDPOINT_GRACE_MS
    const cancel = this._options.clock.callAt(atMs, () => {
      this._endpoints.refresh(this._spec())
      if (this._endpoints.hasCandidateFor(waiting.item)) return
      this._refuseWaiting(waiting, RefusalReason.NoEndpoint, `no endpoint of pool ${this._pool} can take the request`)
    })
    waiting.onSettled(cancel)
  }

  private _refuseAllIfPoolStaysEmpty (): void {
    if (this._isEmptyCheckScheduled) return
    this._isEmptyCheckScheduled = true
    this._options.clock.callAt(this._options.clock.nowMs() + NO_ENDPOINT_GRACE_MS, () => {
      this._isEmptyCheckScheduled = false
      this._endpoints.refresh(this._spec())
      if (this._endpoints.available.length > 0) return
      for (const work of this._queue.all()) this._refuseWaiting(work, RefusalReason.NoEndpoint, `pool ${this._pool} has no endpoints`)
    })
  }

  private _refuseWaiting (work: QueuedWork, reason: RefusalReason, message: string): void {
    if (!this._queue.remove(work)) return
    work.settle(this._refuse(work.item, reason, message))
    this._onQueueChanged(this._options.clock.nowMs())
  }

  /** No endpoint can finish the request before its deadline any more. */
  private _refuseUnreachable (waiting: WaitingRequest): void {
    const reason = waiting.progress.isPastDeadline() ? RefusalReason.DeadlinePassed : RefusalReason.DeadlineUnreachable
    const waitedMs = Math.round(this._options.clock.nowMs() - waiting.enqueuedAtMs)
    this._refuseWaiting(waiting, reason, `the request was still queued after ${waitedMs} ms`)
  }

  private _withdraw (waiting: WaitingRequest): void {
    this._queue.remove(waiting)
    this._onQueueChanged(this._options.clock.nowMs())
  }

  private _dispatchNext (nowMs: number): boolean {
    if (this._queue.count === 0) return false
    const inUse = this._endpoints.inUse(nowMs)
    const classNames = this._fairShare.inServiceOrder(this._queue.backloggedClasses())
    if (this._dispatchUrgent(classNames[0], inUse, nowMs)) return true
    const open = inUse.filter(state => state.hasCapacity)
    if (open.length === 0) return false
    if (classNames.length > 0) return this._dispatchByFairShare(classNames, open, inUse, nowMs)
    const idle = open.filter(state => this._isIdle(state))
    const { ready, fallback } = this._selectWork(this._queue.idle.first(MAX_SCANNED_COUNT), idle, inUse, nowMs)
    return this._dispatchSelected(ready ?? fallback, nowMs)
  }

  /** The best-paid class may exceed this host's limits when that class is the next to be served. */
  private _dispatchUrgent (className: string | undefined, inUse: EndpointState[], nowMs: number): boolean {
    if (className === undefined || !this._fairShare.isBestPaid(className)) return false
    const open = inUse.filter(state => state.hasUrgentCapacity)
    const { ready, fallback } = this._selectWork(this._queue.first(className, MAX_SCANNED_COUNT), open, inUse, nowMs)
    return this._dispatchSelected(ready ?? fallback, nowMs)
  }

  /** Requests with a free home are dispatched first, in the fair order of classes; then those whose affinity wait has ended. */
  private _dispatchByFairShare (classNames: string[], open: EndpointState[], inUse: EndpointState[], nowMs: number): boolean {
    const fallbacks: Dispatchable[] = []
    for (const className of classNames) {
      const { ready, fallback } = this._selectWork(this._queue.first(className, MAX_SCANNED_COUNT), open, inUse, nowMs)
      if (ready) {
        for (const { work } of fallbacks) work.skippedCount += 1
        return this._dispatchSelected(ready, nowMs)
      }
      if (fallback) fallbacks.push(fallback)
    }
    return this._dispatchSelected(fallbacks[0], nowMs)
  }

  private _selectWork (waiting: QueuedWork[], open: EndpointState[], inUse: EndpointState[], nowMs: number): DispatchCandidates {
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

  private _dispatchSelected (next: Dispatchable | undefined, nowMs: number): boolean {
    if (!next) return false
    const spec = this._spec()
    const choice = chooseEndpoint({
      ...next,
      spec,
      typicalMsPerToken: this._runTimeEstimate.msPerToken,
      reportedSlowness: state => this._endpoints.reportedSlowness(state),
      nowMs
    }, this._options.random)
    invariant(choice, 'a dispatchable request has no endpoint')
    this._dispatch(next.work, choice, nowMs)
    return true
  }

  private _isIdle (state: EndpointState): boolean {
    return state.estimatedCount < IDLE_FRACTION * state.capacityCount(this._spec())
  }

  private _meetsDeadline (state: EndpointState, work: QueuedWork): boolean {
    const { item, progress } = work
    const typicalMs = this._runTimeEstimate.msPerToken ?? 0
    const msPerToken = Math.max(state.health.msPerToken ?? 0, typicalMs * this._endpoints.reportedSlowness(state))
    return this._runTimeEstimate.expectedMs(item, msPerToken) <= progress.remainingMs()
  }

  private _dispatch (work: QueuedWork, { chosen, reason, candidates }: Choice, nowMs: number): void {
    const { item } = work
    const removed = this._queue.remove(work)
    invariant(removed, 'a dispatched request was not queued')
    if (!item.onlyWhenIdle) this._fairShare.charge(item.priorityClass, item.expectedTokensCount)
    this._drainRate.dequeued(nowMs, item.expectedTokensCount)
    chosen.started(nowMs)
    const waitedMs = nowMs - work.enqueuedAtMs
    this._decisions.record(item.requestId, { kind: 'assigned', atMs: nowMs, waitedMs, endpointId: chosen.endpointId, reason, candidates })
    const assignment = createAssignment({
      endpoint: chosen.record,
      clock: this._options.clock,
      scope: work.progress.scope,
      onFinish: result => this._attemptFinished(work, chosen, result)
    })
    work.settle({ kind: 'assigned', assignment })
  }

  private _attemptFinished (work: QueuedWork, state: EndpointState, result: AttemptResult): void {
    const { item } = work
    work.release()
    this._endpoints.ended(state, result, this._options.clock.nowMs())
    if (result.kind === 'succeeded') {
      this._runTimeEstimate.observe(item.priorityClass, result)
      if (!item.onlyWhenIdle) this._fairShare.correct(item.priorityClass, result.tokensCount - item.expectedTokensCount)
    }
    if (result.kind === 'refused' && !item.onlyWhenIdle) this._fairShare.correct(item.priorityClass, -item.expectedTokensCount)
    this.dispatchWaiting()
  }

  /** Updates the drain rate, the gauges and the timer of the next dispatch. */
  private _onQueueChanged (nowMs: number): void {
    this._drainRate.setBacklogged(nowMs, this._queue.count > 0)
    this._reportQueueMetrics()
    this._cancelWakeUp()
    const wakeAtMs = this._queue.count > 0 ? this._nextWakeAtMs(nowMs) : Infinity
    this._cancelWakeUp = wakeAtMs === Infinity ? () => {} : this._options.clock.callAt(wakeAtMs, () => this.dispatchWaiting())
  }

  private _reportQueueMetrics (): void {
    const { metrics } = this._options
    metrics.gauge(MetricName.QueueBytes, this._queue.bytes, { pool: this._pool })
    for (const [priorityClass, count] of this._queue.counts()) metrics.gauge(MetricName.QueueLength, count, { pool: this._pool, priorityClass })
  }

  /** The earliest instant at which an endpoint is reinstated or the affinity wait of a request ends. */
  private _nextWakeAtMs (nowMs: number): number {
    const nextAffinityWaitEndAtMs = (className: string): number => {
      const next = this._queue.first(className, MAX_SCANNED_COUNT).find(work => work.affinityWaitEndsAtMs > nowMs)
      return next?.affinityWaitEndsAtMs ?? Infinity
    }
    return Math.min(this._endpoints.nextReinstatementAtMs(nowMs) ?? Infinity, ...this._queue.backloggedClasses().map(nextAffinityWaitEndAtMs))
  }
}
