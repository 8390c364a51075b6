/**
 * Forecasts the queueing and run time of requests at a pool from this host's
 * observations: the rate at which tokens leave the queue while there is a
 * backlog, and the time per token.
 */
import type { RandomSource } from '../../utils/randomSource.js'
import type { WorkItem } from './scheduler.js'

/** Time constant of the moving average of the rate. */
const RATE_WINDOW_MS = 3_000
/** The rate is undefined until there was a backlog for this long in total. */
const MIN_BACKLOG_MS = 250
const MIN_RETRY_MS = 200
const MAX_RETRY_MS = 30_000

/** Exponentially weighted rate of dispatched tokens over the time with a backlog. */
export class DrainRate {
  private _weightedTokens = 0
  private _backlogMs = 0
  private _updatedAtMs: number
  private _isBacklogged = false

  constructor (nowMs: number) {
    this._updatedAtMs = nowMs
  }

  setBacklogged (nowMs: number, isBacklogged: boolean): void {
    this._advance(nowMs)
    this._isBacklogged = isBacklogged
  }

  dequeued (nowMs: number, tokensCount: number): void {
    this._advance(nowMs)
    if (this._isBacklogged) this._weightedTokens += tokensCount / RATE_WINDOW_MS
  }

  /** Undefined before there was a backlog for `MIN_BACKLOG_MS`. */
  tokensPerMs (nowMs: number): number | undefined {
    this._advance(nowMs)
    if (this._backlogMs < MIN_BACKLOG_MS) return undefined
    return this._weightedTokens / (1 - Math.exp(-this._backlogMs / RATE_WINDOW_MS))
  }

  private _advance (nowMs: number): void {
    const elapsedMs = nowMs - this._updatedAtMs
    this._updatedAtMs = nowMs
    if (!this._isBacklogged) return
    this._weightedTokens *= Math.exp(-elapsedMs / RATE_WINDOW_MS)
    this._backlogMs += elapsedMs
  }
}

/**
 * Smoothed time per token. Durations and tokens are averaged separately, because
 * short answers spend most of their time on the prompt.
 */
export class TokenTimeAverage {
  private readonly _smoothing: number
  private _durationMs = 0
  private _tokensCount = 0

  constructor (smoothing: number) {
    this._smoothing = smoothing
  }

  /** Undefined before the first observation. */
  get msPerToken (): number | undefined {
    return this._tokensCount > 0 ? this._durationMs / this._tokensCount : undefined
  }

  observe (tokensCount: number, durationMs: number): void {
    const counted = Math.max(1, tokensCount)
    const isFirst = this._tokensCount === 0
    this._tokensCount = isFirst ? counted : this._tokensCount + this._smoothing * (counted - this._tokensCount)
    this._durationMs = isFirst ? durationMs : this._durationMs + this._smoothing * (durationMs - this._durationMs)
  }

  reset (): void {
    this._tokensCount = 0
    this._durationMs = 0
  }
}

const RUN_SMOOTHING = 0.05

/** Run time of attempts at a pool: the time to the first token by priority class, and the time per further token. */
export class RunTimeEstimate {
  private readonly _tokenTime = new TokenTimeAverage(RUN_SMOOTHING)
  private readonly _firstTokenMs = new Map<string, number>()

  get msPerToken (): number | undefined {
    return this._tokenTime.msPerToken
  }

  observe (className: string, { tokensCount, durationMs, firstTokenMs = 0 }: { tokensCount: number, durationMs: number, firstTokenMs?: number }): void {
    this._tokenTime.observe(tokensCount, durationMs - firstTokenMs)
    const previousMs = this._firstTokenMs.get(className) ?? firstTokenMs
    this._firstTokenMs.set(className, previousMs + RUN_SMOOTHING * (firstTokenMs - previousMs))
  }

  /** Expected time from dispatch to the last token, by default at the average speed of the pool. */
  expectedMs ({ priorityClass, expectedTokensCount }: WorkItem, msPerToken = this.msPerToken ?? 0): number {
    return (this._firstTokenMs.get(priorityClass) ?? 0) + msPerToken * expectedTokensCount
  }
}

/**
 * When a refused caller should retry: not before the backlog has drained, with
 * jitter of up to the same duration, so that callers don't retry simultaneously.
 */
export function retryAfterMs (expectedWaitMs: number, random: RandomSource): number {
  const baseMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, expectedWaitMs))
  return Math.round(baseMs * (1 + random.real()))
}
