/**
 * Chooses which of several waiting priorities is served next (stride scheduling;
 * Waldspurger and Weihl, 1995). More urgent priorities are served more often, and
 * each priority in proportion to its number of waiting requests, so that no priority is
 * starved however many urgent requests there are. With a single priority the order
 * is unaffected.
 */

/** At equal numbers of waiting requests, a priority is served at most this many times as often as the least urgent one; below 4, the ratio that counts as starvation. */
const MAX_WEIGHT = 3

/** @param priority 0 is the most urgent */
function weightOf (priority: number): number {
  return Math.max(1, MAX_WEIGHT - Math.max(0, priority))
}

export class StrideScheduler {
  /** Stride scheduling pass of each priority; the lowest is served next. */
  private readonly _passes = new Map<number, number>()

  /** The priority to serve next; undefined when nothing is waiting. */
  next (waitingCounts: ReadonlyMap<number, number>): number | undefined {
    const waiting = [...waitingCounts].filter(([, count]) => count > 0).map(([priority]) => priority)
    this._retainOnly(waiting)
    return this._lowestPass(waiting)
  }

  /** Records that one of `waitingCount` waiting requests of a priority was served. */
  served (priority: number, waitingCount: number): void {
    this._passes.set(priority, this._passOf(priority) + 1 / (weightOf(priority) * Math.max(1, waitingCount)))
  }

  private _lowestPass (priorities: readonly number[]): number | undefined {
    return [...priorities].sort((left, right) => this._passOf(left) - this._passOf(right) || left - right)[0]
  }

  /** A priority that has just started to wait gets no credit for the time before. */
  private _passOf (priority: number): number {
    return this._passes.get(priority) ?? (this._passes.size > 0 ? Math.min(...this._passes.values()) : 0)
  }

  private _retainOnly (waiting: readonly number[]): void {
    for (const priority of this._passes.keys()) if (!waiting.includes(priority)) this._passes.delete(priority)
    for (const priority of waiting) this._passes.set(priority, this._passOf(priority))
  }
}
