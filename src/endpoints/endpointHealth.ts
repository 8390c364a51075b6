/**
 * Health of one endpoint as observed by the calls of this host: how many calls run,
 * how long calls take, the load that the endpoint reported, and whether it is ejected.
 */
import type { Clock } from '../utils/clock.js'
import type { ReportedLoad } from './endpointClient.js'
import { CircuitBreaker } from './circuitBreaker.js'

/** Pause after a refusal for lack of a free slot, which lasts only briefly. */
const FULL_PAUSE_MS = 40
/** Minimum interval between connection attempts to an address that refuses them: a terminated endpoint takes a second or more to come back. */
const REFUSED_PAUSE_MS = 50
/** A single error may be caused by the request itself. */
const EJECTING_ERRORS_COUNT = 2
/** Weight of a new duration in the running mean. */
const MEAN_WEIGHT = 0.2
/** A mean without a new duration for this long is out of date. */
const MEAN_LIFETIME_MS = 5_000
/** Reported load is out of date after about the duration of one request. */
const LOAD_LIFETIME_MS = 150
/** A reported slowdown counts half after this long: other programs on the machine slow it down for moments of a tenth of a second. */
const SLOWDOWN_HALF_LIFE_MS = 100

/** Why an endpoint is ejected. */
export enum FailureReason {
  /** No connection was established. */
  Unreached = 'unreached',
  /** A running request broke, or sent no event. */
  Broken = 'broken',
  /** The endpoint did not report its state in time. */
  NoReport = 'no_report',
  /** The endpoint answers requests with errors, or does not start them, while the requests themselves are not to blame. */
  Failing = 'failing'
}

export interface EndpointHealthOptions {
  clock: Clock
  /** Called when the endpoint is ejected. */
  onEjected?: (reason: FailureReason, forMs: number, failuresCount: number) => void
  onReinstated?: () => void
  /** Whether so many endpoints of the service are ejected that the cause is probably not at the endpoints. */
  isWidespread?: () => boolean
}

export class EndpointHealth {
  runningCount = 0
  private readonly _options: EndpointHealthOptions
  private readonly _clock: Clock
  /** Counts failed connections and broken requests. */
  private readonly _connectionBreaker: CircuitBreaker
  /** Counts requests that the endpoint received and failed. */
  private readonly _errorBreaker: CircuitBreaker
  /** Requests that the endpoint failed since it last accepted a request, with the times at which the failures were recorded. */
  private readonly _requestErrors = new Map<string, number>()
  private _unreachableSinceMs: number | undefined
  private _fullUntilMs = Number.NEGATIVE_INFINITY
  private _refusedUntilMs = Number.NEGATIVE_INFINITY
  private _meanMs: number | undefined
  private _meanAtMs = Number.NEGATIVE_INFINITY
  private _load: ReportedLoad | undefined
  private _loadAtMs = Number.NEGATIVE_INFINITY
  private readonly _slowdownListeners = new Set<() => void>()

  constructor (options: EndpointHealthOptions) {
    this._options = options
    this._clock = options.clock
    this._connectionBreaker = new CircuitBreaker(options.clock)
    this._errorBreaker = new CircuitBreaker(options.clock)
  }

  /** The endpoint gets no requests: it has just failed, or it failed repeatedly while other endpoints did not. */
  get isSuspect (): boolean {
    if (!this.isBreakerOpen) return false
    return this._breakers().some(({ isTripped, isPastFirstEjection }) => isTripped && !isPastFirstEjection) || this._options.isWidespread?.() !== true
  }

  /** Whether the endpoint's own failures would eject it, regardless of the other endpoints of the service. */
  get isBreakerOpen (): boolean {
    return this._connectionBreaker.isTripped || this._errorBreaker.isTripped
  }

  /** The ejection is over but the endpoint has not yet proven healthy: one request at a time probes it (half-open circuit breaker). */
  get isHalfOpen (): boolean {
    return this._connectionBreaker.failuresCount + this._errorBreaker.failuresCount > 0 && !this.isSuspect
  }

  /** The endpoint was ejected for failing requests and has not accepted enough requests since. */
  get isFailing (): boolean {
    return this._errorBreaker.failuresCount > 0
  }

  /** Whether the endpoint's failures so far still allow another request to be sent to it. */
  get isAvailable (): boolean {
    return !this._connectionBreaker.isProbeRunning && !this._errorBreaker.isProbeRunning && !this.isSuspect
  }

  /** When the endpoint last accepted no connection or sent no report, if it has not responded since. */
  get unreachableSinceMs (): number | undefined {
    return this._unreachableSinceMs
  }

  get isFull (): boolean {
    return this._clock.nowMs() < this._fullUntilMs
  }

  /** The endpoint's address has just refused a connection. */
  get isRefusing (): boolean {
    return this._clock.nowMs() < this._refusedUntilMs
  }

  get ejectedUntilMs (): number {
    return Math.max(this._connectionBreaker.openUntilMs, this._errorBreaker.openUntilMs)
  }

  /** Mean duration of recent calls; undefined when there were no recent calls. */
  get meanMs (): number | undefined {
    return this._clock.nowMs() - this._meanAtMs < MEAN_LIFETIME_MS ? this._meanMs : undefined
  }

  /** Expected time until a slot is free, if the endpoint reported recently that it is full: the requests that wait there are served first, spread over its slots. */
  expectedWaitMs (typicalMs: number): number {
    if (!this.isFull) return 0
    const waitingCount = this._load?.waitingCount ?? 0
    return typicalMs * (1 + waitingCount) / Math.max(1, this._load?.slotsCount ?? 1)
  }

  /** Age of the load that the endpoint reported last. */
  get loadAgeMs (): number {
    return this._clock.nowMs() - this._loadAtMs
  }

  /** How long work takes at the endpoint now, relative to its recent mean: the slowdown that it reported last, which counts less the older the report is. */
  get slowdownFactor (): number {
    const reported = this._load?.slowdownFactor ?? 1
    return 1 + (reported - 1) * 2 ** (-this.loadAgeMs / SLOWDOWN_HALF_LIFE_MS)
  }

  /** Estimated requests at the endpoint: the reported number, or the number sent by this host if that is higher. */
  get busyCount (): number {
    const isFresh = this._clock.nowMs() - this._loadAtMs < LOAD_LIFETIME_MS
    const reportedCount = isFresh && this._load ? this._load.runningCount + this._load.waitingCount : 0
    return Math.max(this.runningCount, reportedCount)
  }

  /** Records a complete answer without an error. */
  succeeded (durationMs: number, load: ReportedLoad | undefined): void {
    this.responded()
    this.accepted()
    this.recordDuration(durationMs)
    this.recordLoad(load)
  }

  /**
   * Records any data received from the endpoint: it is reachable and runs requests.
   * @param receivedAtMs when the data arrived, which may be long before another host reports it; later failures still count
   */
  responded (receivedAtMs = this._clock.nowMs()): void {
    if (this._unreachableSinceMs !== undefined && receivedAtMs >= this._unreachableSinceMs) this._unreachableSinceMs = undefined
    if (this._connectionBreaker.reset(receivedAtMs)) this._options.onReinstated?.()
  }

  /**
   * Records that the endpoint has started or completed a request without an error.
   * @param observedAtMs when it did so; later failures still count
   */
  accepted (observedAtMs = this._clock.nowMs()): void {
    for (const [requestKey, failedAtMs] of this._requestErrors) if (failedAtMs <= observedAtMs) this._requestErrors.delete(requestKey)
    if (this._errorBreaker.recordSuccess(observedAtMs)) this._options.onReinstated?.()
  }

  /**
   * Records that the endpoint failed a request with an error of its own, or did
   * not start it. One failure does not eject the endpoint; failures of several
   * different requests in a row do.
   * @param requestKey identifies the request, the same for all of its tries
   * @param startedAtMs when the request was sent to the endpoint
   */
  failedRequest (requestKey: string, startedAtMs: number): void {
    if (startedAtMs <= this._errorBreaker.lastFailureAtMs) return
    this._requestErrors.set(requestKey, this._clock.nowMs())
    this._evaluateErrors(startedAtMs)
  }

  /** Records that another endpoint served a request which this endpoint had failed: the failure counts twice, unless this endpoint has accepted a request since. */
  servedElsewhere (requestKey: string): void {
    if (this._errorBreaker.isTripped) return
    this._requestErrors.set(`${requestKey}, served elsewhere`, this._clock.nowMs())
    this._evaluateErrors(this._clock.nowMs())
  }

  /** Records that another endpoint failed the same request as well: the request itself is at fault, and this endpoint's failure of it no longer counts. */
  failedElsewhere (requestKey: string): void {
    this._requestErrors.delete(requestKey)
  }

  /** Records that a request or run was started at the endpoint. */
  began (): void {
    this._connectionBreaker.began()
    this._errorBreaker.began()
  }

  /** Adds a call duration to the mean, whatever the outcome; a lower bound for calls that were aborted. */
  recordDuration (durationMs: number): void {
    this._meanMs = this.meanMs === undefined ? durationMs : this.meanMs + MEAN_WEIGHT * (durationMs - this.meanMs)
    this._meanAtMs = this._clock.nowMs()
  }

  recordLoad (load: ReportedLoad | undefined): void {
    if (!load) return
    this._load = load
    this._loadAtMs = this._clock.nowMs()
    if ((load.slowdownFactor ?? 1) <= 1) return
    for (const listener of this._slowdownListeners) listener()
  }

  /** Adds a listener that is called when the endpoint reports that work takes longer than usual; the returned function removes it. */
  onSlowdown (listener: () => void): () => void {
    this._slowdownListeners.add(listener)
    return () => this._slowdownListeners.delete(listener)
  }

  /** Records that a call started at `startedAtMs` failed to connect, broke or timed out. */
  failed (reason: FailureReason, startedAtMs: number): void {
    if (reason === FailureReason.Unreached || reason === FailureReason.NoReport) this._unreachableSinceMs = this._clock.nowMs()
    const forMs = this._connectionBreaker.recordFailure(startedAtMs)
    if (forMs !== undefined) this._options.onEjected?.(reason, forMs, this._connectionBreaker.failuresCount)
  }

  /** Records that the endpoint's address refused a connection. */
  refusedConnection (startedAtMs: number): void {
    this.failed(FailureReason.Unreached, startedAtMs)
    this._refusedUntilMs = this._clock.nowMs() + REFUSED_PAUSE_MS
  }

  /** Records that the endpoint rejected a request because no slot was free. */
  rejectedAsFull (load: ReportedLoad | undefined): void {
    this._fullUntilMs = this._clock.nowMs() + FULL_PAUSE_MS
    this.recordLoad(load)
  }

  private _evaluateErrors (startedAtMs: number): void {
    const shouldEject = this._errorBreaker.failuresCount > 0 || this._requestErrors.size >= EJECTING_ERRORS_COUNT
    const forMs = shouldEject ? this._errorBreaker.recordFailure(startedAtMs) : undefined
    if (forMs !== undefined) this._options.onEjected?.(FailureReason.Failing, forMs, this._errorBreaker.failuresCount)
  }

  private _breakers (): CircuitBreaker[] {
    return [this._connectionBreaker, this._errorBreaker]
  }
}
