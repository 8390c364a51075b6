/**
 * RPC methods of the batch store: called by entry hosts on its leader, by
 * control hosts, and by store hosts among each other.
 */
import { z } from 'zod'
import { batchSubmissionSchema, itemResultSchema, submissionPartSchema } from '../protocol/batches.js'
import { namedWeightsSchema } from '../protocol/routingCommands.js'
import { rpcMethod } from './rpcPeer.js'

const notLeader = z.object({ kind: z.literal('notLeader'), leaderAddress: z.string().optional() })
/** The outcome is unknown or nothing happened; the caller may retry. */
const unavailable = z.object({ kind: z.literal('unavailable'), reason: z.string() })
const unknownBatch = z.object({ kind: z.literal('unknownBatch') })

export const submitBatchReplySchema = z.discriminatedUnion('kind', [
  /** The batch is on the disks of a quorum. */
  z.object({ kind: z.literal('accepted') }),
  /** No part of the batch will run. */
  z.object({
    kind: z.literal('refused'),
    reason: z.string(),
    /** The leader does not accept the batch for now, and an immediate retry would be refused too. */
    isFinal: z.boolean().optional()
  }),
  /** The batch may have been accepted. */
  z.object({ kind: z.literal('unknown'), reason: z.string() }),
  notLeader
])
export type SubmitBatchReply = z.infer<typeof submitBatchReplySchema>

export const submitPartReplySchema = z.discriminatedUnion('kind', [
  /** The items are on the disks of a quorum, or the batch was accepted already. */
  z.object({ kind: z.literal('staged') }),
  /** Parts before this one are missing. */
  z.object({ kind: z.literal('incomplete') }),
  z.object({ kind: z.literal('refused'), reason: z.string(), isFinal: z.boolean().optional() }),
  z.object({ kind: z.literal('unknown'), reason: z.string() }),
  notLeader
])
export type SubmitPartReply = z.infer<typeof submitPartReplySchema>

export const readResultsReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('results'),
    totalCount: z.int(),
    nextPosition: z.int(),
    results: z.array(itemResultSchema),
    /** No further results will be listed that a reader has to wait for. */
    isEnded: z.boolean()
  }),
  unknownBatch,
  unavailable,
  notLeader
])
export type ReadResultsReply = z.infer<typeof readResultsReplySchema>

export const readItemReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('body'), body: z.instanceof(Uint8Array) }),
  /** The batch or the item is unknown, has been listed, or has ended. */
  z.object({ kind: z.literal('absent') }),
  unavailable,
  notLeader
])
export type ReadItemReply = z.infer<typeof readItemReplySchema>

export const endBatchReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ended') }),
  unknownBatch,
  unavailable,
  notLeader
])
export type EndBatchReply = z.infer<typeof endBatchReplySchema>

export const batchReadIndexReplySchema = z.discriminatedUnion('kind', [
  /** A replica that has applied the log up to the index returns no stale data. */
  z.object({ kind: z.literal('confirmed'), index: z.int() }),
  unavailable,
  notLeader
])
export type BatchReadIndexReply = z.infer<typeof batchReadIndexReplySchema>

export const joinStoreReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answered'), outcome: z.string() }),
  notLeader
])

export const submitBatchMethod = rpcMethod('batch.submit', z.object({
  submission: batchSubmissionSchema,
  /** Number of items that were sent in parts before; absent for none. */
  stagedItemsCount: z.int().min(1).optional()
}), submitBatchReplySchema)
/** Sends items of a submission before the submission itself. Without items, only asks whether there is room. */
export const submitPartMethod = rpcMethod('batch.submitPart', z.object({
  ...submissionPartSchema.shape,
  /** Size of the whole submission as its sender has it. */
  totalBytes: z.number().min(0)
}), submitPartReplySchema)
export type SubmitPartRequest = z.infer<typeof submitPartMethod.request>
/** The client account that makes the request; batches of other accounts are unknown to it. */
const account = z.string().optional()

export const readResultsMethod = rpcMethod('batch.results', z.object({
  batchId: z.string(),
  account,
  fromPosition: z.int().min(0),
  /** How long to wait for a result at the position. */
  waitMs: z.number().min(0)
}), readResultsReplySchema)
export const readItemMethod = rpcMethod('batch.item', z.object({ batchId: z.string(), account, itemId: z.string() }), readItemReplySchema)
export const endBatchMethod = rpcMethod('batch.end', z.object({ batchId: z.string(), account }), endBatchReplySchema)
/** Called between replicas of the store, so that one that does not lead can answer a read. */
export const batchReadIndexMethod = rpcMethod('batch.readIndex', z.object({}), batchReadIndexReplySchema)
export const nameWeightsReplySchema = z.discriminatedUnion('kind', [
  /** The named weights are on the disks of a quorum. */
  z.object({ kind: z.literal('committed') }),
  unavailable,
  notLeader
])
export type NameWeightsReply = z.infer<typeof nameWeightsReplySchema>

/** Called by a control host when a trainer has named a weight version. */
export const nameWeightsMethod = rpcMethod('batch.nameWeights', namedWeightsSchema, nameWeightsReplySchema)
export const joinStoreMethod = rpcMethod('store.join', z.object({
  replicaId: z.string(),
  hostId: z.string(),
  peerAddress: z.string(),
  dataCentre: z.string()
}), joinStoreReplySchema)
