/**
 * Circuit breaker for one kind of failure of an endpoint. Requests that were in
 * flight when a failure was recorded fail by the same disturbance, however many
 * requests there are: only a request that was started later counts as a further failure. The
 * ejection is short at first and doubles with each further failure up to a bound;
 * after the ejection, a single request probes the endpoint (half-open).
 */
import type { Clock } from '../utils/clock.js'

/** Long enough for connections that were reset together to be re-established. */
export const FIRST_EJECTION_MS = 100
/** Longest time that a recovered endpoint gets no requests, and the interval at which an endpoint that still fails delays one request. */
export const MAX_EJECTION_MS = 1_600
/** A probe without an outcome after this time no longer blocks the next probe. */
export const PROBE_TIMEOUT_MS = 1_000

export class CircuitBreaker {
  private readonly _clock: Clock
  private _failuresCount = 0
  private _lastFailureAtMs = Number.NEGATIVE_INFINITY
  private _openUntilMs = Number.NEGATIVE_INFINITY
  private _probeUntilMs = Number.NEGATIVE_INFINITY

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Consecutive failures, counting those of one disturbance once. */
  get failuresCount (): number {
    return this._failuresCount
  }

  get openUntilMs (): number {
    return this._openUntilMs
  }

  /** When the last counted failure was recorded. */
  get lastFailureAtMs (): number {
    return this._lastFailureAtMs
  }

  /** The endpoint gets no requests (the breaker is open). */
  get isTripped (): boolean {
    return this._failuresCount > 0 && this._clock.nowMs() < this._openUntilMs
  }

  /** The minimum ejection has passed, so that a disturbance shared with other endpoints has had time to end. */
  get isPastFirstEjection (): boolean {
    return this._clock.nowMs() >= this._lastFailureAtMs + FIRST_EJECTION_MS
  }

  /** The ejection is over, and no success has been recorded since. */
  get isHalfOpen (): boolean {
    return this._failuresCount > 0 && !this.isTripped
  }

  /** A request is probing the endpoint now. */
  get isProbeRunning (): boolean {
    return this._failuresCount > 0 && this._clock.nowMs() < this._probeUntilMs
  }

  /**
   * Records the failure of a request that was started at `startedAtMs`.
   * @returns how long the endpoint is ejected, in milliseconds; undefined when the failure belongs to a disturbance that is already counted
   */
  recordFailure (startedAtMs: number): number | undefined {
    if (startedAtMs <= this._lastFailureAtMs) return undefined
    const nowMs = this._clock.nowMs()
    const forMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this._failuresCount)
    this._failuresCount++
    this._lastFailureAtMs = nowMs
    this._openUntilMs = nowMs + forMs
    this._probeUntilMs = Number.NEGATIVE_INFINITY
    return forMs
  }

  /** Records that a request was started at the endpoint. */
  began (): void {
    if (this.isHalfOpen) this._probeUntilMs = this._clock.nowMs() + PROBE_TIMEOUT_MS
  }

  /** Records a success: takes back one failure, unless the failure is newer; returns true when no failure is left. */
  recordSuccess (observedAtMs: number): boolean {
    if (!this._isOutdatedAt(observedAtMs)) return false
    if (this._failuresCount === 1) return this.reset(observedAtMs)
    this._failuresCount--
    this._openUntilMs = Number.NEGATIVE_INFINITY
    this._probeUntilMs = Number.NEGATIVE_INFINITY
    return false
  }

  /** Clears all failures, unless the last one is newer than what shows that they are over; returns true when there were any. */
  reset (observedAtMs: number): boolean {
    if (!this._isOutdatedAt(observedAtMs)) return false
    this._failuresCount = 0
    this._openUntilMs = Number.NEGATIVE_INFINITY
    this._probeUntilMs = Number.NEGATIVE_INFINITY
    return true
  }

  /** Whether there are failures, the last of them before this time. */
  private _isOutdatedAt (observedAtMs: number): boolean {
    return this._failuresCount > 0 && observedAtMs >= this._lastFailureAtMs
  }
}
