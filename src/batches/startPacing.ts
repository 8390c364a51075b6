/**
 * How many runs a leader begins at a time. It begins as many a second as its
 * processor takes, which shows in its own timers: while they are late, it
 * begins none and moves none, and what runs comes to its end.
 *
 * The load that it answers is the steps of several trainers at once, begun by
 * a leader whose processor they fill: some four hundred items before 250 slots
 * took two to three times the processor that a store host has. Begun all at
 * once, the events of all runs came in one turn of the event loop that lasted
 * for seconds; no heartbeat went out, another host was elected, and it had the
 * same to begin. Eleven to twenty-seven leaders in under a minute came of it.
 */
import type { Clock } from '../utils/clock.js'

/** Runs are begun in turns this long. */
export const TURN_MS = 20
/** Eight hundred a second: a burst that fills 250 slots takes 0.3 s, a small part of a step. */
const STARTS_PER_TURN_COUNT = 16
/** However late it is, it begins one run after so long: what keeps it busy may not be runs. */
const OVERLOADED_START_INTERVAL_MS = 200
/** A timer this late is held up by work: well under the time that followers wait for a heartbeat (600 ms), well over what a collection of garbage takes. */
const OVERLOAD_LATENESS_MS = 60

export class StartPacing {
  private readonly _clock: Clock
  private _dueAtMs: number
  private _isLate = false
  private _remainingCount = STARTS_PER_TURN_COUNT
  private _lastStartAtMs = Number.NEGATIVE_INFINITY

  constructor (clock: Clock) {
    this._clock = clock
    this._dueAtMs = clock.nowMs() + TURN_MS
  }

  /** When the next turn is due. */
  get dueAtMs (): number {
    return this._dueAtMs
  }

  /** This host is held up: its last timer was late, or the next one is. */
  get isOverloaded (): boolean {
    return this._isLate || this._latenessMs() > OVERLOAD_LATENESS_MS
  }

  get mayStart (): boolean {
    if (this.isOverloaded) return this._clock.nowMs() >= this._lastStartAtMs + OVERLOADED_START_INTERVAL_MS
    return this._remainingCount > 0
  }

  recordStart (): void {
    this._remainingCount--
    this._lastStartAtMs = this._clock.nowMs()
  }

  /** To be called by a timer at the instant that was due; how late it was. */
  beginTurn (): number {
    const latenessMs = this._latenessMs()
    this._isLate = latenessMs > OVERLOAD_LATENESS_MS
    this._remainingCount = STARTS_PER_TURN_COUNT
    this._dueAtMs = this._clock.nowMs() + TURN_MS
    return Math.max(0, latenessMs)
  }

  private _latenessMs (): number {
    return this._clock.nowMs() - this._dueAtMs
  }
}
