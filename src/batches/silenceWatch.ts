/**
 * Ends a run whose engine has fallen silent. What silence is depends on the
 * engine: eight of the gaps that are usual there, so that a crash costs a long
 * sample under half a second, and a slow engine is not left for being slow.
 */
import type { Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import type { EnginePace } from './enginePace.js'

/** An engine that makes no first event for so long is left for another one: prompts are read in milliseconds, but one may wait behind others. */
const FIRST_EVENT_TIMEOUT_MS = 900
/** From then on, so many of the gaps that are usual there without an event: a prompt of thousands of tokens that is read between two events takes less than three. */
const STALL_GAPS_COUNT = 8
/** Events of an engine on another host may come together after a lost packet; a resent one is there by then. */
const MIN_STALL_TIMEOUT_MS = 400
/** A timer that is later than this shows that the host was frozen or had no processor. */
const MAX_TIMER_DELAY_MS = 100

export class StallDetector {
  private readonly _clock: Clock
  private readonly _pace: EnginePace
  private readonly _isOverloaded: () => boolean
  private _lastEventAtMs: number
  private _eventsCount = 0
  private _checkDueAtMs: number
  private _cancelTimer = (): void => {}

  /**
   * Begins to watch; closes the scope of the run when the engine is silent.
   * @param isOverloaded whether this host is too busy for its own timers
   */
  constructor (clock: Clock, pace: EnginePace, runScope: Scope, isOverloaded: () => boolean) {
    this._clock = clock
    this._pace = pace
    this._isOverloaded = isOverloaded
    this._lastEventAtMs = clock.nowMs()
    this._checkDueAtMs = clock.nowMs()
    this._check(runScope)
    runScope.onClose(() => this._cancelTimer())
  }

  /** Events that came so far. */
  get eventsCount (): number {
    return this._eventsCount
  }

  /** An event has come: the engine is not silent, and its gap tells of the engine's pace. */
  recordEvent (): void {
    const nowMs = this._clock.nowMs()
    // The first event comes after the prompt was read, which says nothing of the pace; nor does one that this host has read late.
    if (this._eventsCount > 0 && !this._isOverloaded()) this._pace.sawGap(nowMs - this._lastEventAtMs)
    this._eventsCount++
    this._lastEventAtMs = nowMs
  }

  private _check (runScope: Scope): void {
    const nowMs = this._clock.nowMs()
    // This host was held up itself: what came meanwhile is read first.
    if (nowMs - this._checkDueAtMs > MAX_TIMER_DELAY_MS) return this._scheduleCheck(nowMs + MAX_TIMER_DELAY_MS, runScope)
    const stalledAtMs = this._lastEventAtMs + this._stallTimeoutMs()
    if (nowMs >= stalledAtMs) runScope.close('the engine fell silent')
    else this._scheduleCheck(Math.min(stalledAtMs, nowMs + MIN_STALL_TIMEOUT_MS), runScope)
  }

  private _scheduleCheck (atMs: number, runScope: Scope): void {
    this._checkDueAtMs = atMs
    this._cancelTimer = this._clock.callAt(atMs, () => this._check(runScope))
  }

  private _stallTimeoutMs (): number {
    if (this._eventsCount === 0) return FIRST_EVENT_TIMEOUT_MS
    return Math.min(FIRST_EVENT_TIMEOUT_MS, Math.max(MIN_STALL_TIMEOUT_MS, STALL_GAPS_COUNT * (this._pace.presentGapMs ?? 0)))
  }
}
