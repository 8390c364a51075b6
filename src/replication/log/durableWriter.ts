/**
 * The single task that writes the log to disk. Records that are enqueued during
 * a write are written together in the next one, with one sync for all of them
 * (group commit). Replies that rely on a record wait for its ticket.
 */
import type { Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import type { Scope } from '../../utils/scope.js'
import { Signal } from '../../utils/signal.js'
import type { LogRecord } from '../storage/logRecords.js'
import type { Compaction, ReplicaStorage } from '../storage/replicaStorage.js'
import { retryWhileDiskFull } from './diskFullRetry.js'
import { entryBytes } from './logEntry.js'

/** Approximate size limit of one write. */
const MAX_BATCH_BYTES = 4 * 1024 * 1024

type Job =
  | { kind: 'records', records: LogRecord[] }
  | { kind: 'compaction', compaction: Compaction }

export class DurableWriter {
  /** Notified after every write. */
  readonly written = new Signal()
  private readonly _storage: ReplicaStorage
  private readonly _clock: Clock
  private readonly _metrics: Metrics
  private readonly _logger: Logger
  private readonly _jobAdded = new Signal()
  private readonly _jobs: Job[] = []
  private _enqueuedCount = 0
  private _durableCount = 0
  private _lastEntryIndex = 0

  constructor (storage: ReplicaStorage, clock: Clock, metrics: Metrics, logger: Logger) {
    this._storage = storage
    this._clock = clock
    this._metrics = metrics
    this._logger = logger
  }

  /** Ticket that covers everything enqueued so far. */
  get latestTicket (): number {
    return this._enqueuedCount
  }

  /** Index of the last entry written; only meaningful for a leader, which never truncates its log. */
  get lastEntryIndex (): number {
    return this._lastEntryIndex
  }

  isDurable (ticket: number): boolean {
    return this._durableCount >= ticket
  }

  /** Queues records to be written in this order; returns their ticket. */
  enqueue (records: LogRecord[]): number {
    return this._enqueue({ kind: 'records', records })
  }

  enqueueCompaction (compaction: Compaction): number {
    return this._enqueue({ kind: 'compaction', compaction })
  }

  /** Waits until everything up to a ticket is synced. */
  async whenDurable (ticket: number, scope: Scope): Promise<void> {
    while (!this.isDurable(ticket)) await this.written.wait(scope)
  }

  /**
   * Writes until the scope closes.
   * @throws StorageError when the disk fails; the process must stop then.
   */
  async run (scope: Scope): Promise<void> {
    for (;;) {
      while (this._jobs.length === 0) await this._jobAdded.wait(scope)
      const job = this._jobs[0]
      if (job?.kind === 'compaction') await this._compact(job.compaction, scope)
      else await this._writeBatch(scope)
      this.written.notify()
    }
  }

  private _enqueue (job: Job): number {
    this._jobs.push(job)
    this._enqueuedCount++
    this._jobAdded.notify()
    return this._enqueuedCount
  }

  private async _compact (compaction: Compaction, scope: Scope): Promise<void> {
    this._jobs.shift()
    const startedAtMs = this._clock.nowMs()
    await this._retryWhileDiskFull(scope, () => this._storage.compact(compaction))
    this._metrics.timing(MetricName.SnapshotWriteMs, this._clock.nowMs() - startedAtMs)
    this._durableCount++
  }

  private async _writeBatch (scope: Scope): Promise<void> {
    const { records, jobsCount } = this._dequeueBatch()
    const startedAtMs = this._clock.nowMs()
    await this._retryWhileDiskFull(scope, () => this._storage.append(records))
    this._metrics.timing(MetricName.LogSyncMs, this._clock.nowMs() - startedAtMs)
    this._durableCount += jobsCount
    const lastEntry = records.findLast(record => record.kind === 'entry')
    if (lastEntry?.kind === 'entry') this._lastEntryIndex = lastEntry.entry.index
  }

  /** Retries a write while the disk is full. Until it succeeds, its ticket is not durable, so no reply that relies on it is sent. */
  private async _retryWhileDiskFull (scope: Scope, write: () => Promise<void>): Promise<void> {
    await retryWhileDiskFull(this._clock, this._logger, scope, write)
  }

  private _dequeueBatch (): { records: LogRecord[], jobsCount: number } {
    const records: LogRecord[] = []
    let bytes = 0
    let jobsCount = 0
    for (const job of this._jobs) {
      if (job.kind !== 'records' || bytes >= MAX_BATCH_BYTES) break
      for (const record of job.records) {
        records.push(record)
        bytes += record.kind === 'entry' ? entryBytes(record.entry) : 0
      }
      jobsCount++
    }
    this._jobs.splice(0, jobsCount)
    return { records, jobsCount }
  }
}
