/**
 * Log files as a whole. Writing and reading hold one piece of a file in memory
 * at a time, however long the file is: the entries that follow a snapshot can
 * make up tens of megabytes on a busy host, and all replicas replace their log
 * at about the same entry.
 */
import type { Disk, DiskFile } from './disk.js'
import { decodeHeader, decodeRecord, encodeHeader, encodeRecord, HEADER_BYTES, MAX_BATCH_START_BYTES, PREFIX_BYTES, recordLengthAt, type LogRecord } from './logRecords.js'

/** Size of a write or read; a single larger record is written or read as a whole. */
const PIECE_BYTES = 256 * 1024

/** Encodes records in order, joined to pieces. */
function * encodePieces (records: Iterable<LogRecord>): Iterable<Buffer> {
  let pending: Buffer[] = []
  let pendingBytes = 0
  for (const record of records) {
    const bytes = encodeRecord(record)
    pending.push(bytes)
    pendingBytes += bytes.length
    if (pendingBytes < PIECE_BYTES) continue
    yield Buffer.concat(pending)
    pending = []
    pendingBytes = 0
  }
  if (pendingBytes > 0) yield Buffer.concat(pending)
}

/** Writes records from a position on; returns the position after them. */
export async function writeRecords (file: DiskFile, positionBytes: number, records: Iterable<LogRecord>): Promise<number> {
  let endBytes = positionBytes
  for (const piece of encodePieces(records)) {
    await file.writeAt(endBytes, piece)
    endBytes += piece.length
  }
  return endBytes
}

/**
 * Writes a complete log file, to be synced by the caller; returns its length.
 * The header states that length, so that any loss of synced bytes is noticed.
 */
export async function writeLogFile (file: DiskFile, records: Iterable<LogRecord>): Promise<number> {
  await file.writeAt(0, encodeHeader(HEADER_BYTES))
  const lengthBytes = await writeRecords(file, HEADER_BYTES, records)
  await file.writeAt(0, encodeHeader(lengthBytes))
  return lengthBytes
}

export type ReadOutcome =
  | { kind: 'read', records: LogRecord[], validBytes: number, tornBytes: number }
  | { kind: 'damaged', reason: string }

/** Reads the records of a log file. */
export async function readLogFile (disk: Disk, name: string): Promise<ReadOutcome> {
  const file = new LogReader(disk, name, await disk.lengthOf(name) ?? 0)
  const markedBytes = decodeHeader(await file.bytes(0, HEADER_BYTES))
  if (markedBytes === undefined) return { kind: 'damaged', reason: 'its header is missing or malformed' }
  const { records, endBytes } = await readRecords(file)
  const syncedBytes = Math.max(markedBytes, await latestBatchStart(file, endBytes))
  if (syncedBytes > endBytes) {
    return { kind: 'damaged', reason: `byte ${endBytes} is unreadable, but ${syncedBytes} bytes had been synced` }
  }
  return { kind: 'read', records, validBytes: endBytes, tornBytes: file.lengthBytes - endBytes }
}

/** Reads a file piece by piece. */
class LogReader {
  readonly lengthBytes: number
  private readonly _disk: Disk
  private readonly _name: string
  private _piece: Buffer = Buffer.alloc(0)
  private _pieceStartBytes = 0

  constructor (disk: Disk, name: string, lengthBytes: number) {
    this._disk = disk
    this._name = name
    this.lengthBytes = lengthBytes
  }

  /** Bytes from a position on, fewer at the end of the file; a view that must not be kept. */
  async bytes (positionBytes: number, lengthBytes: number): Promise<Buffer> {
    const endBytes = Math.min(positionBytes + lengthBytes, this.lengthBytes)
    const isHeld = positionBytes >= this._pieceStartBytes && endBytes <= this._pieceStartBytes + this._piece.length
    if (!isHeld) await this._read(positionBytes, Math.max(PIECE_BYTES, endBytes - positionBytes))
    return this._piece.subarray(positionBytes - this._pieceStartBytes, endBytes - this._pieceStartBytes)
  }

  private async _read (positionBytes: number, lengthBytes: number): Promise<void> {
    const read = await this._disk.readRange(this._name, positionBytes, lengthBytes) ?? new Uint8Array()
    this._piece = Buffer.from(read.buffer, read.byteOffset, read.byteLength)
    this._pieceStartBytes = positionBytes
  }
}

/** Reads records up to the first unreadable position. */
async function readRecords (file: LogReader): Promise<{ records: LogRecord[], endBytes: number }> {
  const records: LogRecord[] = []
  let endBytes = HEADER_BYTES
  for (;;) {
    const prefix = await file.bytes(endBytes, PREFIX_BYTES)
    const lengthBytes = prefix.length < PREFIX_BYTES ? 0 : recordLengthAt(prefix, 0)
    if (lengthBytes === 0 || endBytes + lengthBytes > file.lengthBytes) return { records, endBytes }
    const record = decodeRecord(await file.bytes(endBytes, lengthBytes))
    if (!record) return { records, endBytes }
    records.push(record)
    endBytes += lengthBytes
  }
}

/** Highest synced position that any readable batch start after an unreadable position states. */
async function latestBatchStart (file: LogReader, fromBytes: number): Promise<number> {
  let syncedBytes = 0
  for (let positionBytes = fromBytes + 1; positionBytes < file.lengthBytes; positionBytes += PIECE_BYTES) {
    // Longer than a piece, for a batch start that begins in this piece and ends in the next one.
    const bytes = await file.bytes(positionBytes, PIECE_BYTES + MAX_BATCH_START_BYTES)
    for (const record of batchStarts(bytes)) syncedBytes = Math.max(syncedBytes, record.syncedBytes)
  }
  return syncedBytes
}

/** Readable batch starts at any position. */
function * batchStarts (bytes: Buffer): Iterable<LogRecord & { kind: 'batchStart' }> {
  for (let positionBytes = 0; positionBytes + PREFIX_BYTES < bytes.length; positionBytes++) {
    const lengthBytes = recordLengthAt(bytes, positionBytes)
    if (lengthBytes === 0 || lengthBytes > MAX_BATCH_START_BYTES || positionBytes + lengthBytes > bytes.length) continue
    const record = decodeRecord(bytes.subarray(positionBytes, positionBytes + lengthBytes))
    if (record?.kind === 'batchStart') yield record
  }
}
