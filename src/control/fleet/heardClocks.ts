/**
 * The clocks of the hosts that call this control host, as distances to its own
 * monotonic clock. Their median is the time of day: some of them may be off.
 */
import type { Clock } from '../../utils/clock.js'
import { median } from '../../utils/median.js'

/** A host that was not heard for so long has no say. */
const HEARD_FOR_MS = 5_000

interface HeardClock {
  aheadMs: number
  heardAtMs: number
}

export class HeardClocks {
  private readonly _clock: Clock
  private readonly _heard = new Map<string, HeardClock>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** @param wallMs the time of day that a host gave with its call */
  learn (hostId: string, wallMs: number): void {
    const heardAtMs = this._clock.nowMs()
    this._heard.set(hostId, { aheadMs: wallMs - heardAtMs, heardAtMs })
  }

  /** The time of day, by most of these hosts and this one. */
  wallMs (): number {
    const nowMs = this._clock.nowMs()
    const aheadMs = [this._clock.wallMs() - nowMs]
    for (const [hostId, heard] of this._heard) {
      if (nowMs - heard.heardAtMs > HEARD_FOR_MS) this._heard.delete(hostId)
      else aheadMs.push(heard.aheadMs)
    }
    return nowMs + median(aheadMs)
  }
}
