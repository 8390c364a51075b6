/**
 * Who is served next where several priorities wait: the more urgent more often,
 * and each in proportion to what waits of it, so that nobody is starved however
 * much the urgent ask for (stride scheduling; Waldspurger and Weihl, 1995). With
 * one priority alone, nothing is changed.
 */

/** A priority is served up to this many times as often as the least urgent one, for the same number that wait: under the four at which somebody counts as starved. */
const MOST_WEIGHT = 3

/** @param priority 0 is the most urgent */
function weightOf (priority: number): number {
  return Math.max(1, MOST_WEIGHT - Math.max(0, priority))
}

export class PriorityShare {
  /** How much each priority was given, in shares; the least goes next. */
  private readonly _given = new Map<number, number>()

  /** The priority whose turn it is; undefined when nothing waits. */
  next (waitingCounts: ReadonlyMap<number, number>): number | undefined {
    const waiting = [...waitingCounts].filter(([, count]) => count > 0).map(([priority]) => priority)
    this._forgetAllBut(waiting)
    return this._leastGiven(waiting)
  }

  /** One of a priority was served, of so many that waited. */
  served (priority: number, waitingCount: number): void {
    this._given.set(priority, this._givenTo(priority) + 1 / (weightOf(priority) * Math.max(1, waitingCount)))
  }

  private _leastGiven (priorities: readonly number[]): number | undefined {
    return [...priorities].sort((left, right) => this._givenTo(left) - this._givenTo(right) || left - right)[0]
  }

  /** What has just begun to wait is not owed for the time before. */
  private _givenTo (priority: number): number {
    return this._given.get(priority) ?? (this._given.size > 0 ? Math.min(...this._given.values()) : 0)
  }

  private _forgetAllBut (waiting: readonly number[]): void {
    for (const priority of this._given.keys()) if (!waiting.includes(priority)) this._given.delete(priority)
    for (const priority of waiting) this._given.set(priority, this._givenTo(priority))
  }
}
