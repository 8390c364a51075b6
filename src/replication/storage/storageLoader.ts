/**
 * Loads the files of a replica and detects damage. Damage to data that was
 * synced is never repaired by guessing, because the replica could lose votes or
 * entries that others rely on.
 */
import type { HardState, LogEntry } from '../log/logEntry.js'
import type { Disk } from './disk.js'
import { readLogFile } from './logFile.js'
import type { LogRecord } from './logRecords.js'
import { decodeIdentity, type ReplicaIdentity } from './replicaIdentity.js'
import { readSnapshotFile, type Snapshot } from './snapshotFile.js'

export const IDENTITY_FILE = 'replica'

const logNamePattern = /^log-(\d+)$/
const snapshotNamePattern = /^snapshot-\d+$/

export function logName (sequence: number): string {
  return `log-${String(sequence).padStart(10, '0')}`
}

export function snapshotName (lastIndex: number): string {
  return `snapshot-${String(lastIndex).padStart(16, '0')}`
}

/** Everything that a replica restores after a restart. */
export interface LoadedReplica {
  identity: ReplicaIdentity
  hardState: HardState
  snapshot: Snapshot | undefined
  /** Length of the snapshot file. */
  snapshotLengthBytes: number
  /** Consecutive; the first index is at most one after the snapshot's last. */
  entries: LogEntry[]
  logSequence: number
  logBytes: number
  /** Bytes of an incomplete write at the end of the log, to be truncated. */
  tornBytes: number
}

export type LoadOutcome =
  | { kind: 'loaded', replica: LoadedReplica }
  | { kind: 'empty' }
  | { kind: 'damaged', reason: string }

export async function loadReplica (disk: Disk): Promise<LoadOutcome> {
  const names = await disk.list()
  const identityBytes = await disk.read(IDENTITY_FILE)
  if (!identityBytes) {
    const isEmpty = !names.some(name => logNamePattern.test(name) || snapshotNamePattern.test(name))
    return isEmpty ? { kind: 'empty' } : { kind: 'damaged', reason: 'there are log or snapshot files, but no identity file' }
  }
  const identity = decodeIdentity(identityBytes)
  if (!identity) return { kind: 'damaged', reason: `${IDENTITY_FILE}: its checksum does not match` }
  const logSequence = latestLogSequence(names)
  if (logSequence === undefined) return { kind: 'damaged', reason: 'there is an identity file, but no log file' }
  return await loadLog(disk, identity, logSequence)
}

export function latestLogSequence (names: string[]): number | undefined {
  const sequences = names.map(name => logNamePattern.exec(name)?.[1]).filter(digits => digits !== undefined).map(Number)
  return sequences.length > 0 ? Math.max(...sequences) : undefined
}

async function loadLog (disk: Disk, identity: ReplicaIdentity, logSequence: number): Promise<LoadOutcome> {
  const name = logName(logSequence)
  const read = await readLogFile(disk, name)
  if (read.kind === 'damaged') return { kind: 'damaged', reason: `${name}: ${read.reason}` }
  const replayed = replay(read.records)
  if (replayed.kind === 'damaged') return { kind: 'damaged', reason: `${name}: ${replayed.reason}` }
  const base = await loadBaseSnapshot(disk, replayed.snapshotIndex)
  if (base.kind === 'damaged') return base
  const { hardState, entries } = replayed
  const replica = { identity, hardState, entries, snapshot: base.snapshot, snapshotLengthBytes: base.snapshot?.lengthBytes ?? 0, logSequence, logBytes: read.validBytes, tornBytes: read.tornBytes }
  return { kind: 'loaded', replica }
}

type BaseOutcome = { kind: 'read', snapshot: Snapshot | undefined } | { kind: 'damaged', reason: string }

async function loadBaseSnapshot (disk: Disk, snapshotIndex: number): Promise<BaseOutcome> {
  if (snapshotIndex === 0) return { kind: 'read', snapshot: undefined }
  const name = snapshotName(snapshotIndex)
  const read = await readSnapshotFile(disk, name)
  switch (read.kind) {
    case 'read':
      return read
    case 'absent':
      return { kind: 'damaged', reason: `${name} is missing` }
    case 'damaged':
      return { kind: 'damaged', reason: `${name}: ${read.reason}` }
  }
}

type ReplayOutcome =
  | { kind: 'replayed', snapshotIndex: number, hardState: HardState, entries: LogEntry[] }
  | { kind: 'damaged', reason: string }

/** Replays the records of a file in order; an entry replaces those from its index on. */
function replay (records: LogRecord[]): ReplayOutcome {
  const base = records[0]
  if (base?.kind !== 'base') return { kind: 'damaged', reason: 'its first record is unreadable' }
  const hardState = records.findLast(record => record.kind === 'hardState')?.hardState ?? { term: 0, votedFor: null }
  const { entries, outOfOrder } = replayEntries(records)
  if (outOfOrder) return { kind: 'damaged', reason: `entry ${outOfOrder.index} does not follow the previous one` }
  const firstIndex = entries[0]?.index ?? base.snapshotIndex + 1
  if (firstIndex > base.snapshotIndex + 1) return { kind: 'damaged', reason: `entries ${base.snapshotIndex + 1} to ${firstIndex - 1} are missing` }
  return { kind: 'replayed', snapshotIndex: base.snapshotIndex, hardState, entries }
}

function replayEntries (records: LogRecord[]): { entries: LogEntry[], outOfOrder?: LogEntry } {
  const entries: LogEntry[] = []
  for (const record of records) {
    if (record.kind !== 'entry') continue
    const firstIndex = entries[0]?.index ?? record.entry.index
    const position = record.entry.index - firstIndex
    if (position < 0 || position > entries.length) return { entries, outOfOrder: record.entry }
    entries.length = position
    entries.push(record.entry)
  }
  return { entries }
}
