/**
 * Bounds log lines on what repeats: each text is told once, and again from time
 * to time while it goes on.
 */
import { LRUCache } from 'lru-cache'
import type { Clock } from './clock.js'

/** Rare enough for a log, often enough to show that it goes on. */
const REPEAT_MS = 10_000
/** Texts told last; more at once than this are not told apart from new ones. */
const MAX_TEXTS_COUNT = 64

export class RepeatedNews {
  private readonly _clock: Clock
  private readonly _nextToldAtMs = new LRUCache<string, number>({ max: MAX_TEXTS_COUNT })

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Whether the text is to be told now; counts it as told if so. */
  isNews (text: string): boolean {
    const nowMs = this._clock.nowMs()
    if (nowMs < (this._nextToldAtMs.get(text) ?? 0)) return false
    this._nextToldAtMs.set(text, nowMs + REPEAT_MS)
    return true
  }
}
