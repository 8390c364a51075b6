/**
 * What a suspended machine missed. The steady clock does not count the time of a
 * suspension, and Node.js offers none that does; the time of day goes on. When it
 * has run ahead of the steady clock, the machine may have stood still, or somebody
 * set the clock: for a lease either is reason enough to be renewed.
 */

/**
 * Less is no sign: clocks are slewed by 0.05 % at most, which is 30 ms in a minute
 * without a look, and the time of day is read in whole milliseconds.
 */
const LEAST_SUSPENSION_MS = 100

export class SuspensionSense {
  private readonly _nowMs: () => number
  private readonly _wallMs: () => number
  private _aheadMs: number
  private _missedMs = 0

  /**
   * @param nowMs the steady clock
   * @param wallMs the time of day
   */
  constructor (nowMs: () => number, wallMs: () => number) {
    this._nowMs = nowMs
    this._wallMs = wallMs
    this._aheadMs = wallMs() - nowMs()
  }

  /** The steady clock, and the time by which the time of day has run ahead of it; never goes back. */
  leaseNowMs (): number {
    const nowMs = this._nowMs()
    const aheadMs = this._wallMs() - nowMs
    const gainedMs = aheadMs - this._aheadMs
    if (gainedMs >= LEAST_SUSPENSION_MS) this._missedMs += gainedMs
    this._aheadMs = aheadMs
    return nowMs + this._missedMs
  }
}
