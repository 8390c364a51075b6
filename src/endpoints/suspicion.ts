/**
 * One ground for leaving an endpoint out. What was under way when it was noted
 * ends with the same disturbance and says nothing new, however many requests
 * that are: only what began later counts as a further failure. It lasts for a
 * moment, doubles with each further failure up to a bound, and then a single
 * request tries whether it is over (a circuit breaker that is half open).
 */
import type { Clock } from '../utils/clock.js'

/** Long enough for connections that were reset together to be made anew. */
export const FIRST_EJECTION_MS = 100
/** An endpoint that is well again gets no work for so long at most; an endpoint that is not costs one request its time this often. */
export const MAX_EJECTION_MS = 1_600
/** A trial has shown by then what comes of it, or somebody else may try. */
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

  /** Failures in a row that each said something new. */
  get failuresCount (): number {
    return this._failuresCount
  }

  get openUntilMs (): number {
    return this._openUntilMs
  }

  /** When the last failure that said something new was noted. */
  get lastFailureAtMs (): number {
    return this._lastFailureAtMs
  }

  /** No work at all. */
  get isTripped (): boolean {
    return this._failuresCount > 0 && this._clock.nowMs() < this._openUntilMs
  }

  /** The first moment is over: all that could be shared with other endpoints has had its time. */
  get isPastFirstEjection (): boolean {
    return this._clock.nowMs() >= this._lastFailureAtMs + FIRST_EJECTION_MS
  }

  /** Its time is over, and nothing has shown yet that its ground is. */
  get isHalfOpen (): boolean {
    return this._failuresCount > 0 && !this.isTripped
  }

  /** A request tries it at the moment. */
  get isProbeRunning (): boolean {
    return this._failuresCount > 0 && this._clock.nowMs() < this._probeUntilMs
  }

  /**
   * Something that began at an instant has failed.
   * @returns for how long that leaves the endpoint out; undefined when it says nothing new
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

  /** Something begins at the endpoint. */
  began (): void {
    if (this.isHalfOpen) this._probeUntilMs = this._clock.nowMs() + PROBE_TIMEOUT_MS
  }

  /** What it was left out for went well once: one failure is taken back; true when that was the last one. */
  recordSuccess (): boolean {
    if (this._failuresCount === 0) return false
    if (this._failuresCount === 1) return this.reset()
    this._failuresCount--
    this._openUntilMs = Number.NEGATIVE_INFINITY
    this._probeUntilMs = Number.NEGATIVE_INFINITY
    return false
  }

  /** The ground is gone; true when there was one. */
  reset (): boolean {
    if (this._failuresCount === 0) return false
    this._failuresCount = 0
    this._openUntilMs = Number.NEGATIVE_INFINITY
    this._probeUntilMs = Number.NEGATIVE_INFINITY
    return true
  }
}
