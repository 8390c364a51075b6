/**
 * What this host's own tries say about an endpoint: its speed, its failures,
 * whether it is left out for a while, and how carefully it is used again
 * afterwards.
 */
import { TokenTime } from './waitForecast.js'

const SMOOTHING = 0.2
const CONSECUTIVE_FAILURES = 3
const FAILURE_RATE = 0.5
const MIN_TRIES = 8
const FAILURE_HALF_LIFE_MS = 5_000
const SLOWNESS_HALF_LIFE_MS = 60_000
const FIRST_EJECTION_MS = 5_000
const MAX_EJECTION_MS = 60_000
/** After so long without an ejection, the next one is a first one again. */
const FORGIVEN_AFTER_MS = 120_000

export class EndpointHealth {
  triesCount = 0
  /** Left out until this instant. */
  ejectedUntilMs = -Infinity
  /** Requests at once while it recovers; Infinity once it has. */
  slowStartCount = Infinity
  private readonly _tokenTime = new TokenTime(SMOOTHING)
  private _failureRate = 0
  private _failedAtMs = -Infinity
  private _succeededAtMs = -Infinity
  private _consecutiveFailures = 0
  private _ejectionsCount = 0
  private _lastEjectedAtMs = -Infinity

  /** Milliseconds a token took, smoothed; undefined before the first success. */
  get msPerToken (): number | undefined {
    return this._tokenTime.msPerToken
  }

  /** How many times as long as usual a token takes; fades, so that a slow endpoint is tried again. */
  slowness (usualMsPerToken: number | undefined, nowMs: number): number {
    if (this.msPerToken === undefined || usualMsPerToken === undefined) return 1
    const excess = Math.max(0, this.msPerToken / usualMsPerToken - 1)
    return 1 + excess * 2 ** (-(nowMs - this._succeededAtMs) / SLOWNESS_HALF_LIFE_MS)
  }

  /** Takes the tokens that followed the first and the time they took. */
  succeeded (tokensCount: number, durationMs: number, nowMs: number): void {
    this._succeededAtMs = nowMs
    this._tried(0)
    this._consecutiveFailures = 0
    this._tokenTime.observe(tokensCount, durationMs)
    this.slowStartCount += 1
  }

  /** Share of the tries that failed; fades, so that an endpoint is tried again. */
  failureRate (nowMs: number): number {
    return this._failureRate * 2 ** (-Math.max(0, nowMs - this._failedAtMs) / FAILURE_HALF_LIFE_MS)
  }

  /** True when it should be left out. */
  failed (nowMs: number): boolean {
    this._tried(1)
    this._failedAtMs = nowMs
    this._consecutiveFailures += 1
    const recovering = this.slowStartCount !== Infinity
    const rateExceeded = this.triesCount >= MIN_TRIES && this._failureRate > FAILURE_RATE
    return recovering || rateExceeded || this._consecutiveFailures >= CONSECUTIVE_FAILURES
  }

  isEjected (nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs
  }

  /** Leaves it out, longer each time; afterwards it starts slowly with fresh figures. */
  eject (nowMs: number): void {
    if (this.isEjected(nowMs)) return
    if (nowMs - this._lastEjectedAtMs > FORGIVEN_AFTER_MS) this._ejectionsCount = 0
    const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this._ejectionsCount)
    this._ejectionsCount += 1
    this._lastEjectedAtMs = nowMs
    this.ejectedUntilMs = nowMs + durationMs
    this.startSlowly()
  }

  /** Uses it with one request at first, and one more with each success. */
  startSlowly (): void {
    this.slowStartCount = 1
    this._tokenTime.forget()
    this._failureRate = 0
    this.triesCount = 0
    this._consecutiveFailures = 0
  }

  /** Ends the slow start once it no longer binds. */
  endSlowStart (capacityCount: number): void {
    if (this.slowStartCount >= capacityCount) this.slowStartCount = Infinity
  }

  private _tried (failure: 0 | 1): void {
    this.triesCount += 1
    this._failureRate = smoothed(this._failureRate, failure)
  }
}

function smoothed (old: number, value: number): number {
  return old + SMOOTHING * (value - old)
}
