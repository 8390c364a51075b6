/**
 * Detects that the machine was suspended. The monotonic clock does not advance
 * during a suspension, and Node.js offers no clock that does; the wall clock goes on.
 * If the wall clock has gained on the monotonic clock, the machine was suspended or
 * the wall clock was set: in either case a lease should be renewed.
 */

/**
 * A smaller gain does not prove a suspension: clocks are slewed by at most 0.05 %,
 * which is 30 ms in a minute between two reads, and the wall clock is read in whole
 * milliseconds.
 */
const MIN_SUSPENSION_MS = 100

export class SuspensionDetector {
  private readonly _nowMs: () => number
  private readonly _wallMs: () => number
  private _wallOffsetMs: number
  private _suspendedMs = 0

  /**
   * @param nowMs the monotonic clock
   * @param wallMs the wall clock
   */
  constructor (nowMs: () => number, wallMs: () => number) {
    this._nowMs = nowMs
    this._wallMs = wallMs
    this._wallOffsetMs = wallMs() - nowMs()
  }

  /** The monotonic clock plus all detected gains of the wall clock; never decreases. */
  leaseNowMs (): number {
    const nowMs = this._nowMs()
    const wallOffsetMs = this._wallMs() - nowMs
    const jumpMs = wallOffsetMs - this._wallOffsetMs
    if (jumpMs >= MIN_SUSPENSION_MS) this._suspendedMs += jumpMs
    this._wallOffsetMs = wallOffsetMs
    return nowMs + this._suspendedMs
  }
}
