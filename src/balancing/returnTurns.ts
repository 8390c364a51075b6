/**
 * When refused callers may come back: one after the other, at the rate at which room
 * comes.
 *
 * The load it answers: a rush that is refused, and whose callers would all return at
 * the same moment as a second one. Callers heed Retry-After up to a third of the time
 * that they have left, so turns beyond that are spread evenly below it.
 */
import type { Clock } from '../utils/clock.js'
import type { RandomSource } from '../utils/randomSource.js'

/** Callers wait no longer than this share of their remaining time before they return. */
const MAX_REMAINING_SHARE = 1 / 3
/** Room that comes sooner goes to requests that are already waiting at the endpoints. */
export const MIN_RETURN_MS = 20
const MS_PER_S = 1_000

export class ReturnTurns {
  private readonly _clock: Clock
  private readonly _random: RandomSource
  private _nextTurnAtMs = Number.NEGATIVE_INFINITY

  constructor (clock: Clock, random: RandomSource) {
    this._clock = clock
    this._random = random
  }

  /**
   * Takes the next turn.
   * @param remainingMs how long the caller still waits for an answer
   * @param roomPerS the rate at which this host will have room for returns
   * @returns milliseconds until the caller may come back
   */
  take (remainingMs: number, roomPerS: number): number {
    const nowMs = this._clock.nowMs()
    const latestMs = Math.max(MIN_RETURN_MS, remainingMs * MAX_REMAINING_SHARE)
    const turnMs = Math.max(MIN_RETURN_MS, this._nextTurnAtMs - nowMs)
    if (turnMs > latestMs) return MIN_RETURN_MS + this._random.real() * (latestMs - MIN_RETURN_MS)
    const gapMs = MS_PER_S / Math.max(1, roomPerS)
    this._nextTurnAtMs = nowMs + turnMs + gapMs
    // Hosts that began to refuse at the same moment have their turns at different moments.
    return Math.min(latestMs, turnMs + this._random.real() * gapMs)
  }
}
