/**
 * What this host knows of one endpoint from its own calls: how many run, how
 * long they take, what load was reported, and whether it is worth trying.
 */
import type { Clock } from '../utils/clock.js'
import type { ReportedLoad } from './endpointClient.js'
import { CircuitBreaker } from './suspicion.js'

/** A refusal for want of room is soon over. */
const FULL_PAUSE_MS = 40
/** Whether anything listens again is not asked more often: an endpoint that ended is back after a second or more. */
const REFUSED_PAUSE_MS = 50
/** One error may be the request's own. */
const EJECTING_ERRORS_COUNT = 2
/** Weight of a new duration in the running mean. */
const MEAN_WEIGHT = 0.2
/** A mean that was not renewed for so long says nothing of the endpoint any more. */
const MEAN_LIFETIME_MS = 5_000
/** Reported load is out of date after about the time of one request. */
const LOAD_LIFETIME_MS = 150

/** Why an endpoint is left out. */
export enum FailureReason {
  /** No connection came about. */
  Unreached = 'unreached',
  /** What ran there broke off, or no event came. */
  Broken = 'broken',
  /** It did not tell its state in time. */
  NoReport = 'no_report',
  /** It answers requests with errors, or begins none, that nothing else speaks against. */
  Failing = 'failing'
}

/** What surrounds the health of one endpoint. */
export interface EndpointHealthOptions {
  clock: Clock
  /** Told of what is decided. */
  onEjected?: (reason: FailureReason, forMs: number, failuresCount: number) => void
  onReinstated?: () => void
  /** Whether so many endpoints of the service are left out that the fault is hardly theirs. */
  isWidespread?: () => boolean
}

export class EndpointHealth {
  runningCount = 0
  private readonly _options: EndpointHealthOptions
  private readonly _clock: Clock
  /** It is not reached, or what runs there breaks off. */
  private readonly _connectionBreaker: CircuitBreaker
  /** It is reached and does not do what it is given. */
  private readonly _errorBreaker: CircuitBreaker
  /** Requests that it failed, since it last began one well. */
  private readonly _requestErrors = new Set<string>()
  private _fullUntilMs = Number.NEGATIVE_INFINITY
  private _refusedUntilMs = Number.NEGATIVE_INFINITY
  private _meanMs: number | undefined
  private _meanAtMs = Number.NEGATIVE_INFINITY
  private _load: ReportedLoad | undefined
  private _loadAtMs = Number.NEGATIVE_INFINITY

  constructor (options: EndpointHealthOptions) {
    this._options = options
    this._clock = options.clock
    this._connectionBreaker = new CircuitBreaker(options.clock)
    this._errorBreaker = new CircuitBreaker(options.clock)
  }

  /** It gets no work: it failed a moment ago, or repeatedly while others did not. */
  get isSuspect (): boolean {
    if (!this.isBreakerOpen) return false
    return this._breakers().some(({ isTripped, isPastFirstEjection }) => isTripped && !isPastFirstEjection) || this._options.isWidespread?.() !== true
  }

  /** By its own failures alone, whatever others do. */
  get isBreakerOpen (): boolean {
    return this._connectionBreaker.isTripped || this._errorBreaker.isTripped
  }

  /** It failed, and has not shown since that this is over: one request at a time tries it. */
  get isOnTrial (): boolean {
    return this._connectionBreaker.failuresCount + this._errorBreaker.failuresCount > 0 && !this.isSuspect
  }

  /** It was left out for failing what it was given, and has not done enough since. */
  get isFailing (): boolean {
    return this._errorBreaker.failuresCount > 0
  }

  /** Whether a request may begin there, as far as failures go. */
  get isOpen (): boolean {
    return !this._connectionBreaker.isProbeRunning && !this._errorBreaker.isProbeRunning && !this.isSuspect
  }

  get isFull (): boolean {
    return this._clock.nowMs() < this._fullUntilMs
  }

  /** Its address has just refused a connection. */
  get isRefusing (): boolean {
    return this._clock.nowMs() < this._refusedUntilMs
  }

  get ejectedUntilMs (): number {
    return Math.max(this._connectionBreaker.openUntilMs, this._errorBreaker.openUntilMs)
  }

  /** Mean duration of recent calls; undefined when there were none lately. */
  get meanMs (): number | undefined {
    return this._clock.nowMs() - this._meanAtMs < MEAN_LIFETIME_MS ? this._meanMs : undefined
  }

  /** Time until there is room, if it said lately that there was none: what waits there goes first, a slot after the other. */
  expectedWaitMs (typicalMs: number): number {
    if (!this.isFull) return 0
    const waitingCount = this._load?.waitingCount ?? 0
    return typicalMs * (1 + waitingCount) / Math.max(1, this._load?.slotsCount ?? 1)
  }

  /** Age of the load that the endpoint told last. */
  get loadAgeMs (): number {
    return this._clock.nowMs() - this._loadAtMs
  }

  /** Requests at the endpoint as far as known: its own word, or ours if that is more. */
  get busyCount (): number {
    const isFresh = this._clock.nowMs() - this._loadAtMs < LOAD_LIFETIME_MS
    const reportedCount = isFresh && this._load ? this._load.runningCount + this._load.waitingCount : 0
    return Math.max(this.runningCount, reportedCount)
  }

  /** It answered a request whole, and without an error. */
  succeeded (durationMs: number, load: ReportedLoad | undefined): void {
    this.worked()
    this.accepted()
    this.recordDuration(durationMs)
    this.recordLoad(load)
  }

  /** Something came from it: it is reached, and runs what it was given. */
  worked (): void {
    if (this._connectionBreaker.reset()) this._options.onReinstated?.()
  }

  /** It has begun to do what it was given, or has done it. */
  accepted (): void {
    this._requestErrors.clear()
    if (this._errorBreaker.recordSuccess()) this._options.onReinstated?.()
  }

  /**
   * It did not do what it was given at an instant: an error of its own, or no
   * beginning at all. A first one says nothing; several of different requests in
   * a row do.
   * @param requestKey what it was given, whatever the try
   */
  failedRequest (requestKey: string, startedAtMs: number): void {
    if (startedAtMs <= this._errorBreaker.lastFailureAtMs) return
    this._requestErrors.add(requestKey)
    this._evaluateErrors(startedAtMs)
  }

  /** Another endpoint did what this one had failed: that error counts twice, unless something went well here since. */
  servedElsewhere (requestKey: string): void {
    if (this._errorBreaker.isTripped) return
    this._requestErrors.add(`${requestKey}, done elsewhere`)
    this._evaluateErrors(this._clock.nowMs())
  }

  /** Others failed the same request: it speaks against itself. */
  failedElsewhere (requestKey: string): void {
    this._requestErrors.delete(requestKey)
  }

  /** A request or run begins there. */
  began (): void {
    this._connectionBreaker.began()
    this._errorBreaker.began()
  }

  /** A call took at least so long, whatever came of it. */
  recordDuration (durationMs: number): void {
    this._meanMs = this.meanMs === undefined ? durationMs : this.meanMs + MEAN_WEIGHT * (durationMs - this.meanMs)
    this._meanAtMs = this._clock.nowMs()
  }

  recordLoad (load: ReportedLoad | undefined): void {
    if (!load) return
    this._load = load
    this._loadAtMs = this._clock.nowMs()
  }

  /** Something that began there at an instant brought nothing. */
  failed (reason: FailureReason, startedAtMs: number): void {
    const forMs = this._connectionBreaker.recordFailure(startedAtMs)
    if (forMs !== undefined) this._options.onEjected?.(reason, forMs, this._connectionBreaker.failuresCount)
  }

  /** Its address took no connection. */
  refused (startedAtMs: number): void {
    this.failed(FailureReason.Unreached, startedAtMs)
    this._refusedUntilMs = this._clock.nowMs() + REFUSED_PAUSE_MS
  }

  /** It refused for want of room. */
  wasFull (load: ReportedLoad | undefined): void {
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
