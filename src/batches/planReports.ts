/**
 * Reports the plan of the groups of each batch while engines are short: a log line when
 * the plan has changed, at most once a second for each batch, and gauges per model.
 */
import type { BatchPlan } from '../batchScheduling/groupScheduling.js'
import type { SchedulableBatch } from '../batchScheduling/schedulableItem.js'
import type { Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { BatchEvent } from './batchEvents.js'

/** Shortest time between two log lines about the plan of a batch. */
const LOG_INTERVAL_MS = 1_000

enum ReportedStanding {
  Whole = 'whole',
  Planned = 'planned',
  Behind = 'behind',
  Surplus = 'surplus'
}

interface LoggedPlan {
  atMs: number
  plan: BatchPlan
}

export interface PlanReportsOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
}

export class PlanReports {
  private readonly _options: PlanReportsOptions
  private readonly _logged = new WeakMap<SchedulableBatch, LoggedPlan>()
  /** Models whose gauges were set; the gauges are reset to 0 once engines are no longer short. */
  private readonly _models = new Set<string>()

  constructor (options: PlanReportsOptions) {
    this._options = options
  }

  report (plans: readonly BatchPlan[]): void {
    const nowMs = this._options.clock.nowMs()
    for (const plan of plans) this._logIfChanged(plan, nowMs)
    this._setGauges(plans.filter(({ isShort }) => isShort))
  }

  private _logIfChanged (plan: BatchPlan, nowMs: number): void {
    const logged = this._logged.get(plan.batch)
    const isNew = logged ? isChanged(logged.plan, plan) : plan.isShort
    if (!isNew || nowMs < (logged?.atMs ?? Number.NEGATIVE_INFINITY) + LOG_INTERVAL_MS) return
    this._logged.set(plan.batch, { atMs: nowMs, plan })
    const { batch, wantedCount, wholeCount, plannedCount, behindCount, surplusCount, openWorkMs, roomMs, isShort } = plan
    const { model, step } = batch.submission
    this._options.logger.event(BatchEvent.GroupsPlanned, {
      batchId: batch.batchId, model, step, isShort, wantedCount, wholeCount, plannedCount, behindCount, surplusCount, openWorkMs: Math.round(openWorkMs), roomMs: Math.round(roomMs)
    })
  }

  private _setGauges (plans: readonly BatchPlan[]): void {
    for (const { batch } of plans) this._models.add(batch.submission.model)
    for (const model of this._models) {
      const ofModel = plans.filter(({ batch }) => batch.submission.model === model)
      for (const standing of Object.values(ReportedStanding)) {
        const count = ofModel.reduce((sum, plan) => sum + countOf(plan, standing), 0)
        this._options.metrics.gauge(MetricName.StepGroups, count, { model, standing })
      }
      if (ofModel.length === 0) this._models.delete(model)
    }
  }
}

/** Without a shortage, only its end is worth a line. */
function isChanged (logged: BatchPlan, plan: BatchPlan): boolean {
  if (!plan.isShort) return logged.isShort
  return logged.isShort !== plan.isShort || logged.wholeCount !== plan.wholeCount || logged.plannedCount !== plan.plannedCount ||
    logged.behindCount !== plan.behindCount || logged.surplusCount !== plan.surplusCount
}

function countOf (plan: BatchPlan, standing: ReportedStanding): number {
  switch (standing) {
    case ReportedStanding.Whole:
      return plan.wholeCount
    case ReportedStanding.Planned:
      return plan.plannedCount
    case ReportedStanding.Behind:
      return plan.behindCount
    case ReportedStanding.Surplus:
      return plan.surplusCount
  }
}
