/**
 * Reports what each open step waits for, by a log line per second and by gauges, so
 * that a stalled trainer can be traced to the engines, the slots, the scoring or the
 * log. Items are counted by stage, and queued items also by the reason for which they
 * have no slot.
 */
import type { Clock } from '../utils/clock.js'
import { everySecond } from '../utils/everySecond.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { Scope } from '../utils/scope.js'
import { WaitReason } from '../batchScheduling/waitReason.js'
import type { Batch } from './batch.js'
import { BatchEvent } from './batchEvents.js'

/** Stage of an item on its way to the list of results. */
export enum ItemStage {
  /** Waits for a slot of an engine. */
  Queued = 'queued',
  Running = 'running',
  /** Pauses after a failed run. */
  Pausing = 'pausing',
  Scoring = 'scoring',
  /** The result of the item is being committed to the replicated log. */
  Committing = 'committing'
}

/** The properties of an item that are reported. */
export interface ReportedItem {
  batch: Batch
  stage: ItemStage
}

/** A step that is running at this host. */
export interface ReportedStep {
  batch: Batch
  /** When this host started to run the step. */
  startedAtMs: number
  dueAtMs: number
}

export interface StepReportsOptions<Item extends ReportedItem> {
  clock: Clock
  logger: Logger
  metrics: Metrics
  steps: () => ReportedStep[]
  /** All items that are not listed yet. */
  items: () => Iterable<Item>
  waitReasonOf: (item: Item) => WaitReason
}

type Counts = Partial<Record<ItemStage | WaitReason, number>>

export class StepReports<Item extends ReportedItem> {
  private readonly _options: StepReportsOptions<Item>
  /** Models whose gauges were set; the gauges are reset to 0 once a model has no open step. */
  private readonly _models = new Set<string>()

  constructor (options: StepReportsOptions<Item>) {
    this._options = options
  }

  async run (scope: Scope): Promise<void> {
    await everySecond(this._options.clock, scope, () => this.report())
  }

  report (): void {
    const { clock, logger } = this._options
    const nowMs = clock.nowMs()
    const counts = this._countItems()
    const steps = this._options.steps().filter(({ batch }) => !batch.isEnded)
    for (const step of steps) {
      const { batchId, submission, results } = step.batch
      logger.event(BatchEvent.StepWaiting, {
        batchId,
        model: submission.model,
        step: submission.step,
        minVersion: submission.minVersion,
        openForMs: Math.round(nowMs - step.startedAtMs),
        dueInMs: Math.round(step.dueAtMs - nowMs),
        itemsCount: submission.itemsCount,
        listedCount: results.length,
        ...counts.get(step.batch)
      })
    }
    this._setGauges(steps, counts, nowMs)
  }

  private _countItems (): Map<Batch, Counts> {
    const counts = new Map<Batch, Counts>()
    for (const item of this._options.items()) {
      const batchCounts = counts.get(item.batch) ?? {}
      counts.set(item.batch, batchCounts)
      batchCounts[item.stage] = (batchCounts[item.stage] ?? 0) + 1
      if (item.stage !== ItemStage.Queued) continue
      const reason = this._options.waitReasonOf(item)
      batchCounts[reason] = (batchCounts[reason] ?? 0) + 1
    }
    return counts
  }

  private _setGauges (steps: ReportedStep[], counts: Map<Batch, Counts>, nowMs: number): void {
    const { metrics } = this._options
    for (const { batch } of steps) this._models.add(batch.submission.model)
    for (const model of this._models) {
      const modelSteps = steps.filter(({ batch }) => batch.submission.model === model)
      const sum = (key: ItemStage | WaitReason): number => modelSteps.reduce((total, { batch }) => total + (counts.get(batch)?.[key] ?? 0), 0)
      metrics.gauge(MetricName.StepOpenMs, Math.max(0, ...modelSteps.map(({ startedAtMs }) => Math.round(nowMs - startedAtMs))), { model })
      for (const stage of Object.values(ItemStage)) metrics.gauge(MetricName.StepItems, sum(stage), { model, stage })
      for (const reason of Object.values(WaitReason)) metrics.gauge(MetricName.StepWaiting, sum(reason), { model, reason })
    }
  }
}
