/**
 * Estimates the time of day of the fleet. The clock of a single host may be off by
 * seconds and may be set while the host runs. Each control host therefore takes the
 * median of the clocks of all hosts that call it, and every host takes the median of
 * the times that the control hosts report. The estimates are stored as offsets to
 * the monotonic clock of the host, so that setting its clock does not affect them.
 */
import type { Clock } from '../utils/clock.js'
import { median } from '../utils/median.js'

/** Of the latest samples, the one with the shortest round trip is the most accurate. */
const MAX_SAMPLES_COUNT = 6

interface Sample {
  /** Difference between the fleet's time of day and the monotonic clock. */
  offsetMs: number
  roundTripMs: number
}

export interface ReceivedTime {
  /** The time of day in the answer of a control host. */
  fleetWallMs: number
  /** Times of the monotonic clock when the call was made and answered. */
  calledAtMs: number
  answeredAtMs: number
}

export class FleetTime {
  private readonly _clock: Clock
  /** Time samples, by the address of the control host that reported them. */
  private readonly _samples = new Map<string, Sample[]>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  addSample (controlAddress: string, { fleetWallMs, calledAtMs, answeredAtMs }: ReceivedTime): void {
    const roundTripMs = answeredAtMs - calledAtMs
    const samples = this._samples.get(controlAddress) ?? []
    samples.push({ offsetMs: fleetWallMs + roundTripMs / 2 - answeredAtMs, roundTripMs })
    if (samples.length > MAX_SAMPLES_COUNT) samples.shift()
    this._samples.set(controlAddress, samples)
  }

  /** Converts a time of the monotonic clock to the time of day; uses the clock of this host until a control host has answered. */
  wallAt (nowMs: number): number {
    const offsetsMs = [...this._samples.values()].map(bestOffsetMs)
    const offsetMs = offsetsMs.length > 0 ? median(offsetsMs) : this._clock.wallMs() - this._clock.nowMs()
    return nowMs + offsetMs
  }
}

function bestOffsetMs (samples: Sample[]): number {
  return samples.reduce((best, sample) => (sample.roundTripMs <= best.roundTripMs ? sample : best)).offsetMs
}
