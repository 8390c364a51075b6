/**
 * Tells returns from first tries. Every try of a caller has an id of its own; but a
 * caller that was refused and has come back waits for less time than it did at first,
 * by the time that it has spent, which is bounded: callers come back within a third of
 * their remaining time, and hardly more than twice.
 */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../utils/clock.js'
import { MIN_RETURN_MS } from './returnTurns.js'

/** A caller that has come back twice, each time after a third of its remaining time, has four ninths of it left. */
const MIN_REMAINING_SHARE = 4 / 9
/** The usual wait of a route is the longest within one to two of these spans. */
const SPAN_MS = 10_000
/** Routes come and go with the configuration; those of the last spans are far fewer. */
const MAX_REMEMBERED_COUNT = 4_096

interface Longest {
  spanNumber: number
  currentMs: number
  previousMs: number
}

export class CallerPatience {
  private readonly _clock: Clock
  private readonly _byRoute = new LRUCache<string, Longest>({ max: MAX_REMEMBERED_COUNT })

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Records how long a caller waits for an answer, and decides whether it was here before. */
  isReturn (route: string, remainingMs: number): boolean {
    const longest = this._longestOf(route)
    longest.currentMs = Math.max(longest.currentMs, remainingMs)
    this._byRoute.set(route, longest)
    const usualMs = Math.max(longest.currentMs, longest.previousMs)
    return remainingMs <= usualMs - MIN_RETURN_MS && remainingMs >= MIN_REMAINING_SHARE * usualMs
  }

  private _longestOf (route: string): Longest {
    const spanNumber = Math.floor(this._clock.nowMs() / SPAN_MS)
    const known = this._byRoute.get(route)
    if (known?.spanNumber === spanNumber) return known
    const previousMs = known?.spanNumber === spanNumber - 1 ? known.currentMs : 0
    return { spanNumber, currentMs: 0, previousMs }
  }
}
