/**
 * The health of one endpoint as observed by this host's own attempts: its speed
 * and failure rate, whether it is ejected from the pool for a time, and the slow
 * start after its reinstatement.
 */
import { TokenTimeAverage } from './waitForecast.js'

const SMOOTHING = 0.2
const MAX_CONSECUTIVE_FAILURES = 3
const MAX_FAILURE_RATE = 0.5
const MIN_TRIES_FOR_RATE = 8
const FAILURE_HALF_LIFE_MS = 5_000
const SLOWNESS_HALF_LIFE_MS = 60_000
const FIRST_EJECTION_MS = 5_000
const MAX_EJECTION_MS = 60_000
/** The duration of an ejection starts at its minimum again after this time without an ejection. */
const EJECTION_BACKOFF_RESET_MS = 120_000

export class EndpointHealth {
  triesCount = 0
  ejectedUntilMs = -Infinity
  /** Limit of concurrent requests during the slow start; Infinity outside of it. */
  slowStartCount = Infinity
  private readonly _tokenTime = new TokenTimeAverage(SMOOTHING)
  private _failureRate = 0
  private _failedAtMs = -Infinity
  private _succeededAtMs = -Infinity
  private _consecutiveFailures = 0
  private _ejectionsCount = 0
  private _lastEjectedAtMs = -Infinity

  /** Smoothed milliseconds per token; undefined before the first success. */
  get msPerToken (): number | undefined {
    return this._tokenTime.msPerToken
  }

  /** Time per token relative to the typical time per token, at least 1. The ratio decays towards 1, so that a slow endpoint is tried again. */
  slowness (typicalMsPerToken: number | undefined, nowMs: number): number {
    if (this.msPerToken === undefined || typicalMsPerToken === undefined) return 1
    const excess = Math.max(0, this.msPerToken / typicalMsPerToken - 1)
    return 1 + excess * 2 ** (-(nowMs - this._succeededAtMs) / SLOWNESS_HALF_LIFE_MS)
  }

  /** @param durationMs time from the first token to the last one */
  recordSuccess (tokensCount: number, durationMs: number, nowMs: number): void {
    this._succeededAtMs = nowMs
    this._recordOutcome(0)
    this._consecutiveFailures = 0
    this._tokenTime.observe(tokensCount, durationMs)
    this.slowStartCount += 1
  }

  /** Smoothed fraction of failed attempts. The fraction decays, so that the endpoint is tried again. */
  failureRate (nowMs: number): number {
    return this._failureRate * 2 ** (-Math.max(0, nowMs - this._failedAtMs) / FAILURE_HALF_LIFE_MS)
  }

  /** @returns whether the endpoint should be ejected */
  recordFailure (nowMs: number): boolean {
    this._recordOutcome(1)
    this._failedAtMs = nowMs
    this._consecutiveFailures += 1
    const isSlowStarting = this.slowStartCount !== Infinity
    const isRateExceeded = this.triesCount >= MIN_TRIES_FOR_RATE && this._failureRate > MAX_FAILURE_RATE
    return isSlowStarting || isRateExceeded || this._consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
  }

  isEjected (nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs
  }

  /** Ejects the endpoint, with exponential backoff. A slow start with reset statistics follows. */
  eject (nowMs: number): void {
    if (this.isEjected(nowMs)) return
    if (nowMs - this._lastEjectedAtMs > EJECTION_BACKOFF_RESET_MS) this._ejectionsCount = 0
    const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this._ejectionsCount)
    this._ejectionsCount += 1
    this._lastEjectedAtMs = nowMs
    this.ejectedUntilMs = nowMs + durationMs
    this.beginSlowStart()
  }

  /** Limits the endpoint to one concurrent request; each success raises the limit by one. */
  beginSlowStart (): void {
    this.slowStartCount = 1
    this._tokenTime.reset()
    this._failureRate = 0
    this.triesCount = 0
    this._consecutiveFailures = 0
  }

  /** Ends the slow start when its limit has reached the capacity. */
  endSlowStart (capacityCount: number): void {
    if (this.slowStartCount >= capacityCount) this.slowStartCount = Infinity
  }

  private _recordOutcome (failure: 0 | 1): void {
    this.triesCount += 1
    this._failureRate = smoothed(this._failureRate, failure)
  }
}

function smoothed (old: number, value: number): number {
  return old + SMOOTHING * (value - old)
}
