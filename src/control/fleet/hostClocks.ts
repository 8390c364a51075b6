/**
 * Estimates the time of day from the clocks of the hosts that call this control
 * host, kept as offsets from its monotonic clock. The median tolerates a minority
 * of wrong clocks.
 */
import type { Clock } from '../../utils/clock.js'
import { median } from '../../utils/median.js'

/** The clock of a host that has not called for this long is discarded. */
const CLOCK_EXPIRY_MS = 5_000

interface HostClock {
  offsetMs: number
  heardAtMs: number
}

export class HostClocks {
  private readonly _clock: Clock
  private readonly _clocksByHost = new Map<string, HostClock>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** @param wallMs the time of day that the host sent with its call */
  record (hostId: string, wallMs: number): void {
    const heardAtMs = this._clock.nowMs()
    this._clocksByHost.set(hostId, { offsetMs: wallMs - heardAtMs, heardAtMs })
  }

  /** The median time of day of these hosts and this one. */
  wallMs (): number {
    const nowMs = this._clock.nowMs()
    const offsetsMs = [this._clock.wallMs() - nowMs]
    for (const [hostId, hostClock] of this._clocksByHost) {
      if (nowMs - hostClock.heardAtMs > CLOCK_EXPIRY_MS) this._clocksByHost.delete(hostId)
      else offsetsMs.push(hostClock.offsetMs)
    }
    return nowMs + median(offsetsMs)
  }
}
