/**
 * Limits how many runs a leader starts at a time. Late timers show that its processor
 * is overloaded; while timers are late, the leader starts and moves no runs; runs
 * in progress continue to their end.
 *
 * This guards against steps of several trainers that start at once and saturate the
 * processor of the leader: about four hundred items for 250 slots needed two to three
 * times the processor capacity of a store host. When all of them started at once,
 * their events were handled in one turn of the event loop that lasted for seconds. No
 * heartbeat was sent, another host was elected and met the same load: eleven to
 * twenty-seven leaders in less than a minute.
 */
import type { Clock } from '../utils/clock.js'

/** Interval between the turns in which runs start. */
export const TURN_MS = 20
/** Runs started per turn at most, which equals eight hundred starts per second: filling 250 slots takes 0.3 s, a small part of a step. */
const STARTS_PER_TURN_COUNT = 16
/** An overloaded leader still starts one run per interval, because the load may not come from runs. */
const OVERLOADED_START_INTERVAL_MS = 200
/** A timer later than this means overload: well below the time that followers wait for a heartbeat (600 ms), well above a garbage collection pause. */
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

  /** When `beginTurn` has to be called next. */
  get dueAtMs (): number {
    return this._dueAtMs
  }

  /** Whether the host is overloaded: the last turn was late, or the next turn is overdue. */
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

  /** Has to be called by a timer at `dueAtMs`; returns the delay of the call in milliseconds. */
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
