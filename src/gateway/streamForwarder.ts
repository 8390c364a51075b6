/**
 * Forwards a streamed answer as it arrives. Until the first byte another
 * endpoint may be tried; after that only a stream on a resumable route continues
 * at another endpoint, after the last complete event, within the same answer.
 */
import type { EndpointClient, StreamHead, StreamOutcome } from '../endpoints/endpointClient.js'
import type { EndpointPool } from '../endpoints/endpointPool.js'
import { FailureAttribution } from '../endpoints/failureAttribution.js'
import type { FleetView } from '../fleet/fleetView.js'
import type { FleetEndpoint } from '../protocol/fleet.js'
import { Executed, RefusalReason, RetryReason } from '../protocol/refusals.js'
import { QuarantineStatus, type QuarantinedRun, type RequestQuarantine } from '../quarantine/requestQuarantine.js'
import type { RequestIdentity } from '../quarantine/requestIdentity.js'
import { sleepUntil } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { RandomSource } from '../utils/randomSource.js'
import { EventStreamSplitter } from './eventStreamSplitter.js'
import { recordFailedTry, type FailedOutcome } from './failedTry.js'
import { GatewayEvent } from './gatewayEvents.js'
import type { ForwardOutcome, ForwardRequest } from './forwardRequest.js'
import { waitOrRefuse, type WaitDecision } from './requestPolicy.js'
import { chooseService } from './routeTable.js'

/** Pause before the endpoints of a service are tried again after all of them were full. */
const FULL_RETRY_MS = 20
/** What is held of an event that is not complete, on a route that can be resumed. */
const MAX_EVENT_BYTES = 1024 * 1024

export interface StreamRequest extends ForwardRequest {
  /** Id of the last event that the caller has already received. */
  afterEventId: number | undefined
}

/** Receives the answer. */
export interface StreamSink {
  head (head: StreamHead): void
  /** Resolves when more may be written (backpressure). */
  write (bytes: Uint8Array): Promise<void>
}

export type StreamForwardOutcome =
  /** The complete stream was passed on. */
  | { kind: 'ended', endpointId: string }
  /** The caller has received part of the stream; its answer must not look complete. */
  | { kind: 'brokenOff', reason: string }
  /** Nothing was passed on as a stream. */
  | ForwardOutcome

export interface StreamForwarderOptions {
  view: FleetView
  pool: EndpointPool
  client: EndpointClient
  quarantine: RequestQuarantine
  random: RandomSource
  logger: Logger
  metrics: Metrics
}

export class StreamForwarder {
  private readonly _options: StreamForwarderOptions

  constructor (options: StreamForwarderOptions) {
    this._options = options
  }

  /** @throws ScopeClosedError when the caller disconnects first. */
  async forward (request: StreamRequest, sink: StreamSink): Promise<StreamForwardOutcome> {
    return await new StreamRun(this._options, request, sink).run()
  }
}

class StreamRun {
  private readonly _options: StreamForwarderOptions
  private readonly _request: StreamRequest
  private readonly _sink: StreamSink
  private readonly _identity: RequestIdentity
  private readonly _service: string
  private readonly _startedAtMs: number
  private readonly _failures: FailureAttribution
  private readonly _tried = new Set<string>()
  /** Endpoints that have refused this stream as full. */
  private readonly _refusedBy = new Set<string>()
  private _lastEventId: number | undefined
  private _isHeadSent = false
  private _isStarted = false
  private _splitter = new EventStreamSplitter()
  /** Tries that an endpoint ran or may have run. */
  private _ranCount = 0

  constructor (options: StreamForwarderOptions, request: StreamRequest, sink: StreamSink) {
    this._options = options
    this._request = request
    this._sink = sink
    this._identity = options.quarantine.identify(request, request.isOwed)
    this._failures = new FailureAttribution(() => this._identity.digest)
    this._service = chooseService(request.route, options.random)
    this._startedAtMs = request.progress.clock.nowMs()
    this._lastEventId = request.afterEventId
  }

  async run (): Promise<StreamForwardOutcome> {
    const { progress } = this._request
    const { quarantine } = this._options
    while (!progress.isPastDeadline()) {
      if (this._ranCount === 0 && !this._hasTime) return this._refuse(RefusalReason.HostStopping, 0)
      const status = quarantine.statusOf(this._identity)
      if (status === QuarantineStatus.Condemned) return this._refuseQuarantined()
      const endpoint = this._options.pool.choose(this._service, this._tried, quarantine.riskyEndpointIds())
      const hasToWait = endpoint !== undefined && (this._options.pool.isRefusing(endpoint) || !quarantine.mayStart(status, endpoint))
      if (hasToWait) {
        await this._waitBeforeRetry()
      } else if (endpoint) {
        const outcome = await this._try(endpoint)
        if (outcome) return outcome
      } else {
        const decision = this._waitOrRefuse()
        if (decision.kind === 'refuse') return this._refuse(RefusalReason.NoEndpoint, decision.retryAfterMs)
        await this._waitBeforeRetry()
      }
    }
    return this._refuse(RefusalReason.DeadlinePassed)
  }

  private get _hasTime (): boolean {
    return this._request.hasTime?.() ?? true
  }

  private async _waitBeforeRetry (): Promise<void> {
    const { clock, scope, deadlineMs } = this._request.progress
    await sleepUntil(clock, scope, Math.min(deadlineMs, clock.nowMs() + FULL_RETRY_MS))
  }

  private _refuseQuarantined (): StreamForwardOutcome {
    const { attemptId, route } = this._request
    this._options.quarantine.recordWithheld(this._identity, { attemptId, route: route.name })
    return this._refuse(RefusalReason.Quarantined, 0)
  }

  /** A caller that has received part of its answer always waits for the rest. */
  private _waitOrRefuse (): WaitDecision {
    const { progress } = this._request
    const { pool, random } = this._options
    if (this._isHeadSent) return { kind: 'wait' }
    return waitOrRefuse({ forecast: pool.forecast(this._service), waitedMs: progress.clock.nowMs() - this._startedAtMs, remainingMs: progress.remainingMs() }, random)
  }

  /** A stream counts as started with the first data that arrives. */
  private _notifyStarted (): void {
    if (!this._isStarted) this._request.onBegan?.(this._request.progress.clock.nowMs())
    this._isStarted = true
  }

  /** Tries one endpoint; returns undefined when another one may be tried. */
  private async _try (endpoint: FleetEndpoint): Promise<StreamForwardOutcome | undefined> {
    const { progress } = this._request
    const { pool } = this._options
    this._tried.add(endpoint.endpointId)
    this._request.onTry?.()
    const health = pool.health(endpoint.endpointId)
    const scope = progress.scope.child(`stream from ${endpoint.endpointId}`)
    const cancelTimer = progress.clock.callAt(progress.deadlineMs, () => scope.close('deadline passed'))
    const run = this._options.quarantine.startRun(this._identity, endpoint)
    let isSettled = false
    const startedAtMs = progress.clock.nowMs()
    health.began()
    health.runningCount++
    try {
      const wasRefusedThere = this._refusedBy.has(endpoint.endpointId)
      const outcome = await this._options.client.stream({ ...this._request, endpoint, wasRefusedThere, deadlineMs: progress.deadlineMs, afterEventId: this._lastEventId }, scope, {
        onHead: head => {
          health.responded()
          this._onHead(head)
        },
        onData: chunk => this._onData(chunk)
      })
      isSettled = true
      return this._onOutcome(run, this._splitter.isAtEventEnd || outcome.kind !== 'ended' ? outcome : { kind: 'broken', reason: 'stream ended within an event' }, startedAtMs)
    } catch (error) {
      if (!(error instanceof ScopeClosedError) || progress.scope.isClosed) throw error
      return this._onOutOfTime(endpoint, scope.closeReason ?? '')
    } finally {
      cancelTimer()
      health.runningCount--
      if (!isSettled) this._options.quarantine.abandoned(run)
      scope.close('try over')
    }
  }

  /** The caller gets the head of the first endpoint; heads of later endpoints are dropped. */
  private _onHead (head: StreamHead): void {
    this._splitter = new EventStreamSplitter()
    if (this._isHeadSent) return
    this._isHeadSent = true
    this._sink.head(head)
  }

  /** Passes on complete events only; on a route that cannot be resumed, every chunk is passed on at once. */
  private async _onData (chunk: Uint8Array): Promise<string | undefined> {
    this._notifyStarted()
    if (!this._request.route.isResumable) {
      await this._sink.write(chunk)
      return undefined
    }
    const complete = this._splitter.push(chunk)
    if (!complete) return this._splitter.partialBytes > MAX_EVENT_BYTES ? `an event does not end within ${MAX_EVENT_BYTES} bytes` : undefined
    const nextId = (this._lastEventId ?? 0) + 1
    const isOutOfSequence = complete.firstId !== undefined && this._lastEventId !== undefined && complete.firstId !== nextId
    if (isOutOfSequence) return `got event ${complete.firstId}, expected ${nextId}`
    this._lastEventId = complete.lastId ?? this._lastEventId
    await this._sink.write(complete.bytes)
    return undefined
  }

  private _onOutcome (run: QuarantinedRun, outcome: StreamOutcome, startedAtMs: number): StreamForwardOutcome | undefined {
    const { quarantine } = this._options
    const { endpoint } = run
    switch (outcome.kind) {
      case 'ended':
        this._options.pool.health(endpoint.endpointId).accepted()
        this._failures.accepted(endpoint.endpointId)
        quarantine.answered(run)
        return { kind: 'ended', endpointId: endpoint.endpointId }
      case 'answered':
        this._recordAnswer(run, outcome.status, startedAtMs)
        this._ranCount++
        if (this._isHeadSent || (outcome.status >= 500 && this._mayResume())) return this._onBroken(endpoint, `status ${outcome.status}`)
        return { ...outcome, endpointId: endpoint.endpointId, failedAnswersCount: 0 }
      default:
        quarantine.failed(run, outcome)
        return this._onFailed(endpoint, startedAtMs, outcome)
    }
  }

  private _recordAnswer (run: QuarantinedRun, status: number, startedAtMs: number): void {
    const { quarantine, pool } = this._options
    const { endpointId } = run.endpoint
    const health = pool.health(endpointId)
    health.responded()
    if (status < 500) {
      quarantine.answered(run)
      health.accepted()
      this._failures.accepted(endpointId)
    } else {
      quarantine.answeredWithError(run)
      this._failures.note(endpointId, health, startedAtMs, status)
    }
  }

  private _onFailed (endpoint: FleetEndpoint, startedAtMs: number, outcome: FailedOutcome): StreamForwardOutcome | undefined {
    const { reason, detail, mayHaveRun, wasFull } = recordFailedTry(endpoint.endpointId, startedAtMs, outcome, this._options)
    if (outcome.kind === 'broken' && outcome.isOutOfTime === true) return this._onOutOfTime(endpoint, detail)
    if (mayHaveRun) {
      this._ranCount++
      return this._onBroken(endpoint, detail)
    }
    // A full endpoint may be tried again once all the others were tried.
    if (wasFull) {
      this._tried.delete(endpoint.endpointId)
      this._refusedBy.add(endpoint.endpointId)
    }
    return this._logFailure(endpoint, reason, detail)
  }

  private _onBroken (endpoint: FleetEndpoint, reason: string): StreamForwardOutcome | undefined {
    const { progress } = this._request
    if (this._mayResume()) return this._logFailure(endpoint, RetryReason.StreamResumed, reason)
    if (this._isHeadSent) return { kind: 'brokenOff', reason }
    this._logFailure(endpoint, RetryReason.ConnectionLost, reason)
    return this._refuse(progress.isPastDeadline() ? RefusalReason.DeadlinePassed : RefusalReason.EndpointFailed)
  }

  /** A timer may fire a moment before the clock reads the deadline. */
  private _onOutOfTime (endpoint: FleetEndpoint, reason: string): StreamForwardOutcome {
    this._ranCount++
    if (!this._isHeadSent) this._logFailure(endpoint, RetryReason.ConnectionLost, reason)
    return this._refuse(RefusalReason.DeadlinePassed)
  }

  private _mayResume (): boolean {
    const { route, progress } = this._request
    return route.isResumable && this._ranCount < route.maxAttemptsCount && !progress.isPastDeadline()
  }

  private _refuse (reason: RefusalReason, retryAfterMs = this._options.pool.forecast(this._service)?.waitMs ?? 0): StreamForwardOutcome {
    if (this._isHeadSent) return { kind: 'brokenOff', reason }
    const executed = this._ranCount > 0 ? Executed.Unknown : Executed.No
    return { kind: 'refused', executed, reason, retryAfterMs }
  }

  private _logFailure (endpoint: FleetEndpoint, reason: RetryReason, detail: string): undefined {
    const { attemptId, route } = this._request
    this._options.metrics.count(MetricName.RequestRetried, { reason, pool: endpoint.service })
    const fields = { attemptId, route: route.name, endpointId: endpoint.endpointId, reason, detail, lastEventId: this._lastEventId }
    this._options.logger.event(GatewayEvent.TryFailed, fields)
    return undefined
  }
}
