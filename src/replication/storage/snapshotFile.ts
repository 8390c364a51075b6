/**
 * A snapshot: the replicated state after an entry, with the members at that
 * point. Frames of a length, a checksum and CBOR, the same on disk and on the
 * wire: a head, the pieces of the state one by one, and an end that counts
 * them. Writing and reading hold one piece at a time, whatever the size of the
 * state: a state encoded as one value took two and a half times its own size
 * again for as long as the writing lasted, at every replica at once.
 */
import { Decoder, Encoder } from 'cbor-x'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { z } from 'zod'
import { memberSchema } from '../log/members.js'
import type { SnapshotPieces } from '../replicatedState.js'
import { invariant } from '../../utils/errors.js'
import { CHECKSUM_BYTES, checksumMatches, writeChecksum } from './checksum.js'
import { TEMPORARY_SUFFIX, type Disk, type DiskFile } from './disk.js'

const headerSchema = z.object({
  lastIndex: z.int(),
  lastTerm: z.int(),
  /** Wall clock of the entry at lastIndex, which later entries do not go behind. */
  lastAtMs: z.number(),
  members: z.array(memberSchema)
})
export type SnapshotHeader = z.infer<typeof headerSchema>

/** A snapshot as it was read: the pieces go to the state. */
export interface Snapshot extends SnapshotHeader {
  pieces: unknown[]
  /** Length of its file. */
  lengthBytes: number
}

const footerSchema = z.object({ piecesCount: z.int() })

const LENGTH_BYTES = 4
const PREFIX_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
/** No frame is larger; a length beyond it is damage. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024

const encoder = new Encoder({ useRecords: false })
const decoder = new Decoder({ useRecords: false })

/** The body is a view into the encoder's buffer: what is copied here is garbage that lasts until the next collection. */
function encodeFrame (value: unknown): { prefix: Buffer, body: Buffer } {
  const body = encoder.encode(value)
  invariant(body.length <= MAX_FRAME_BYTES, `a piece of a snapshot takes ${body.length} bytes`)
  const prefix = Buffer.alloc(PREFIX_BYTES)
  prefix.writeUInt32BE(body.length, 0)
  writeChecksum(prefix, LENGTH_BYTES, body)
  return { prefix, body }
}

/** A snapshot that lies on the disk whole. */
export interface WrittenSnapshot {
  lastIndex: number
  lastTerm: number
  /** Length of its file. */
  lengthBytes: number
}

/**
 * Writes a snapshot so that its file is either whole or absent, also after a
 * loss of power; other tasks get their turn after every write.
 */
export async function writeSnapshotFile (disk: Disk, name: string, header: SnapshotHeader, pieces: SnapshotPieces): Promise<WrittenSnapshot> {
  const temporaryName = `${name}${TEMPORARY_SUFFIX}`
  await disk.remove(temporaryName)
  const lengthBytes = await writeTemporary(disk, temporaryName, header, pieces)
  await disk.rename(temporaryName, name)
  await disk.syncFolder()
  return { lastIndex: header.lastIndex, lastTerm: header.lastTerm, lengthBytes }
}

/** What a full disk has refused is taken away again, so that the log has the room. */
async function writeTemporary (disk: Disk, name: string, header: SnapshotHeader, pieces: SnapshotPieces): Promise<number> {
  const file = await disk.open(name)
  try {
    const lengthBytes = await writeFrames(file, header, pieces)
    await file.sync()
    await file.close()
    return lengthBytes
  } catch (error) {
    await file.close()
    await disk.remove(name)
    throw error
  }
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
 * @param mapPiece what is kept of a piece that was read
 */
export async function readSnapshotFile (disk: Disk, name: string, mapPiece = (piece: unknown): unknown => piece): Promise<SnapshotOutcome> {
  const values: unknown[] = []
  let positionBytes = 0
  for (;;) {
    const frame = await readFrame(disk, name, positionBytes)
    if (frame.kind === 'ended' && positionBytes === 0) return { kind: 'absent' }
    if (frame.kind === 'ended') break
    if (frame.kind === 'damaged') return frame
    // The head is the first value.
    values.push(positionBytes === 0 ? frame.value : mapPiece(frame.value))
    positionBytes = frame.endBytes
    await nextTurn()
  }
  return snapshotOf(values, positionBytes)
}

function snapshotOf (values: unknown[], lengthBytes: number): SnapshotOutcome {
  const header = headerSchema.safeParse(values[0])
  const footer = footerSchema.safeParse(values.at(-1))
  if (!header.success || values.length < 2) return { kind: 'damaged', reason: 'its head is malformed' }
  const pieces = values.slice(1, -1)
  if (!footer.success || footer.data.piecesCount !== pieces.length) return { kind: 'damaged', reason: 'its end is missing' }
  return { kind: 'read', snapshot: { ...header.data, pieces, lengthBytes } }
}

type FrameOutcome = { kind: 'read', value: unknown, endBytes: number } | { kind: 'ended' } | { kind: 'damaged', reason: string }

async function readFrame (disk: Disk, name: string, positionBytes: number): Promise<FrameOutcome> {
  const prefix = await disk.readRange(name, positionBytes, PREFIX_BYTES)
  if (!prefix || prefix.length === 0) return { kind: 'ended' }
  const truncated: FrameOutcome = { kind: 'damaged', reason: `the frame at byte ${positionBytes} is cut short` }
  if (prefix.length < PREFIX_BYTES) return truncated
  const prefixBuffer = Buffer.from(prefix.buffer, prefix.byteOffset, prefix.byteLength)
  const lengthBytes = prefixBuffer.readUInt32BE(0)
  if (lengthBytes > MAX_FRAME_BYTES) return { kind: 'damaged', reason: `the frame at byte ${positionBytes} has an impossible length` }
  const body = await disk.readRange(name, positionBytes + PREFIX_BYTES, lengthBytes)
  if (!body || body.length < lengthBytes) return truncated
  if (!checksumMatches(prefixBuffer, LENGTH_BYTES, body)) return { kind: 'damaged', reason: `its checksum does not match at byte ${positionBytes}` }
  // Byte arrays of the value are views into the frame, which belongs to them.
  const value: unknown = decoder.decode(new Uint8Array(body.buffer, body.byteOffset, body.byteLength))
  return { kind: 'read', value, endBytes: positionBytes + PREFIX_BYTES + lengthBytes }
}
