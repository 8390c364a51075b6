/**
 * How long work would wait and run at a pool, from what this host saw: the
 * tokens a second that leave its queue while something waits, and the time a
 * token takes.
 */
import type { RandomSource } from '../../utils/randomSource.js'
import type { WorkItem } from './scheduler.js'

/** Time over which the rate is averaged. */
const RATE_WINDOW_MS = 3_000
/** No rate is told before something waited for so long. */
const MIN_BUSY_MS = 250
const MIN_RETRY_MS = 200
const MAX_RETRY_MS = 30_000

/** An exponentially weighted rate over the time in which there was a backlog. */
export class DrainRate {
  private _weighted = 0
  private _busyMs = 0
  private _updatedAtMs: number
  private _backlogged = false

  constructor (nowMs: number) {
    this._updatedAtMs = nowMs
  }

  /** Says whether work waits from now on. */
  setBacklogged (nowMs: number, backlogged: boolean): void {
    this._advance(nowMs)
    this._backlogged = backlogged
  }

  left (nowMs: number, tokensCount: number): void {
    this._advance(nowMs)
    if (this._backlogged) this._weighted += tokensCount / RATE_WINDOW_MS
  }

  /** Tokens a millisecond; undefined before there was a backlog for long enough. */
  perMs (nowMs: number): number | undefined {
    this._advance(nowMs)
    if (this._busyMs < MIN_BUSY_MS) return undefined
    return this._weighted / (1 - Math.exp(-this._busyMs / RATE_WINDOW_MS))
  }

  private _advance (nowMs: number): void {
    const elapsedMs = nowMs - this._updatedAtMs
    this._updatedAtMs = nowMs
    if (!this._backlogged) return
    this._weighted *= Math.exp(-elapsedMs / RATE_WINDOW_MS)
    this._busyMs += elapsedMs
  }
}

/**
 * Time a token takes, smoothed: over all tokens, because short answers spend
 * most of their time on the prompt.
 */
export class TokenTime {
  private readonly _smoothing: number
  private _durationMs = 0
  private _tokensCount = 0

  constructor (smoothing: number) {
    this._smoothing = smoothing
  }

  /** Undefined before anything was observed. */
  get msPerToken (): number | undefined {
    return this._tokensCount > 0 ? this._durationMs / this._tokensCount : undefined
  }

  observe (tokensCount: number, durationMs: number): void {
    const counted = Math.max(1, tokensCount)
    const isFirst = this._tokensCount === 0
    this._tokensCount = isFirst ? counted : this._tokensCount + this._smoothing * (counted - this._tokensCount)
    this._durationMs = isFirst ? durationMs : this._durationMs + this._smoothing * (durationMs - this._durationMs)
  }

  forget (): void {
    this._tokensCount = 0
    this._durationMs = 0
  }
}

const RUN_SMOOTHING = 0.05

/** How long tries take at a pool: to their first token by priority class, and for each token after it. */
export class RunTime {
  private readonly _tokenTime = new TokenTime(RUN_SMOOTHING)
  private readonly _firstTokenMs = new Map<string, number>()

  get msPerToken (): number | undefined {
    return this._tokenTime.msPerToken
  }

  observe (className: string, { tokensCount, durationMs, firstTokenMs = 0 }: { tokensCount: number, durationMs: number, firstTokenMs?: number }): void {
    this._tokenTime.observe(tokensCount, durationMs - firstTokenMs)
    const old = this._firstTokenMs.get(className) ?? firstTokenMs
    this._firstTokenMs.set(className, old + RUN_SMOOTHING * (firstTokenMs - old))
  }

  /** From dispatch to the end; at the pool's usual speed unless another is given. */
  expectedMs ({ priorityClass, expectedTokensCount }: WorkItem, msPerToken = this.msPerToken ?? 0): number {
    return (this._firstTokenMs.get(priorityClass) ?? 0) + msPerToken * expectedTokensCount
  }
}

/**
 * When a refused caller should come back: not before the backlog has drained,
 * and spread over as long again, so that they don't return at one moment.
 */
export function retryAfterMs (expectedWaitMs: number, random: RandomSource): number {
  const baseMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, expectedWaitMs))
  return Math.round(baseMs * (1 + random.real()))
}
