/**
 * Counts over the last half second, by key. This time is kept in slices, so that memory and
 * time depend on the number of keys only.
 */
import type { Clock } from '../utils/clock.js'

/** One call interval of a host, so that the figures of successive calls cover all requests and follow a rush. */
export const COUNT_WINDOW_MS = 500
const SLICES_COUNT = 10
const SLICE_MS = COUNT_WINDOW_MS / SLICES_COUNT
/** Counts that have just begun are taken over this time at least: a rate of less time is hardly one. */
const MIN_SPAN_MS = 250
const MS_PER_S = 1_000

interface Slice {
  number: number
  sums: Map<string, number>
}

export class SlidingCounts {
  private readonly _clock: Clock
  /** The oldest first. */
  private _slices: Slice[] = []

  constructor (clock: Clock) {
    this._clock = clock
  }

  add (key: string, by = 1): void {
    const { sums } = this._currentSlice()
    sums.set(key, (sums.get(key) ?? 0) + by)
  }

  /**
   * Sums per second, by key.
   * @param withinMs the latest part of the time that counts
   */
  ratesPerS (withinMs = COUNT_WINDOW_MS): Map<string, number> {
    const sliceNumber = this._currentSlice().number
    const spanMs = Math.min(withinMs, Math.max(MIN_SPAN_MS, this._clock.nowMs() - (this._slices[0]?.number ?? sliceNumber) * SLICE_MS))
    const rates = new Map<string, number>()
    for (const { number, sums } of this._slices) {
      if (number <= sliceNumber - withinMs / SLICE_MS) continue
      for (const [key, sum] of sums) rates.set(key, (rates.get(key) ?? 0) + sum * MS_PER_S / spanMs)
    }
    return rates
  }

  private _currentSlice (): Slice {
    const number = Math.floor(this._clock.nowMs() / SLICE_MS)
    const last = this._slices.at(-1)
    if (last?.number === number) return last
    this._slices = this._slices.filter(slice => slice.number > number - SLICES_COUNT)
    const slice = { number, sums: new Map<string, number>() }
    this._slices.push(slice)
    return slice
  }
}
