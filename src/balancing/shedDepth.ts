/**
 * How much of the load a host sheds while its processor, link or memory is short:
 * a growing part of the least urgent requests, then of the next rank. The depth is
 * in ranks: at 1.5 the least urgent rank is shed and half of the one above it.
 */
import type { ShortResource } from './hostLimits.js'

/** A pause or two, for a collection or a new routing configuration, is no shortage. */
const SHORT_READINGS_COUNT = 3
/** Five readings until a rank is shed: callers go to other hosts meanwhile. */
const DEEPER_STEP = 0.2
const SHALLOWER_STEP = 0.1
/** All of the most urgent rank may be more than the host can do; half is served in any case. */
const MAX_MOST_URGENT_SHARE = 0.5
/** A priority that was not seen for this long is no rank. */
const FORGET_PRIORITY_AFTER_MS = 10_000

export class ShedDepth {
  depth = 0
  private _resource: ShortResource | undefined
  private _shortReadingsCount = 0
  /** When each priority was last seen. */
  private readonly _seenAtMs = new Map<number, number>()
  /** Accumulated shares by priority: a request is shed whenever one is full, which needs no randomness. */
  private readonly _credits = new Map<number, number>()

  read (nowMs: number, short: ShortResource | undefined): void {
    this._forgetPriorities(nowMs)
    this._shortReadingsCount = short === undefined ? 0 : this._shortReadingsCount + 1
    if (short !== undefined && this._shortReadingsCount >= SHORT_READINGS_COUNT) {
      this._resource = short
      this.depth = Math.min(this._maxDepth(), this.depth + DEEPER_STEP)
    } else if (short === undefined) {
      this.depth = Math.max(0, this.depth - SHALLOWER_STEP)
    }
  }

  /** Returns the short resource if a request of the priority is to be shed. */
  shedsFor (priority: number, nowMs: number): ShortResource | undefined {
    this._seenAtMs.set(priority, nowMs)
    if (this.depth === 0) return undefined
    const share = Math.min(1, Math.max(0, this.depth - this._rankOf(priority)))
    const credit = (this._credits.get(priority) ?? 0) + share
    this._credits.set(priority, credit >= 1 ? credit - 1 : credit)
    return credit >= 1 ? this._resource : undefined
  }

  /** Number of less urgent priorities in use. */
  private _rankOf (priority: number): number {
    return [...this._seenAtMs.keys()].filter(other => other > priority).length
  }

  private _maxDepth (): number {
    return Math.max(1, this._seenAtMs.size) - 1 + MAX_MOST_URGENT_SHARE
  }

  private _forgetPriorities (nowMs: number): void {
    for (const [priority, seenAtMs] of this._seenAtMs) {
      if (nowMs - seenAtMs <= FORGET_PRIORITY_AFTER_MS) continue
      this._seenAtMs.delete(priority)
      this._credits.delete(priority)
    }
    this.depth = Math.min(this.depth, this._maxDepth())
  }
}
