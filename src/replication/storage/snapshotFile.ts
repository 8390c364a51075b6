/**
 * Snapshot files: the replicated state after an entry, with the members at that
 * point. A file is a sequence of frames, each a length, a checksum and a CBOR
 * value, in the same format on disk and on the wire: a header, the pieces of
 * the state, and a footer with the number of pieces. Writing and reading hold one piece
 * in memory at a time, whatever the size of the state. Encoding the state as a
 * single value took memory of another two and a half times its size during the write, on
 * all replicas at the same time.
 */
import { Decoder, Encoder } from 'cbor-x'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { z } from 'zod'
import { memberSchema } from '../log/members.js'
import type { SnapshotPieces } from '../replicatedState.js'
import { invariant } from '../../utils/errors.js'
import { CHECKSUM_BYTES, checksumMatches, writeChecksum } from './checksum.js'
import { writeAtomically, type Disk, type DiskFile } from './disk.js'

const headerSchema = z.object({
  lastIndex: z.int(),
  lastTerm: z.int(),
  /** Leader's wall clock of the entry at lastIndex; later entries have no earlier time. */
  lastAtMs: z.number(),
  members: z.array(memberSchema)
})
export type SnapshotHeader = z.infer<typeof headerSchema>

/** A snapshot that was read from disk; its pieces are passed to the state. */
export interface Snapshot extends SnapshotHeader {
  pieces: unknown[]
  /** Length of the snapshot's file. */
  lengthBytes: number
}

const footerSchema = z.object({ piecesCount: z.int() })

const LENGTH_BYTES = 4
const PREFIX_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
/** Maximum frame size; a larger length means that the file is damaged. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024

const encoder = new Encoder({ useRecords: false })
const decoder = new Decoder({ useRecords: false })

/** Returns prefix and body separately: the body is a view into the encoder's buffer, and a copy would only be garbage until the next collection. */
function encodeFrame (value: unknown): { prefix: Buffer, body: Buffer } {
  const body = encoder.encode(value)
  invariant(body.length <= MAX_FRAME_BYTES, `a piece of the snapshot takes ${body.length} bytes; the limit is ${MAX_FRAME_BYTES}`)
  const prefix = Buffer.alloc(PREFIX_BYTES)
  prefix.writeUInt32BE(body.length, 0)
  writeChecksum(prefix, LENGTH_BYTES, body)
  return { prefix, body }
}

/** A snapshot that is completely on disk. */
export interface WrittenSnapshot {
  lastIndex: number
  lastTerm: number
  /** Length of the snapshot's file. */
  lengthBytes: number
}

/** Writes a snapshot. Yields to the event loop after every piece. */
export async function writeSnapshotFile (disk: Disk, name: string, header: SnapshotHeader, pieces: SnapshotPieces): Promise<WrittenSnapshot> {
  const lengthBytes = await writeAtomically(disk, name, file => writeFrames(file, header, pieces))
  return { lastIndex: header.lastIndex, lastTerm: header.lastTerm, lengthBytes }
}

async function writeFrames (file: DiskFile, header: SnapshotHeader, pieces: SnapshotPieces): Promise<number> {
  let lengthBytes = 0
  for (const value of framedValues(header, pieces)) {
    const { prefix, body } = encodeFrame(value)
    await file.append(prefix)
    await file.append(body)
    lengthBytes += prefix.length + body.length
    await nextTurn()
  }
  return lengthBytes
}

function * framedValues (header: SnapshotHeader, pieces: SnapshotPieces): Iterable<unknown> {
  yield header
  let piecesCount = 0
  for (const piece of pieces) {
    piecesCount++
    yield piece
  }
  yield { piecesCount }
}

export type SnapshotOutcome = { kind: 'read', snapshot: Snapshot } | { kind: 'absent' } | { kind: 'damaged', reason: string }

/**
 * Reads a snapshot file frame by frame.
 * @param mapPiece maps each piece that was read to the value that is kept
 */
export async function readSnapshotFile (disk: Disk, name: string, mapPiece = (piece: unknown): unknown => piece): Promise<SnapshotOutcome> {
  const values: unknown[] = []
  let positionBytes = 0
  for (;;) {
    const frame = await readFrame(disk, name, positionBytes)
    if (frame.kind === 'ended' && positionBytes === 0) return { kind: 'absent' }
    if (frame.kind === 'ended') break
    if (frame.kind === 'damaged') return frame
    // The first value is the header.
    values.push(positionBytes === 0 ? frame.value : mapPiece(frame.value))
    positionBytes = frame.endBytes
    await nextTurn()
  }
  return snapshotOf(values, positionBytes)
}

function snapshotOf (values: unknown[], lengthBytes: number): SnapshotOutcome {
  const header = headerSchema.safeParse(values[0])
  const footer = footerSchema.safeParse(values.at(-1))
  if (!header.success || values.length < 2) return { kind: 'damaged', reason: 'its header is malformed' }
  const pieces = values.slice(1, -1)
  if (!footer.success || footer.data.piecesCount !== pieces.length) return { kind: 'damaged', reason: 'its footer is missing or has a wrong count of pieces' }
  return { kind: 'read', snapshot: { ...header.data, pieces, lengthBytes } }
}

type FrameOutcome = { kind: 'read', value: unknown, endBytes: number } | { kind: 'ended' } | { kind: 'damaged', reason: string }

async function readFrame (disk: Disk, name: string, positionBytes: number): Promise<FrameOutcome> {
  const prefix = await disk.readRange(name, positionBytes, PREFIX_BYTES)
  if (!prefix || prefix.length === 0) return { kind: 'ended' }
  const truncated: FrameOutcome = { kind: 'damaged', reason: `the frame at byte ${positionBytes} is truncated` }
  if (prefix.length < PREFIX_BYTES) return truncated
  const prefixBuffer = Buffer.from(prefix.buffer, prefix.byteOffset, prefix.byteLength)
  const lengthBytes = prefixBuffer.readUInt32BE(0)
  if (lengthBytes > MAX_FRAME_BYTES) return { kind: 'damaged', reason: `the frame at byte ${positionBytes} has an invalid length of ${lengthBytes} bytes` }
  const body = await disk.readRange(name, positionBytes + PREFIX_BYTES, lengthBytes)
  if (!body || body.length < lengthBytes) return truncated
  if (!checksumMatches(prefixBuffer, LENGTH_BYTES, body)) return { kind: 'damaged', reason: `its checksum does not match at byte ${positionBytes}` }
  // Byte arrays in the value are views into the frame's buffer, which nothing else uses.
  const value: unknown = decoder.decode(new Uint8Array(body.buffer, body.byteOffset, body.byteLength))
  return { kind: 'read', value, endBytes: positionBytes + PREFIX_BYTES + lengthBytes }
}
