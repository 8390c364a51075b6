/**
 * Who is served next where several priorities wait: the more urgent more often,
 * and each in proportion to what waits of it, so that nobody is starved however
 * much the urgent ask for (stride scheduling; Waldspurger and Weihl, 1995). With
 * one priority alone, nothing is changed.
 */

/** A priority is served up to this many times as often as the least urgent one, for the same number that wait: under the four at which somebody counts as starved. */
const MAX_WEIGHT = 3

/** @param priority 0 is the most urgent */
function weightOf (priority: number): number {
  return Math.max(1, MAX_WEIGHT - Math.max(0, priority))
}

export class StrideScheduler {
  /** How much each priority was given, in shares; the least goes next. */
  private readonly _passes = new Map<number, number>()

  /** The priority whose turn it is; undefined when nothing waits. */
  next (waitingCounts: ReadonlyMap<number, number>): number | undefined {
    const waiting = [...waitingCounts].filter(([, count]) => count > 0).map(([priority]) => priority)
    this._retainOnly(waiting)
    return this._lowestPass(waiting)
  }

  /** One of a priority was served, of so many that waited. */
  served (priority: number, waitingCount: number): void {
    this._passes.set(priority, this._passOf(priority) + 1 / (weightOf(priority) * Math.max(1, waitingCount)))
  }

  private _lowestPass (priorities: readonly number[]): number | undefined {
    return [...priorities].sort((left, right) => this._passOf(left) - this._passOf(right) || left - right)[0]
  }

  /** What has just begun to wait is not owed for the time before. */
  private _passOf (priority: number): number {
    return this._passes.get(priority) ?? (this._passes.size > 0 ? Math.min(...this._passes.values()) : 0)
  }

  private _retainOnly (waiting: readonly number[]): void {
    for (const priority of this._passes.keys()) if (!waiting.includes(priority)) this._passes.delete(priority)
    for (const priority of waiting) this._passes.set(priority, this._passOf(priority))
  }
}
