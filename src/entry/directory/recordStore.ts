/**
 * Versioned records with leases. The newer version wins, whatever the order of
 * arrival. An expired record leaves a tombstone with its version for a while,
 * so that a delayed copy does not restore it.
 */
import type { Clock } from '../../utils/clock.js'
import { eventStream } from '../../utils/eventStream.js'
import { unreachable } from '../../utils/errors.js'
import { RecordKind, type FullRecord, type LoadRecord, type RecordKey, type VersionEntry } from './gossipRecord.js'
import { hash32 } from './rendezvous.js'

export const BUCKETS_COUNT = 64
const TOMBSTONE_RETENTION_MS = 120_000

export interface StoredRecord {
  readonly record: FullRecord
  readonly loadAtMs: number
  readonly leaseEndsAtMs: number
}

export type RecordChange =
  | { kind: 'content', stored: StoredRecord }
  | { kind: 'load', stored: StoredRecord }
  | { kind: 'removed', record: FullRecord }

interface Tombstone {
  incarnation: number
  sequence: number
  forgetAtMs: number
}

/** What a received record changed. */
export type PutOutcome = 'content' | 'load' | 'stale'
export type LoadOutcome = 'load' | 'stale' | 'contentMissing'

export class RecordStore {
  private readonly _clock: Clock
  private readonly _records = new Map<string, StoredRecord>()
  private readonly _tombstones = new Map<string, Tombstone>()
  private readonly _changes = eventStream<RecordChange>()
  readonly changes = this._changes.stream

  constructor (clock: Clock) {
    this._clock = clock
  }

  get (kind: RecordKind, id: string): StoredRecord | undefined {
    return this._records.get(keyOf(kind, id))
  }

  all (): StoredRecord[] {
    return [...this._records.values()]
  }

  put (record: FullRecord): PutOutcome {
    const key = keyOf(record.kind, record.id)
    const before = this._records.get(key)
    if (!isNewer(record, before?.record ?? this._tombstones.get(key))) return this._applyDrain(key, before, record)
    const nowMs = this._clock.nowMs()
    if (record.leaseRemainingMs <= 0) return 'stale'
    const kept = preserveDrained(record, before?.record)
    const stored = { record: kept, loadAtMs: nowMs - record.loadAgeMs, leaseEndsAtMs: nowMs + record.leaseRemainingMs }
    this._records.set(key, stored)
    this._tombstones.delete(key)
    const sameContent = before?.record.incarnation === record.incarnation &&
      before.record.contentSequence === record.contentSequence && isDrained(before.record) === isDrained(kept)
    const kind = sameContent ? 'load' : 'content'
    this._changes.emit({ kind, stored })
    return kind
  }

  /** Applies the drained flag even of an older record: an operator may have drained the endpoint through another host. */
  private _applyDrain (key: string, before: StoredRecord | undefined, record: FullRecord): PutOutcome {
    const isFirstDrain = before?.record.kind === RecordKind.Endpoint && isDrained(record) &&
      before.record.incarnation === record.incarnation && !before.record.drained
    if (!isFirstDrain) return 'stale'
    const stored = { ...before, record: { ...before.record, drained: true } }
    this._records.set(key, stored as StoredRecord)
    this._changes.emit({ kind: 'content', stored: stored as StoredRecord })
    return 'content'
  }

  /** Updates the load and the lease of a record if its content is already stored. */
  putLoad (entry: LoadRecord): LoadOutcome {
    const [kind, id, incarnation, sequence, contentSequence, leaseRemainingMs, loadAgeMs, load] = entry
    const key = keyOf(kind, id)
    const before = this._records.get(key)
    if (!isNewer({ incarnation, sequence }, before?.record ?? this._tombstones.get(key))) return 'stale'
    const known = before?.record.incarnation === incarnation && before.record.contentSequence === contentSequence
    if (!known) return 'contentMissing'
    const update = { sequence, leaseRemainingMs, loadAgeMs, load }
    this.put({ ...before.record, ...update })
    return 'load'
  }

  /** Removes expired records and tombstones. */
  expire (): void {
    const nowMs = this._clock.nowMs()
    for (const [key, { record, leaseEndsAtMs }] of this._records) {
      if (leaseEndsAtMs > nowMs) continue
      this._records.delete(key)
      this._tombstones.set(key, { incarnation: record.incarnation, sequence: record.sequence, forgetAtMs: nowMs + TOMBSTONE_RETENTION_MS })
      this._changes.emit({ kind: 'removed', record })
    }
    for (const [key, { forgetAtMs }] of this._tombstones) {
      if (forgetAtMs <= nowMs) this._tombstones.delete(key)
    }
  }

  /** Returns a record for sending, with its lease and load age as of now. */
  export (key: RecordKey): FullRecord | undefined {
    const stored = this.get(key[0], key[1])
    return stored && this.exportStored(stored)
  }

  exportStored ({ record, loadAtMs, leaseEndsAtMs }: StoredRecord): FullRecord {
    const nowMs = this._clock.nowMs()
    return { ...record, leaseRemainingMs: Math.round(leaseEndsAtMs - nowMs), loadAgeMs: Math.round(nowMs - loadAtMs) }
  }

  /** Returns one hash per bucket of records; hosts with the same content have the same hashes. */
  bucketHashes (): number[] {
    const hashes = new Array<number>(BUCKETS_COUNT).fill(0)
    for (const [key, { record }] of this._records) {
      const bucket = bucketOf(key)
      const contentHash = hash32(`${key}\n${record.incarnation}\n${record.contentSequence}\n${isDrained(record)}`)
      hashes[bucket] = ((hashes[bucket] ?? 0) ^ contentHash) >>> 0
    }
    return hashes
  }

  /** Returns the versions of the records in the given buckets. */
  versionsIn (buckets: number[]): VersionEntry[] {
    const wanted = new Set(buckets)
    const versions: VersionEntry[] = []
    for (const [key, { record }] of this._records) {
      if (wanted.has(bucketOf(key))) versions.push(versionOf(record))
    }
    return versions
  }

  /** Returns the versions of the records whose lease ends within `withinMs`. */
  versionsExpiringWithin (withinMs: number): VersionEntry[] {
    const untilMs = this._clock.nowMs() + withinMs
    return this.all().filter(({ leaseEndsAtMs }) => leaseEndsAtMs < untilMs).map(({ record }) => versionOf(record))
  }

  /** Whether a version is newer than the stored record, or has a drained flag that the stored record lacks. */
  isOutdatedBy ([kind, id, incarnation, sequence, drained]: VersionEntry): boolean {
    const key = keyOf(kind, id)
    const current = this._records.get(key)?.record
    if (current?.incarnation === incarnation && drained && !isDrained(current)) return true
    return isNewer({ incarnation, sequence }, current ?? this._tombstones.get(key))
  }
}

export function toLoadRecord (record: FullRecord): LoadRecord {
  return [record.kind, record.id, record.incarnation, record.sequence, record.contentSequence, record.leaseRemainingMs, record.loadAgeMs, record.load]
}

export function versionOf (record: FullRecord): VersionEntry {
  return [record.kind, record.id, record.incarnation, record.sequence, isDrained(record)]
}

export function keyOf (kind: RecordKind, id: string): string {
  switch (kind) {
    case RecordKind.Endpoint: return `e/${id}`
    case RecordKind.Host: return `h/${id}`
    default: return unreachable(kind)
  }
}

export function isDrained (record: FullRecord): boolean {
  return record.kind === RecordKind.Endpoint && record.drained
}

function preserveDrained (record: FullRecord, before: FullRecord | undefined): FullRecord {
  if (record.kind !== RecordKind.Endpoint || before?.incarnation !== record.incarnation || !isDrained(before)) return record
  return { ...record, drained: true }
}

function bucketOf (key: string): number {
  return hash32(key) % BUCKETS_COUNT
}

function isNewer (candidate: { incarnation: number, sequence: number }, current: { incarnation: number, sequence: number } | undefined): boolean {
  if (!current) return true
  if (candidate.incarnation !== current.incarnation) return candidate.incarnation > current.incarnation
  return candidate.sequence > current.sequence
}
