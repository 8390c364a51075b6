/**
 * The time of day as most hosts have it. The clock of one host may be seconds
 * off, and may be set while it runs; each control host takes the median of the
 * clocks of all hosts that call it, and every host the median of what control
 * hosts say. What is kept are distances to the host's own monotonic clock, so
 * that a clock which is set changes nothing in between.
 */
import type { Clock } from '../utils/clock.js'
import { median } from '../utils/median.js'

/** Of the last few answers the one that took least time says most. */
const MAX_SAMPLES_COUNT = 6

interface Sample {
  /** By how much the fleet's time of day is ahead of the monotonic clock. */
  offsetMs: number
  roundTripMs: number
}

export interface ReceivedTime {
  /** The time of day that a control host gave with its answer. */
  fleetWallMs: number
  /** Instants of the monotonic clock. */
  calledAtMs: number
  answeredAtMs: number
}

export class FleetTime {
  private readonly _clock: Clock
  /** By the address of the control host that told them. */
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

  /** The time of day at an instant of the monotonic clock; that of this host until a control host was heard. */
  wallAt (nowMs: number): number {
    const offsetsMs = [...this._samples.values()].map(bestOffsetMs)
    const offsetMs = offsetsMs.length > 0 ? median(offsetsMs) : this._clock.wallMs() - this._clock.nowMs()
    return nowMs + offsetMs
  }
}

function bestOffsetMs (samples: Sample[]): number {
  return samples.reduce((best, sample) => (sample.roundTripMs <= best.roundTripMs ? sample : best)).offsetMs
}
