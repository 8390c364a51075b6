/**
 * One ground for leaving an endpoint out. What was under way when it was noted
 * ends with the same disturbance and says nothing new, however many requests
 * that are: only what began later counts as a further failure. It lasts for a
 * moment, doubles with each further failure up to a bound, and then a single
 * request tries whether it is over (a circuit breaker that is half open).
 */
import type { Clock } from '../utils/clock.js'

/** Long enough for connections that were reset together to be made anew. */
export const FIRST_SUSPICION_MS = 100
/** An endpoint that is well again gets no work for so long at most; an endpoint that is not costs one request its time this often. */
export const MAX_SUSPICION_MS = 1_600
/** A trial has shown by then what comes of it, or somebody else may try. */
export const TRIAL_MS = 1_000

export class Suspicion {
  private readonly _clock: Clock
  private _failuresCount = 0
  private _notedAtMs = Number.NEGATIVE_INFINITY
  private _untilMs = Number.NEGATIVE_INFINITY
  private _trialUntilMs = Number.NEGATIVE_INFINITY

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Failures in a row that each said something new. */
  get failuresCount (): number {
    return this._failuresCount
  }

  get untilMs (): number {
    return this._untilMs
  }

  /** When the last failure that said something new was noted. */
  get notedAtMs (): number {
    return this._notedAtMs
  }

  /** No work at all. */
  get isActive (): boolean {
    return this._failuresCount > 0 && this._clock.nowMs() < this._untilMs
  }

  /** The first moment is over: all that could be shared with other endpoints has had its time. */
  get isPastFirst (): boolean {
    return this._clock.nowMs() >= this._notedAtMs + FIRST_SUSPICION_MS
  }

  /** Its time is over, and nothing has shown yet that its ground is. */
  get isOnTrial (): boolean {
    return this._failuresCount > 0 && !this.isActive
  }

  /** A request tries it at the moment. */
  get isTrialUnderWay (): boolean {
    return this._failuresCount > 0 && this._clock.nowMs() < this._trialUntilMs
  }

  /**
   * Something that began at an instant has failed.
   * @returns for how long that leaves the endpoint out; undefined when it says nothing new
   */
  note (beganAtMs: number): number | undefined {
    if (beganAtMs <= this._notedAtMs) return undefined
    const nowMs = this._clock.nowMs()
    const forMs = Math.min(MAX_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** this._failuresCount)
    this._failuresCount++
    this._notedAtMs = nowMs
    this._untilMs = nowMs + forMs
    this._trialUntilMs = Number.NEGATIVE_INFINITY
    return forMs
  }

  /** Something begins at the endpoint. */
  began (): void {
    if (this.isOnTrial) this._trialUntilMs = this._clock.nowMs() + TRIAL_MS
  }

  /** What it was left out for went well once: one failure is taken back; true when that was the last one. */
  ease (): boolean {
    if (this._failuresCount === 0) return false
    if (this._failuresCount === 1) return this.clear()
    this._failuresCount--
    this._untilMs = Number.NEGATIVE_INFINITY
    this._trialUntilMs = Number.NEGATIVE_INFINITY
    return false
  }

  /** The ground is gone; true when there was one. */
  clear (): boolean {
    if (this._failuresCount === 0) return false
    this._failuresCount = 0
    this._untilMs = Number.NEGATIVE_INFINITY
    this._trialUntilMs = Number.NEGATIVE_INFINITY
    return true
  }
}
