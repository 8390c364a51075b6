/**
 * The identity of a replica: a random id that is created with the data folder
 * and lost with it, and the cluster that the replica belongs to.
 */
import { Decoder, Encoder } from 'cbor-x'
import { z } from 'zod'
import { CHECKSUM_BYTES, checksumMatches, writeChecksum } from './checksum.js'

export const replicaIdentitySchema = z.object({
  replicaId: z.string(),
  hostId: z.string(),
  /** Null until the replica has joined or formed a cluster. */
  clusterId: z.string().nullable()
})
export type ReplicaIdentity = z.infer<typeof replicaIdentitySchema>

const encoder = new Encoder({ useRecords: false })
const decoder = new Decoder({ useRecords: false })

export function encodeIdentity (identity: ReplicaIdentity): Buffer {
  const body = encoder.encode(identity)
  const bytes = Buffer.allocUnsafe(CHECKSUM_BYTES + body.length)
  body.copy(bytes, CHECKSUM_BYTES)
  writeChecksum(bytes, 0, body)
  return bytes
}

/** Returns undefined if the bytes are damaged. */
export function decodeIdentity (bytes: Uint8Array): ReplicaIdentity | undefined {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  if (buffer.length <= CHECKSUM_BYTES) return undefined
  const body = buffer.subarray(CHECKSUM_BYTES)
  if (!checksumMatches(buffer, 0, body)) return undefined
  const parsed = replicaIdentitySchema.safeParse(decoder.decode(body))
  return parsed.success ? parsed.data : undefined
}
