/**
 * Forwards a request to an endpoint of its route's service, and to other
 * endpoints if that try fails and the request may run more than once. A second try
 * is started beside the first when the first takes unusually long (hedged
 * requests; Dean and Barroso, "The Tail at Scale", 2013).
 */
import type { ServiceAdmission } from '../balancing/serviceAdmission.js'
import type { EndpointClient, EndpointOutcome, ReportedLoad } from '../endpoints/endpointClient.js'
import type { EndpointPool } from '../endpoints/endpointPool.js'
import { FailureAttribution } from '../endpoints/failureAttribution.js'
import type { FleetView } from '../fleet/fleetView.js'
import type { FleetEndpoint } from '../protocol/fleet.js'
import { Executed, RefusalReason, RetryReason } from '../protocol/refusals.js'
import { RouteKind } from '../protocol/routing.js'
import { QuarantineStatus, type QuarantinedRun, type RequestQuarantine } from '../quarantine/requestQuarantine.js'
import type { RequestIdentity } from '../quarantine/requestIdentity.js'
import type { Clock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { RandomSource } from '../utils/randomSource.js'
import { RetryBudget } from '../utils/retryBudget.js'
import type { Scope } from '../utils/scope.js'
import { Signal } from '../utils/signal.js'
import { recordFailedTry, type FailedOutcome } from './failedTry.js'
import type { ForwardHead, ForwardOutcome, ForwardRequest, HeadDecision } from './forwardRequest.js'
import { GatewayEvent } from './gatewayEvents.js'
import { hedgeDelayMs, isTryLate, waitOrRefuse, type RunningTry } from './requestPolicy.js'
import { chooseService } from './routeTable.js'
import { FairWaitQueue, type QueueEntry } from './fairWaitQueue.js'

/** Pause before the endpoints of a service are tried again after all of them were full. */
const FULL_RETRY_MS = 20

export interface RequestForwarderOptions {
  view: FleetView
  pool: EndpointPool
  client: EndpointClient
  quarantine: RequestQuarantine
  random: RandomSource
  logger: Logger
  metrics: Metrics
  /** Shares full services among classes and accounts; without it, a host decides by its own calls. */
  admission?: ServiceAdmission | undefined
}

export class RequestForwarder {
  private readonly _options: RequestForwarderOptions
  /** Hedged tries add at most a tenth to the load of a service. */
  private readonly _hedgeBudgets = new Map<string, RetryBudget>()
  private readonly _waitQueue = new FairWaitQueue()

  constructor (options: RequestForwarderOptions) {
    this._options = options
  }

  /** Decides at once, before the body of a request is read, whether its service has room for it. */
  admit ({ route, account, priority, remainingMs }: ForwardHead): HeadDecision {
    const service = chooseService(route, this._options.random)
    const decision = this._options.admission?.admit({ route, service, account, priority: priority ?? route.priority, remainingMs })
    if (decision?.kind !== 'refused') return { kind: 'admitted', service }
    return { kind: 'refused', executed: Executed.No, reason: RefusalReason.QueueFull, retryAfterMs: decision.retryAfterMs }
  }

  /** @throws ScopeClosedError when the caller disconnects first. */
  async forward (request: ForwardRequest): Promise<ForwardOutcome> {
    const scope = request.progress.scope.child('tries')
    const service = request.service ?? this._chooseUnadmitted(request)
    const run = new ForwardRun(this._options, request, service, this._hedgeBudgetOf(service, request.progress.clock), this._waitQueue, scope)
    try {
      return await run.run()
    } finally {
      run.leaveQueue()
      scope.close('forwarded')
    }
  }

  /** The service of a request that did not ask for admission; its demand counts all the same. */
  private _chooseUnadmitted ({ route, account, priority, progress }: ForwardRequest): string {
    const service = chooseService(route, this._options.random)
    this._options.admission?.countUnrefused({ route, service, account, priority: priority ?? route.priority, remainingMs: progress.remainingMs() })
    return service
  }

  private _hedgeBudgetOf (service: string, clock: Clock): RetryBudget {
    const budget = this._hedgeBudgets.get(service) ?? new RetryBudget(clock)
    this._hedgeBudgets.set(service, budget)
    return budget
  }
}

type AnsweredOutcome = Extract<ForwardOutcome, { kind: 'answered' }>

class ForwardRun {
  private readonly _options: RequestForwarderOptions
  private readonly _request: ForwardRequest
  private readonly _scope: Scope
  private readonly _identity: RequestIdentity
  private readonly _service: string
  private readonly _hedgeBudget: RetryBudget
  private readonly _waitQueue: FairWaitQueue
  private readonly _queueEntry: QueueEntry
  private readonly _tried = new Set<string>()
  /** Endpoints that have refused this request as full. */
  private readonly _refusedBy = new Set<string>()
  /** Notified when a try ends, and when the endpoint of an open try reports a slowdown. */
  private readonly _wake = new Signal()
  private readonly _startedAtMs: number
  private _triesCount = 0
  private _openTriesCount = 0
  /** Tries that an endpoint ran or may have run. */
  private _ranCount = 0
  private _isStarted = false
  private _lastTry: { endpointId: string, startedAtMs: number } | undefined
  private readonly _failures: FailureAttribution
  private _answer: AnsweredOutcome | undefined
  private _failure: AnsweredOutcome | undefined

  constructor (options: RequestForwarderOptions, request: ForwardRequest, service: string, hedgeBudget: RetryBudget, waitQueue: FairWaitQueue, scope: Scope) {
    this._options = options
    this._request = request
    this._scope = scope
    this._identity = options.quarantine.identify(request, request.isOwed)
    this._service = service
    this._failures = new FailureAttribution(() => this._identity.digest)
    this._hedgeBudget = hedgeBudget
    this._startedAtMs = request.progress.clock.nowMs()
    this._waitQueue = waitQueue
    this._queueEntry = { service, priority: request.priority ?? request.route.priority }
  }

  leaveQueue (): void {
    this._waitQueue.leave(this._queueEntry)
  }

  async run (): Promise<ForwardOutcome> {
    const { progress } = this._request
    this._hedgeBudget.depositFirstAttempt()
    while (!this._answer && !progress.isPastDeadline()) {
      if (this._openTriesCount === 0) {
        const outcome = this._withheld() ?? this._tryNext()
        if (outcome) return outcome
      }
      await this._wake.wait(this._scope, { clock: progress.clock, deadlineMs: this._nextCheckAtMs() })
      if (this._mayTry && this._hasTime && this._mayHedge()) this._hedgeIfLate()
    }
    return this._answer ?? this._refuse(RefusalReason.DeadlinePassed)
  }

  private get _hasTime (): boolean {
    return this._request.hasTime?.() ?? true
  }

  /** Owed work that may run again is repeated whatever is said of a try. */
  private get _isToldWhetherItRan (): boolean {
    const { route, isPersistent } = this._request
    return route.kind === RouteKind.AtMostOnce || isPersistent !== true
  }

  private get _mayTry (): boolean {
    return this._request.mayTry?.() ?? true
  }

  /** Undefined if a try may start. */
  private _withheld (): ForwardOutcome | undefined {
    if (!this._mayTry) return this._refuse(RefusalReason.LeaseLost)
    return this._ranCount === 0 && !this._hasTime ? this._refuse(RefusalReason.HostStopping, 0) : undefined
  }

  /** Starts a try; returns the outcome of the request when no further try is allowed or useful. */
  private _tryNext (): ForwardOutcome | undefined {
    const { route } = this._request
    const mayRunAgain = this._ranCount === 0 || (route.kind !== RouteKind.AtMostOnce && this._ranCount < route.maxAttemptsCount)
    if (!mayRunAgain) return this._failure ?? this._refuse(RefusalReason.EndpointFailed)
    const status = this._options.quarantine.statusOf(this._identity)
    if (status === QuarantineStatus.Condemned) return this._refuseQuarantined()
    const endpoint = this._chooseIfNext()
    // When every endpoint refuses connections, the request waits for the first endpoint that is back, or for the request's deadline.
    if (endpoint && (this._options.pool.isRefusing(endpoint) || !this._options.quarantine.mayStart(status, endpoint))) return undefined
    if (endpoint) {
      this._startTry(endpoint)
      return undefined
    }
    this._waitQueue.enqueue(this._queueEntry)
    return this._request.isPersistent === true ? undefined : this._waitOrRefuse()
  }

  /** Undefined when the request waits for a free slot. */
  private _waitOrRefuse (): ForwardOutcome | undefined {
    const { route, account, progress } = this._request
    const remainingMs = progress.remainingMs()
    // What may have run cannot be refused to the caller's use.
    const turn = this._ranCount > 0 ? undefined : this._options.admission?.mayWait({ route, service: this._service, priority: this._queueEntry.priority, account, remainingMs })
    if (turn?.kind === 'refused') return this._refuse(RefusalReason.QueueFull, turn.retryAfterMs)
    const undispatched = { forecast: this._options.pool.forecast(this._service), waitedMs: progress.clock.nowMs() - this._startedAtMs, remainingMs }
    const decision = waitOrRefuse(undispatched, this._options.random)
    return decision.kind === 'refuse' ? this._refuse(RefusalReason.NoEndpoint, decision.retryAfterMs) : undefined
  }

  private _nextCheckAtMs (): number {
    const { progress: { clock, deadlineMs } } = this._request
    const nowMs = clock.nowMs()
    const open = this._runningTry()
    if (this._openTriesCount === 0 || !this._lastTry || !open) return Math.min(deadlineMs, nowMs + FULL_RETRY_MS)
    const delayMs = hedgeDelayMs(open)
    const isLateAtMs = this._lastTry.startedAtMs + delayMs
    // A late try waits for an endpoint or for the budget of second tries; one that may have no second waits for its end.
    const pauseMs = this._mayHedge() ? FULL_RETRY_MS : delayMs
    return Math.min(deadlineMs, isLateAtMs > nowMs ? isLateAtMs : nowMs + pauseMs)
  }

  /** The latest try; undefined before the first. */
  private _runningTry (): RunningTry | undefined {
    if (!this._lastTry) return undefined
    const { pool } = this._options
    const { endpointId, startedAtMs } = this._lastTry
    return {
      sortedDurationsMs: pool.sortedDurationsMs(this._service),
      typicalMs: pool.typicalMs(this._service),
      elsewhereMs: pool.expectedElsewhereMs(this._service, this._tried),
      elapsedMs: this._request.progress.clock.nowMs() - startedAtMs,
      slowdownFactor: pool.health(endpointId).slowdownFactor
    }
  }

  private _mayHedge (): boolean {
    const { route, progress } = this._request
    const mayRepeat = route.kind !== RouteKind.AtMostOnce && this._ranCount + this._openTriesCount < route.maxAttemptsCount
    // A request that terminates endpoints would terminate the second endpoint as well.
    if (this._options.quarantine.statusOf(this._identity) !== QuarantineStatus.Free) return false
    if (this._options.admission?.isCutting(this._service) === true) return false
    return mayRepeat && !progress.isPastDeadline() && this._openTriesCount === 1
  }

  private _hedgeIfLate (): void {
    const open = this._runningTry()
    if (!open || !isTryLate(open)) return
    const endpoint = this._choose()
    if (!endpoint || this._tried.has(endpoint.endpointId) || this._options.pool.isRefusing(endpoint)) return
    if (!this._hedgeBudget.tryWithdraw()) return
    this._startTry(endpoint)
    this._countRetry(RetryReason.Hedged)
  }

  /** Undefined while other waiting requests are ahead of this one. */
  private _chooseIfNext (): FleetEndpoint | undefined {
    const { pool } = this._options
    return this._waitQueue.mayTry(this._queueEntry, pool.availableSlotsCount(this._service)) ? this._choose() : undefined
  }

  private _choose (): FleetEndpoint | undefined {
    return this._options.pool.choose(this._service, this._tried, this._options.quarantine.riskyEndpointIds())
  }

  private _startTry (endpoint: FleetEndpoint): void {
    this._tried.add(endpoint.endpointId)
    this._lastTry = { endpointId: endpoint.endpointId, startedAtMs: this._request.progress.clock.nowMs() }
    this._triesCount++
    this._request.onTry?.()
    this._openTriesCount++
    this._logTry(endpoint)
    this._try(endpoint).catch(error => {
      if (!(error instanceof ScopeClosedError)) throw error
    })
  }

  private async _try (endpoint: FleetEndpoint): Promise<void> {
    const { method, path, host, headers, body, attemptId, account, progress } = this._request
    const { clock } = progress
    const health = this._options.pool.health(endpoint.endpointId)
    const startedAtMs = clock.nowMs()
    const run = this._options.quarantine.startRun(this._identity, endpoint)
    let isSettled = false
    let isOutOfTime = false
    health.began()
    health.runningCount++
    const removeListener = health.onSlowdown(() => this._wake.notify())
    try {
      const wasRefusedThere = this._isToldWhetherItRan && this._refusedBy.has(endpoint.endpointId)
      const request = { endpoint, method, path, host, headers, body, attemptId, wasRefusedThere, account, deadlineMs: progress.deadlineMs }
      const outcome = await this._options.client.call(request, this._scope)
      isOutOfTime = outcome.kind === 'broken' && outcome.isOutOfTime === true
      // It counts as an open try: it may be at work still.
      if (isOutOfTime) return
      isSettled = true
      this._openTriesCount--
      this._onOutcome(run, outcome, startedAtMs)
      this._wake.notify()
    } finally {
      removeListener()
      health.runningCount--
      if (!isSettled) this._options.quarantine.abandoned(run)
      if (!isSettled) this._notifyStarted(startedAtMs)
      if (this._scope.isClosed || isOutOfTime) health.recordDuration(clock.nowMs() - startedAtMs)
    }
  }

  private _onOutcome (run: QuarantinedRun, outcome: EndpointOutcome, startedAtMs: number): void {
    const { endpoint } = run
    const durationMs = this._request.progress.clock.nowMs() - startedAtMs
    const health = this._options.pool.health(endpoint.endpointId)
    switch (outcome.kind) {
      case 'answered':
        this._notifyStarted(startedAtMs)
        this._waitQueue.served(this._queueEntry)
        this._recordServiceLoad(endpoint, outcome.load, durationMs)
        if (outcome.status < 500) {
          this._options.quarantine.answered(run)
          health.succeeded(durationMs, outcome.load)
          this._failures.accepted(endpoint.endpointId)
          this._options.pool.recordDuration(this._service, durationMs)
        } else {
          this._options.quarantine.answeredWithError(run)
          // The duration is not recorded: how fast an endpoint fails says nothing about how fast it serves requests.
          health.responded()
          health.recordLoad(outcome.load)
          this._failures.note(endpoint.endpointId, health, startedAtMs, outcome.status)
        }
        return this._onAnswer(endpoint, outcome)
      default:
        this._options.quarantine.failed(run, outcome)
        if (outcome.kind === 'notExecuted') this._options.admission?.refusedByEndpoint(this._service)
        return this._onFailed(endpoint, startedAtMs, outcome)
    }
  }

  private _recordServiceLoad ({ dataCentre }: FleetEndpoint, load: ReportedLoad | undefined, durationMs: number): void {
    if (load) this._options.admission?.answered(this._service, { dataCentre, durationMs, load })
  }

  private _notifyStarted (sentAtMs: number): void {
    if (!this._isStarted) this._request.onBegan?.(sentAtMs)
    this._isStarted = true
  }

  /** The refusal carries no retry delay: a retry would be withheld as well. */
  private _refuseQuarantined (): ForwardOutcome {
    const { attemptId, route } = this._request
    this._options.quarantine.recordWithheld(this._identity, { attemptId, route: route.name })
    return this._refuse(RefusalReason.Quarantined, 0)
  }

  private _onFailed (endpoint: FleetEndpoint, startedAtMs: number, outcome: FailedOutcome): void {
    const { reason, detail, mayHaveRun, wasFull } = recordFailedTry(endpoint.endpointId, startedAtMs, outcome, this._options)
    if (mayHaveRun) {
      this._ranCount++
      this._notifyStarted(startedAtMs)
    }
    // A full endpoint may be tried again once all the others were tried.
    if (wasFull) {
      this._tried.delete(endpoint.endpointId)
      this._refusedBy.add(endpoint.endpointId)
    }
    this._logFailure(endpoint, reason, detail)
  }

  private _onAnswer (endpoint: FleetEndpoint, outcome: Extract<EndpointOutcome, { kind: 'answered' }>): void {
    const { status, headers, body, receipt } = outcome
    this._ranCount++
    const answer: AnsweredOutcome = { kind: 'answered', endpointId: endpoint.endpointId, status, headers, body, receipt, failedAnswersCount: this._failures.failuresCount }
    if (status < 500) {
      this._answer ??= answer
      return
    }
    this._failure = answer
    this._logFailure(endpoint, RetryReason.EndpointError, `status ${status}`)
  }

  private _refuse (reason: RefusalReason, retryAfterMs = this._options.pool.forecast(this._service)?.waitMs ?? 0): ForwardOutcome {
    if (this._failure) return this._failure
    const mayHaveRun = this._ranCount + this._openTriesCount > 0
    const executed = mayHaveRun ? Executed.Unknown : Executed.No
    return { kind: 'refused', executed, reason, retryAfterMs }
  }

  /** Logs the endpoint state that the choice was based on, and the age of this state. */
  private _logTry ({ endpointId, service, sequence }: FleetEndpoint): void {
    const { attemptId, route, progress } = this._request
    const health = this._options.pool.health(endpointId)
    this._options.logger.event(GatewayEvent.TryStarted, {
      attemptId,
      route: route.name,
      service,
      endpointId,
      announcementSequence: sequence,
      tryNumber: this._triesCount,
      isBesideAnother: this._openTriesCount > 1,
      busyCount: health.busyCount,
      loadAgeMs: finiteOrNull(health.loadAgeMs),
      meanMs: finiteOrNull(health.meanMs),
      isSuspect: health.isSuspect,
      remainingMs: Math.round(progress.remainingMs())
    })
  }

  private _countRetry (reason: RetryReason): void {
    this._options.metrics.count(MetricName.RequestRetried, { reason, pool: this._service })
  }

  private _logFailure (endpoint: FleetEndpoint, reason: RetryReason, detail: string): void {
    const { attemptId, route } = this._request
    this._countRetry(reason)
    this._options.logger.event(GatewayEvent.TryFailed, { attemptId, route: route.name, endpointId: endpoint.endpointId, reason, detail })
  }
}

/** For the log: a value that is missing or not finite is logged as null. */
function finiteOrNull (value: number | undefined): number | null {
  return value !== undefined && Number.isFinite(value) ? Math.round(value) : null
}
