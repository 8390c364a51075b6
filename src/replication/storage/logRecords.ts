/**
 * Records of a log file: a length of four bytes, a checksum of the body, and
 * the body in CBOR. A file starts with a header that states up to which
 * position it is known to be synced, and every batch of records starts with a
 * record that states the same. This distinguishes a torn tail, which may be
 * truncated, from damage to data that was already synced, which may not.
 */
import { Decoder, Encoder } from 'cbor-x'
import type { EntryKind, HardState, LogEntry } from '../log/logEntry.js'
import { CHECKSUM_BYTES, checksumMatches, writeChecksum } from './checksum.js'

enum RecordType {
  Base = 0,
  HardState = 1,
  Entry = 2,
  BatchStart = 3
}

export type LogRecord =
  /** The first record of a file: the snapshot that the file builds on. */
  | { kind: 'base', snapshotIndex: number, snapshotTerm: number }
  | { kind: 'hardState', hardState: HardState }
  /** An entry replaces everything in the log from its index on. */
  | { kind: 'entry', entry: LogEntry }
  /** Everything before this position was synced when the batch was written. */
  | { kind: 'batchStart', syncedBytes: number }

const encoder = new Encoder({ useRecords: false })
const decoder = new Decoder({ useRecords: false })
const LENGTH_BYTES = 4
/** Length and checksum, which precede the body of a record. */
export const PREFIX_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
const MAGIC = Buffer.from('TDLOG001', 'latin1')
const SYNC_MARK_BYTES = 8
const SYNC_MARK_POSITION_BYTES = MAGIC.length
export const MAX_BATCH_START_BYTES = PREFIX_BYTES + 16

export const HEADER_BYTES = MAGIC.length + SYNC_MARK_BYTES + CHECKSUM_BYTES

export function encodeRecord (record: LogRecord): Buffer {
  const body = encoder.encode(toFields(record))
  const bytes = Buffer.allocUnsafe(PREFIX_BYTES + body.length)
  bytes.writeUInt32BE(body.length, 0)
  body.copy(bytes, PREFIX_BYTES)
  writeChecksum(bytes, LENGTH_BYTES, body)
  return bytes
}

function toFields (record: LogRecord): unknown[] {
  switch (record.kind) {
    case 'base':
      return [RecordType.Base, record.snapshotIndex, record.snapshotTerm]
    case 'hardState':
      return [RecordType.HardState, record.hardState.term, record.hardState.votedFor]
    case 'entry': {
      const { term, index, kind, atMs, payload } = record.entry
      return [RecordType.Entry, term, index, kind, atMs, payload]
    }
    case 'batchStart':
      return [RecordType.BatchStart, record.syncedBytes]
  }
}

function fromFields (fields: unknown): LogRecord | undefined {
  if (!Array.isArray(fields)) return undefined
  const [type, ...values] = fields as [RecordType, ...unknown[]]
  switch (type) {
    case RecordType.Base:
      return { kind: 'base', snapshotIndex: values[0] as number, snapshotTerm: values[1] as number }
    case RecordType.HardState:
      return { kind: 'hardState', hardState: { term: values[0] as number, votedFor: values[1] as string | null } }
    case RecordType.Entry:
      return { kind: 'entry', entry: entryFrom(values) }
    case RecordType.BatchStart:
      return { kind: 'batchStart', syncedBytes: values[0] as number }
    default:
      return undefined
  }
}

function entryFrom (values: unknown[]): LogEntry {
  const [term, index, kind, atMs, payload] = values as [number, number, EntryKind, number, Uint8Array]
  // Copied, so that an entry does not keep the part of the file that it was read with in memory.
  return { term, index, kind, atMs, payload: Uint8Array.from(payload) }
}

/** Encodes the header of a file that is synced up to a position. */
export function encodeHeader (syncedBytes: number): Buffer {
  return Buffer.concat([MAGIC, encodeSyncMark(syncedBytes).bytes])
}

/** Encodes the sync mark, the part of the header that is overwritten after each sync, and its position. */
export function encodeSyncMark (syncedBytes: number): { positionBytes: number, bytes: Buffer } {
  const bytes = Buffer.alloc(SYNC_MARK_BYTES + CHECKSUM_BYTES)
  bytes.writeBigUInt64BE(BigInt(syncedBytes), 0)
  writeChecksum(bytes, SYNC_MARK_BYTES, bytes.subarray(0, SYNC_MARK_BYTES))
  return { positionBytes: SYNC_MARK_POSITION_BYTES, bytes }
}

/** The position that the sync mark of a header states; 0 if the mark itself is torn, undefined if the header is missing or malformed. */
export function decodeHeader (header: Buffer): number | undefined {
  if (header.length < HEADER_BYTES || !header.subarray(0, MAGIC.length).equals(MAGIC)) return undefined
  const mark = header.subarray(SYNC_MARK_POSITION_BYTES, SYNC_MARK_POSITION_BYTES + SYNC_MARK_BYTES)
  const matches = checksumMatches(header, SYNC_MARK_POSITION_BYTES + SYNC_MARK_BYTES, mark)
  return matches ? Number(mark.readBigUInt64BE(0)) : 0
}

/** Length of the record at a position, as its prefix states it; 0 if there is none. */
export function recordLengthAt (bytes: Buffer, positionBytes: number): number {
  const bodyBytes = bytes.readUInt32BE(positionBytes)
  return bodyBytes === 0 ? 0 : PREFIX_BYTES + bodyBytes
}

/** Decodes a record of a known length; undefined if it is damaged. */
export function decodeRecord (bytes: Buffer): LogRecord | undefined {
  const body = bytes.subarray(PREFIX_BYTES)
  if (!checksumMatches(bytes, LENGTH_BYTES, body)) return undefined
  return fromFields(decoder.decode(body))
}
