/**
 * Reports on the batches in the batch store: gauges, and a log line for
 * each batch that expired or that was requested and is unknown.
 */
import { LRUCache } from 'lru-cache'
import type { Replica } from '../replication/log/replica.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { BatchEvent } from './batchEvents.js'
import type { Batch } from './batch.js'
import type { BatchState } from './batchState.js'

/** Unknown batches that are remembered as reported: far more than are open at once. Clients repeat a failed request many times a second. */
const MAX_REPORTED_COUNT = 1_024

/** Sets the gauges for the batches and unfinished outputs of this replica. */
export function setBatchGauges (state: BatchState, metrics: Metrics): void {
  metrics.gauge(MetricName.BatchesOpen, state.open().length)
  metrics.gauge(MetricName.BatchesHeld, state.heldCount)
  metrics.gauge(MetricName.OutputsUnfinished, state.unfinishedCount)
}

/** Logs the removal of an expired batch together with the times that led to the removal. */
export function reportExpired (logger: Logger, { batchId, acceptedAtMs, keptMs, isEnded, results }: Batch, decidedAtMs: number): void {
  logger.event(BatchEvent.BatchExpired, { batchId, acceptedAtMs, decidedAtMs, keptMs, isEnded, listedCount: results.length })
}

/** Logs each batch once that was requested and is not stored on this replica. */
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
