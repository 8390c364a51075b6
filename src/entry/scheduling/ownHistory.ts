/**
 * How many requests this host had on an endpoint at a past instant. A load
 * report is true for the moment it was made, so it is corrected by what this
 * host has sent and finished since then.
 */

/** More steps than that since the last report are not told apart. */
const MAX_STEPS = 1024

interface Step {
  atMs: number
  count: number
}

export class OwnHistory {
  private _count = 0
  private _steps: Step[] = [{ atMs: -Infinity, count: 0 }]

  get count (): number {
    return this._count
  }

  began (nowMs: number): void {
    this._set(nowMs, this._count + 1)
  }

  ended (nowMs: number): void {
    this._set(nowMs, this._count - 1)
  }

  /** The count at an instant that is not before the last `forgetBefore`. */
  countAt (atMs: number): number {
    for (let index = this._steps.length - 1; index >= 0; index--) {
      const step = this._steps[index] as Step
      if (step.atMs <= atMs) return step.count
    }
    return this._steps[0]?.count ?? 0
  }

  forgetBefore (atMs: number): void {
    const firstNeeded = this._steps.findLastIndex(step => step.atMs <= atMs)
    if (firstNeeded > 0) this._steps.splice(0, firstNeeded)
  }

  private _set (nowMs: number, count: number): void {
    this._count = count
    this._steps.push({ atMs: nowMs, count })
    if (this._steps.length > MAX_STEPS) this._steps.shift()
  }
}
