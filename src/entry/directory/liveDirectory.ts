/**
 * The endpoints known to this host, by pool: a view of the record store that
 * follows its changes.
 */
import type { Announcement, LoadReport } from '../../protocol/endpoints.js'
import { eventStream } from '../../utils/eventStream.js'
import type { Logger } from '../../utils/logger.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import { EntryEvent } from '../entryEvents.js'
import type { DirectoryChange, EndpointDirectory, EndpointRecord } from './endpointRecord.js'
import { RecordKind, type FullRecord } from './gossipRecord.js'
import type { RecordChange, RecordStore, StoredRecord } from './recordStore.js'

export class LiveDirectory implements EndpointDirectory {
  private readonly _metrics: Metrics
  private readonly _logger: Logger
  private readonly _byId = new Map<string, EndpointRecord>()
  private readonly _byPool = new Map<string, Map<string, EndpointRecord>>()
  private readonly _changes = eventStream<DirectoryChange>()
  readonly changes = this._changes.stream

  constructor (store: RecordStore, metrics: Metrics, logger: Logger) {
    this._metrics = metrics
    this._logger = logger
    store.changes.observe(change => this._onChange(change)).catch(() => {})
  }

  available (pool: string): EndpointRecord[] {
    const records = this._byPool.get(pool)
    return records ? [...records.values()].filter(({ announcement }) => !announcement.leaving) : []
  }

  get (endpointId: string): EndpointRecord | undefined {
    return this._byId.get(endpointId)
  }

  /** Returns every endpoint that holds a lease, including those that are leaving. */
  all (): EndpointRecord[] {
    return [...this._byId.values()]
  }

  private _onChange (change: RecordChange): void {
    switch (change.kind) {
      case 'content':
      case 'load':
        return this._put(change.stored)
      case 'removed':
        return this._remove(change.record)
    }
  }

  private _put (stored: StoredRecord): void {
    if (stored.record.kind !== RecordKind.Endpoint) return
    const record = toEndpointRecord(stored, stored.record)
    const { endpointId, pool } = record.announcement
    const before = this._byId.get(endpointId)
    if (before && before.announcement.pool !== pool) this._byPool.get(before.announcement.pool)?.delete(endpointId)
    this._byId.set(endpointId, record)
    this._poolMap(pool).set(endpointId, record)
    this._logTransition(before, record)
    this._changes.emit({ kind: 'put', record })
  }

  private _remove (record: FullRecord): void {
    const before = record.kind === RecordKind.Endpoint ? this._byId.get(record.id) : undefined
    if (!before) return
    const { pool } = before.announcement
    this._byId.delete(record.id)
    this._byPool.get(pool)?.delete(record.id)
    this._metrics.gauge(MetricName.EndpointsKnown, this._byId.size)
    if (!before.announcement.leaving) this._logger.event(EntryEvent.EndpointLeft, { endpointId: record.id, pool })
    this._changes.emit({ kind: 'removed', endpointId: record.id, pool })
  }

  private _logTransition (before: EndpointRecord | undefined, record: EndpointRecord): void {
    const { endpointId, pool, leaving, incarnation } = record.announcement
    if (before?.announcement.incarnation !== incarnation) {
      this._metrics.gauge(MetricName.EndpointsKnown, this._byId.size)
      this._logger.event(EntryEvent.EndpointJoined, { endpointId, pool, incarnation })
    }
    if (leaving && !before?.announcement.leaving) this._logger.event(EntryEvent.EndpointLeaving, { endpointId, pool })
  }

  private _poolMap (pool: string): Map<string, EndpointRecord> {
    let records = this._byPool.get(pool)
    if (!records) {
      records = new Map()
      this._byPool.set(pool, records)
    }
    return records
  }
}

/** Returns the numbers of a load report in the order that records use. */
export function loadNumbers ({ runningCount, waitingCount, kvUsedPercent, tokensPerSecond }: LoadReport): number[] {
  return [runningCount, waitingCount, Math.round(kvUsedPercent), Math.round(tokensPerSecond)]
}

function loadReport ([runningCount = 0, waitingCount = 0, kvUsedPercent = 0, tokensPerSecond = 0]: number[], ageMs: number): LoadReport {
  return { runningCount, waitingCount, kvUsedPercent, tokensPerSecond, ageMs }
}

function toEndpointRecord ({ loadAtMs, leaseEndsAtMs }: StoredRecord, record: Extract<FullRecord, { kind: RecordKind.Endpoint }>): EndpointRecord {
  const announcement: Announcement = {
    ...record.content,
    sequence: record.sequence,
    leaving: record.content.leaving || record.drained,
    load: loadReport(record.load, record.loadAgeMs)
  }
  return { announcement, loadAtMs, leaseEndsAtMs }
}
