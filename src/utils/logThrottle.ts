/**
 * Limits log lines about repeating conditions: a text is logged when it first
 * occurs, and then at a fixed interval while it keeps occurring.
 */
import { LRUCache } from 'lru-cache'
import type { Clock } from './clock.js'

/** Rare enough for a log, frequent enough to show that the condition persists. */
const REPEAT_MS = 10_000
/** Most recent texts that are tracked; with more at once, the oldest count as new. */
const MAX_TEXTS_COUNT = 64

export class LogThrottle {
  private readonly _clock: Clock
  private readonly _nextLogAtMs = new LRUCache<string, number>({ max: MAX_TEXTS_COUNT })

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Whether to log the text now; if so, records it as logged. */
  shouldLog (text: string): boolean {
    const nowMs = this._clock.nowMs()
    if (nowMs < (this._nextLogAtMs.get(text) ?? 0)) return false
    this._nextLogAtMs.set(text, nowMs + REPEAT_MS)
    return true
  }
}
