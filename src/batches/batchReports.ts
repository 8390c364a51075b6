/**
 * What the batch store tells of the batches it holds: gauges, and a line for
 * each batch that was forgotten or that is asked for in vain.
 */
import { LRUCache } from 'lru-cache'
import type { Replica } from '../replication/log/replica.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { BatchEvent } from './batchEvents.js'
import type { Batch } from './batch.js'
import type { BatchState } from './batchState.js'

/** Whoever asks in vain asks again, many times a second; so many batches are told once. Far more than are open at once. */
const MAX_REPORTED_COUNT = 1_024

/** Sets the gauges of what this replica holds. */
export function setBatchGauges (state: BatchState, metrics: Metrics): void {
  metrics.gauge(MetricName.BatchesOpen, state.open().length)
  metrics.gauge(MetricName.BatchesHeld, state.heldCount)
  metrics.gauge(MetricName.OutputsUnfinished, state.unfinishedCount)
}

/** Tells of a batch whose time is over, with what decided it. */
export function reportForgotten (logger: Logger, { batchId, acceptedAtMs, keptMs, isEnded, results }: Batch, decidedAtMs: number): void {
  logger.event(BatchEvent.BatchExpired, { batchId, acceptedAtMs, decidedAtMs, keptMs, isEnded, listedCount: results.length })
}

/** Tells once of each batch that was asked for and is not held here. */
export class UnknownBatchReporter {
  private readonly _replica: Replica
  private readonly _logger: Logger
  private readonly _reported = new LRUCache<string, true>({ max: MAX_REPORTED_COUNT })

  constructor (replica: Replica, logger: Logger) {
    this._replica = replica
    this._logger = logger
  }

  report (batchId: string, call: string): void {
    if (this._reported.has(batchId)) return
    this._reported.set(batchId, true)
    const { appliedIndex, leadership, core } = this._replica
    this._logger.event(BatchEvent.BatchUnknown, {
      batchId, call, appliedIndex, commitIndex: core.commitIndex, isLeader: leadership !== undefined, leaderHostId: core.leader?.hostId
    })
  }
}
