/**
 * Methods that replicas call on each other over framed TCP. Each request names
 * the cluster and both replicas, so that a host whose disk was wiped is not
 * mistaken for its former replica.
 */
import { z } from 'zod'
import { rpcMethod } from '../../transport/rpcPeer.js'
import { EntryKind } from './logEntry.js'

const address = {
  clusterId: z.string(),
  fromReplicaId: z.string(),
  toReplicaId: z.string(),
  term: z.int()
}

/** The receiver is not the replica that the request names. */
const wrongReplica = z.object({ kind: z.literal('wrongReplica') })
/** The receiver knows of a later term. */
const staleTerm = z.object({ kind: z.literal('staleTerm'), term: z.int() })

export const addressSchema = z.object(address)
export type Addressed = z.infer<typeof addressSchema>

const entrySchema = z.object({
  index: z.int(),
  term: z.int(),
  kind: z.enum(EntryKind),
  atMs: z.number(),
  payload: z.instanceof(Uint8Array)
})

export const voteRequestSchema = z.object({
  ...address,
  /** Only asks whether the vote would be granted; changes nothing at the receiver. */
  isPreVote: z.boolean(),
  /** The leader of the previous term has given up its lease and requested this election. */
  isHandover: z.boolean(),
  lastIndex: z.int(),
  lastTerm: z.int()
})
export type VoteRequest = z.infer<typeof voteRequestSchema>

export const voteReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('granted') }),
  z.object({ kind: z.literal('refused'), term: z.int() }),
  wrongReplica
])
export type VoteReply = z.infer<typeof voteReplySchema>

export const appendRequestSchema = z.object({
  ...address,
  prevIndex: z.int(),
  prevTerm: z.int(),
  commitIndex: z.int(),
  entries: z.array(entrySchema)
})
export type AppendRequest = z.infer<typeof appendRequestSchema>

export const appendReplySchema = z.discriminatedUnion('kind', [
  /** The log matches the leader's up to the index, and is synced up to it. */
  z.object({ kind: z.literal('matched'), matchIndex: z.int() }),
  z.object({ kind: z.literal('mismatch'), retryFromIndex: z.int() }),
  staleTerm,
  wrongReplica
])
export type AppendReply = z.infer<typeof appendReplySchema>

export const heartbeatRequestSchema = z.object({
  ...address,
  /** At most the index up to which the receiver is known to have synced. */
  commitIndex: z.int()
})
export type HeartbeatRequest = z.infer<typeof heartbeatRequestSchema>

export const heartbeatReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('following') }),
  staleTerm,
  wrongReplica
])
export type HeartbeatReply = z.infer<typeof heartbeatReplySchema>

/** Reply to the request that a follower start an election at once. The term of the request is that of the leader that hands over. */
export const campaignReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('campaigning') }),
  /** The receiver is not a voter, leads itself, or is in another term. */
  z.object({ kind: z.literal('declined') }),
  wrongReplica
])
export type CampaignReply = z.infer<typeof campaignReplySchema>

export const snapshotRequestSchema = z.object({
  ...address,
  lastIndex: z.int(),
  lastTerm: z.int(),
  offsetBytes: z.int(),
  totalBytes: z.int(),
  bytes: z.instanceof(Uint8Array)
})
export type SnapshotRequest = z.infer<typeof snapshotRequestSchema>

export const snapshotReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('expecting'), offsetBytes: z.int() }),
  z.object({ kind: z.literal('installed'), matchIndex: z.int() }),
  staleTerm,
  wrongReplica
])
export type SnapshotReply = z.infer<typeof snapshotReplySchema>

export const identifyReplySchema = z.object({
  replicaId: z.string(),
  hostId: z.string(),
  peerAddress: z.string(),
  operatorAddress: z.string(),
  /** Null for a replica that belongs to no cluster yet. */
  clusterId: z.string().nullable(),
  /** The current leader, as far as this replica knows. */
  leader: z.object({ hostId: z.string(), peerAddress: z.string(), operatorAddress: z.string() }).optional()
})
export type IdentifyReply = z.infer<typeof identifyReplySchema>

export const identifyMethod = rpcMethod('log.identify', z.object({}), identifyReplySchema)
export const voteMethod = rpcMethod('log.vote', voteRequestSchema, voteReplySchema)
export const appendMethod = rpcMethod('log.append', appendRequestSchema, appendReplySchema)
export const heartbeatMethod = rpcMethod('log.heartbeat', heartbeatRequestSchema, heartbeatReplySchema)
export const campaignMethod = rpcMethod('log.campaign', addressSchema, campaignReplySchema)
export const snapshotMethod = rpcMethod('log.snapshot', snapshotRequestSchema, snapshotReplySchema)
