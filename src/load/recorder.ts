/**
 * Aggregates the outcomes of a run: in total, by workload, by priority class
 * and by the second in which a request was due.
 */
import type { RequestOutcome } from './requestOutcome.js'
import type { InvariantViolation, Report, SecondReport } from './report.js'
import { LatencyHistogram, Series } from './series.js'

const MAX_STORED_VIOLATIONS = 50
const MS_PER_SECOND = 1_000
const NO_CLASS = '(none)'

class SecondStatistics {
  sentCount = 0
  wholeCount = 0
  refusedCount = 0
  lostCount = 0
  readonly latency = new LatencyHistogram(2)
}

export type RecorderReport = Pick<Report, 'all' | 'byWorkload' | 'byClass' | 'seconds' | 'brokenCount' | 'broken'>

export class Recorder {
  private readonly _all = new Series('all')
  private readonly _byWorkload = new Map<string, Series>()
  private readonly _byClass = new Map<string, Series>()
  private readonly _seconds = new Map<number, SecondStatistics>()
  private readonly _violations: InvariantViolation[] = []
  private readonly _startAtMs: number
  private readonly _warmUpMs: number
  private _violationsCount = 0

  /** @param startAtMs time of the monotonic clock */
  constructor (startAtMs: number, warmUpMs: number) {
    this._startAtMs = startAtMs
    this._warmUpMs = warmUpMs
  }

  add (outcome: RequestOutcome): void {
    const { planned, last } = outcome
    if (last.kind === 'broken') this.addViolation({ invariant: last.invariant, tag: planned.tag, message: last.message })
    const dueMs = planned.intendedAtMs - this._startAtMs
    this._addToSecond(Math.floor(dueMs / MS_PER_SECOND), outcome)
    if (dueMs < this._warmUpMs) return
    this._all.add(outcome)
    seriesOf(this._byWorkload, planned.workload.name).add(outcome)
    seriesOf(this._byClass, planned.workload.priorityClass ?? NO_CLASS).add(outcome)
  }

  addViolation (violation: InvariantViolation): void {
    this._violationsCount++
    if (this._violations.length < MAX_STORED_VIOLATIONS) this._violations.push(violation)
  }

  report (durationMs: number): RecorderReport {
    const measuredMs = durationMs - this._warmUpMs
    const wholeCount = this._all.wholeCount
    const reports = (series: Map<string, Series>) => [...series.values()].map(one => one.report(measuredMs, wholeCount))
    return {
      all: this._all.report(measuredMs, wholeCount),
      byWorkload: reports(this._byWorkload),
      byClass: reports(this._byClass),
      seconds: this._secondReports(),
      brokenCount: this._violationsCount,
      broken: this._violations
    }
  }

  private _addToSecond (atS: number, { planned, last, endedAtMs }: RequestOutcome): void {
    const second = this._seconds.get(atS) ?? new SecondStatistics()
    this._seconds.set(atS, second)
    second.sentCount++
    switch (last.kind) {
      case 'whole':
        second.wholeCount++
        second.latency.record(endedAtMs - planned.intendedAtMs)
        return
      case 'refused':
        second.refusedCount++
        return
      case 'lost':
        second.lostCount++
        break
      case 'broken':
    }
  }

  private _secondReports (): SecondReport[] {
    const inOrder = [...this._seconds].sort(([a], [b]) => a - b)
    return inOrder.map(([atS, { latency, ...counts }]) => {
      const summary = latency.summary()
      return { atS, ...counts, p50Ms: summary?.p50Ms ?? null, p99Ms: summary?.p99Ms ?? null }
    })
  }
}

function seriesOf (map: Map<string, Series>, name: string): Series {
  const series = map.get(name) ?? new Series(name)
  map.set(name, series)
  return series
}
