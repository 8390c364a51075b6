/**
 * Ends a run whose engine stalls. The timeout for the first event is that of the
 * service (firstEventTimes). For later ones it depends on the engine: eight of its
 * usual gaps between events, so that a crash costs a long sample less than half a
 * second and a slow engine is not abandoned merely for its longer time per event.
 */
import type { Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import type { EnginePace } from '../batchScheduling/enginePace.js'
import { MAX_FIRST_EVENT_TIMEOUT_MS, type FirstEventTimes } from './firstEventTimes.js'

/** Timeout for later events in usual gaps of the engine: a prompt of thousands of tokens that is processed between two events takes less than three gaps. */
const STALL_GAPS_COUNT = 8
/** Lower bound for the timeout, within which a lost packet is retransmitted; the events behind it then arrive together. */
const MIN_STALL_TIMEOUT_MS = 400
/** A timer that fires later than this shows that the host was frozen or had no processor time. */
const MAX_TIMER_DELAY_MS = 100

export class StallDetector {
  private readonly _clock: Clock
  private readonly _pace: EnginePace
  private readonly _firstEventTimes: FirstEventTimes
  private readonly _isOverloaded: () => boolean
  private _lastEventAtMs: number
  private _eventsCount = 0
  private _checkDueAtMs: number
  private _cancelTimer = (): void => {}

  /**
   * Starts the stall detection, which closes the scope of the run when the engine stalls.
   * @param firstEventTimes of the service of the engine
   * @param isOverloaded whether this host is too busy to run its timers on time
   */
  constructor (clock: Clock, pace: EnginePace, firstEventTimes: FirstEventTimes, runScope: Scope, isOverloaded: () => boolean) {
    this._clock = clock
    this._pace = pace
    this._firstEventTimes = firstEventTimes
    this._isOverloaded = isOverloaded
    this._lastEventAtMs = clock.nowMs()
    this._checkDueAtMs = clock.nowMs()
    this._check(runScope)
    runScope.onClose(() => this._cancelTimer())
  }

  /** Number of events recorded so far. */
  get eventsCount (): number {
    return this._eventsCount
  }

  /**
   * Restarts the timeout after an event, and adds the gap before the event to the time
   * per event of the engine. Returns the gap; undefined if it does not show the pace.
   */
  recordEvent (): number | undefined {
    const nowMs = this._clock.nowMs()
    // The time to the first event depends on the prompt, and an overloaded host reads events late; neither delay is part of the time per event.
    const gapMs = this._eventsCount > 0 && !this._isOverloaded() ? nowMs - this._lastEventAtMs : undefined
    if (gapMs !== undefined) this._pace.recordGap(gapMs)
    if (this._eventsCount === 0) this._firstEventTimes.record(nowMs - this._lastEventAtMs)
    this._eventsCount++
    this._lastEventAtMs = nowMs
    return gapMs
  }

  private _check (runScope: Scope): void {
    const nowMs = this._clock.nowMs()
    // This host was delayed itself, so events that arrived meanwhile are read first.
    if (nowMs - this._checkDueAtMs > MAX_TIMER_DELAY_MS) return this._scheduleCheck(nowMs + MAX_TIMER_DELAY_MS, runScope)
    const stalledAtMs = this._lastEventAtMs + this._stallTimeoutMs()
    if (nowMs >= stalledAtMs) runScope.close(`engine sent no event for ${Math.round(nowMs - this._lastEventAtMs)} ms`)
    else this._scheduleCheck(Math.min(stalledAtMs, nowMs + MIN_STALL_TIMEOUT_MS), runScope)
  }

  private _scheduleCheck (atMs: number, runScope: Scope): void {
    this._checkDueAtMs = atMs
    this._cancelTimer = this._clock.callAt(atMs, () => this._check(runScope))
  }

  private _stallTimeoutMs (): number {
    if (this._eventsCount === 0) return this._firstEventTimes.timeoutMs
    return Math.min(MAX_FIRST_EVENT_TIMEOUT_MS, Math.max(MIN_STALL_TIMEOUT_MS, STALL_GAPS_COUNT * (this._pace.currentGapMs ?? 0)))
  }
}
