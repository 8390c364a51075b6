/**
 * A snapshot: the replicated state after an entry, with the members at that
 * point. One buffer of a checksum and CBOR, the same on disk and on the wire.
 */
import { Decoder, Encoder } from 'cbor-x'
import { z } from 'zod'
import { memberSchema, type Member } from '../log/members.js'
import { CHECKSUM_BYTES, checksumMatches, writeChecksum } from './checksum.js'

export interface Snapshot {
  lastIndex: number
  lastTerm: number
  /** Wall clock of the entry at lastIndex, which later entries do not go behind. */
  lastAtMs: number
  members: Member[]
  state: unknown
}

const headSchema = z.object({
  lastIndex: z.int(),
  lastTerm: z.int(),
  lastAtMs: z.number(),
  members: z.array(memberSchema),
  state: z.unknown()
})

const encoder = new Encoder({ useRecords: false })
const decoder = new Decoder({ useRecords: false, copyBuffers: true })

export function encodeSnapshot (snapshot: Snapshot): Buffer {
  const body = encoder.encode(snapshot)
  const bytes = Buffer.allocUnsafe(CHECKSUM_BYTES + body.length)
  body.copy(bytes, CHECKSUM_BYTES)
  writeChecksum(bytes, 0, body)
  return bytes
}

/** Undefined when the bytes are damaged. */
export function decodeSnapshot (bytes: Uint8Array): Snapshot | undefined {
  if (bytes.length <= CHECKSUM_BYTES) return undefined
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const body = buffer.subarray(CHECKSUM_BYTES)
  if (!checksumMatches(buffer, 0, body)) return undefined
  const parsed = headSchema.safeParse(decoder.decode(body))
  return parsed.success ? { ...parsed.data, state: parsed.data.state } : undefined
}
