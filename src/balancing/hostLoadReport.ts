/**
 * What a host reports of its load, so that look-ups name it less while it is busy.
 * The load it answers: callers of one data centre press at a multiple of the usual
 * rate while single hosts are slowed and can do less than their limits say.
 *
 * Reports are coarse and have hysteresis: every report is passed on to all entry
 * hosts, so an idle host sends none, and a busy one at most one a second.
 */
import type { HostLoad } from '../protocol/fleet.js'

/** Use is reported in sixteenths: finer than the 15% within which load should follow capacity. */
export const USE_STEPS_COUNT = 16
/** Below a quarter of its capacity a host counts as idle. */
const IDLE_BELOW = 0.25
/** Use changes from one second to the next; a report is replaced when it is off by more than one step. */
const HYSTERESIS_STEPS = 1.25
/** Longer than the call interval of followers, so that two calls never carry two reports for one second. */
const MIN_REPORT_INTERVAL_MS = 1_000
/** Weight of the newest reading in the moving mean: a small host gets a dozen requests a second, which alone vary by a third. */
const SMOOTHING = 0.12
/** A back-off step takes a twentieth of the callers. */
export const BACK_OFF_FACTOR = 0.95
/** Down to an eighth of the capacity. */
const MAX_BACK_OFF_STEPS = 40
/** Share of the difference to the mean that is taken back at once: callers are slow to follow. */
const BACK_OFF_GAIN = 0.5
/** Callers follow a change of their list after its validity of two seconds, some after six. */
const BACK_OFF_INTERVAL_MS = 5_000
/** Below this use nothing is short, and hosts need not be equally busy. */
const BACK_OFF_ABOVE = 0.5
/** A host within this range of the mean use of the fleet keeps its share of callers. */
const BALANCED_MARGIN = 0.07
/** Above this use requests wait for the processor. */
const OVERLOADED_ABOVE = 0.95
const RECOVERED_BELOW = 0.8
/** Consecutive readings until a host is overloaded, or no longer is. */
const OVERLOAD_READINGS_COUNT = 2

export const IDLE_LOAD: HostLoad = { useSteps: 0, backOffSteps: 0 }

export interface LoadReading {
  nowMs: number
  /** Share of the capacity in use: of the resource that is shortest. */
  use: number
  /** Mean use of the fleet, as it was reported; undefined if no host reports any. */
  fleetUse: number | undefined
}

export class HostLoadReport {
  private _report = IDLE_LOAD
  private _reportedAtMs = Number.NEGATIVE_INFINITY
  private _use = 0
  private _backOffSteps = 0
  private _backedOffAtMs = Number.NEGATIVE_INFINITY
  private _isOverloaded = false
  private _contraryReadingsCount = 0

  /** The current report; the same object until it changes. */
  get report (): HostLoad {
    return this._report
  }

  /** Takes a reading, about once a second; returns whether the report has changed. */
  read ({ nowMs, use, fleetUse }: LoadReading): boolean {
    this._use += SMOOTHING * (use - this._use)
    this._judgeOverload(use)
    this._adjustBackOff(nowMs, fleetUse)
    const next = this._nextReport()
    if (next === this._report || nowMs - this._reportedAtMs < MIN_REPORT_INTERVAL_MS) return false
    this._report = next
    this._reportedAtMs = nowMs
    return true
  }

  private _judgeOverload (use: number): void {
    const isContrary = this._isOverloaded ? use < RECOVERED_BELOW : use > OVERLOADED_ABOVE
    this._contraryReadingsCount = isContrary ? this._contraryReadingsCount + 1 : 0
    if (this._contraryReadingsCount < OVERLOAD_READINGS_COUNT) return
    this._isOverloaded = !this._isOverloaded
    this._contraryReadingsCount = 0
  }

  private _adjustBackOff (nowMs: number, fleetUse: number | undefined): void {
    if (nowMs - this._backedOffAtMs < BACK_OFF_INTERVAL_MS) return
    const mean = Math.max(fleetUse ?? this._use, BACK_OFF_ABOVE)
    const next = this._backOffSteps + backOffChange(this._use, mean)
    const bounded = Math.min(MAX_BACK_OFF_STEPS, Math.max(0, next))
    if (bounded === this._backOffSteps) return
    this._backOffSteps = bounded
    this._backedOffAtMs = nowMs
  }

  private _nextReport (): HostLoad {
    const useSteps = this._useSteps()
    const { useSteps: knownUseSteps, backOffSteps, isOverloaded } = this._report
    const isSame = useSteps === knownUseSteps && backOffSteps === this._backOffSteps && (isOverloaded ?? false) === this._isOverloaded
    if (isSame) return this._report
    return { useSteps, backOffSteps: this._backOffSteps, ...(this._isOverloaded ? { isOverloaded: true } : {}) }
  }

  private _useSteps (): number {
    const exact = Math.min(1, this._use) * USE_STEPS_COUNT
    const known = this._report.useSteps
    const isNear = Math.abs(exact - known) <= HYSTERESIS_STEPS
    if (isNear && known > 0) return known
    return this._use < IDLE_BELOW ? 0 : Math.round(exact)
  }
}

/** Steps that bring the use nearer to the mean; a large difference takes several. */
function backOffChange (use: number, mean: number): number {
  const ratio = Math.max(use, MIN_USE) / mean
  if (Math.abs(ratio - 1) <= BALANCED_MARGIN) return 0
  const steps = BACK_OFF_GAIN * Math.log(ratio) / -Math.log(BACK_OFF_FACTOR)
  return Math.sign(steps) * Math.max(1, Math.round(Math.abs(steps)))
}

/** Bounds the steps that an idle host takes back at once. */
const MIN_USE = 0.1

/** Mean use of hosts, by capacity; undefined if none tells its capacity. */
export function meanUse (hosts: ReadonlyArray<{ capacity?: number | undefined, load?: HostLoad | undefined }>): number | undefined {
  const known = hosts.filter(({ capacity }) => capacity !== undefined)
  const totalCapacity = known.reduce((sum, { capacity = 0 }) => sum + capacity, 0)
  if (totalCapacity === 0) return undefined
  const inUse = known.reduce((sum, { capacity = 0, load }) => sum + capacity * (load?.useSteps ?? 0), 0)
  return inUse / USE_STEPS_COUNT / totalCapacity
}
