/**
 * Load as an endpoint announces it: a delayed reading together with its actual
 * age.
 */
import type { LoadReport } from '../src/protocol/endpoints.js'
import type { Clock } from '../src/utils/clock.js'

export type LoadReading = Omit<LoadReport, 'ageMs'>

interface TimedReading {
  reading: LoadReading
  takenAtMs: number
}

export class LoadLag {
  private readonly _clock: Clock
  private readonly _lagMs: number
  private readonly _read: () => LoadReading
  private _published: TimedReading
  private _next: TimedReading

  constructor (clock: Clock, lagMs: number, read: () => LoadReading) {
    this._clock = clock
    this._lagMs = lagMs
    this._read = read
    this._published = this._take()
    this._next = this._published
  }

  /** Returns the published reading. The next reading replaces it once that is at least as old as the lag. */
  report (): LoadReport {
    const nowMs = this._clock.nowMs()
    if (nowMs - this._next.takenAtMs >= this._lagMs) {
      this._published = this._next
      this._next = this._take()
    }
    return { ...this._published.reading, ageMs: nowMs - this._published.takenAtMs }
  }

  private _take (): TimedReading {
    return { reading: this._read(), takenAtMs: this._clock.nowMs() }
  }
}
