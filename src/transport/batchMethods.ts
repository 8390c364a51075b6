/**
 * The calls of entry hosts to the leader of the batch store, and of a store
 * host that wants to become a member.
 */
import { z } from 'zod'
import { batchSubmissionSchema, itemResultSchema } from '../protocol/batches.js'
import { namedWeightsSchema } from '../protocol/routingCommands.js'
import { rpcMethod } from './rpcPeer.js'

const notLeader = z.object({ kind: z.literal('notLeader'), leaderAddress: z.string().optional() })
/** Nothing is known to have happened; the caller may ask again. */
const unavailable = z.object({ kind: z.literal('unavailable'), reason: z.string() })
const unknownBatch = z.object({ kind: z.literal('unknownBatch') })

export const submitBatchReplySchema = z.discriminatedUnion('kind', [
  /** On the disks of a quorum. */
  z.object({ kind: z.literal('accepted') }),
  /** None of it will run. */
  z.object({
    kind: z.literal('refused'),
    reason: z.string(),
    /** The leader will not take it for the moment: asking again at once is in vain. */
    isFinal: z.boolean().optional()
  }),
  /** It may have been taken. */
  z.object({ kind: z.literal('unknown'), reason: z.string() }),
  notLeader
])
export type SubmitBatchReply = z.infer<typeof submitBatchReplySchema>

export const readResultsReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('results'),
    totalCount: z.int(),
    nextPosition: z.int(),
    results: z.array(itemResultSchema),
    /** Nothing will be listed any more that a reader has to wait for. */
    isEnded: z.boolean()
  }),
  unknownBatch,
  unavailable,
  notLeader
])
export type ReadResultsReply = z.infer<typeof readResultsReplySchema>

export const readItemReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('body'), body: z.instanceof(Uint8Array) }),
  /** The batch or the item is not known, is listed, or has ended. */
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
  /** Whoever has applied the log up to the index reads nothing out of date. */
  z.object({ kind: z.literal('confirmed'), index: z.int() }),
  unavailable,
  notLeader
])
export type BatchReadIndexReply = z.infer<typeof batchReadIndexReplySchema>

export const joinStoreReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answered'), outcome: z.string() }),
  notLeader
])

export const submitBatchMethod = rpcMethod('batch.submit', z.object({ submission: batchSubmissionSchema }), submitBatchReplySchema)
/** The client account in whose name a batch is asked for: what belongs to another one is not known to it. */
const account = z.string().optional()

export const readResultsMethod = rpcMethod('batch.results', z.object({
  batchId: z.string(),
  account,
  fromPosition: z.int().min(0),
  /** How long to wait until there is a result at the position. */
  waitMs: z.number().min(0)
}), readResultsReplySchema)
export const readItemMethod = rpcMethod('batch.item', z.object({ batchId: z.string(), account, itemId: z.string() }), readItemReplySchema)
export const endBatchMethod = rpcMethod('batch.end', z.object({ batchId: z.string(), account }), endBatchReplySchema)
/** Between replicas of the store: lets one that does not lead answer a read. */
export const batchReadIndexMethod = rpcMethod('batch.readIndex', z.object({}), batchReadIndexReplySchema)
export const nameWeightsReplySchema = z.discriminatedUnion('kind', [
  /** On the disks of a quorum. */
  z.object({ kind: z.literal('committed') }),
  unavailable,
  notLeader
])
export type NameWeightsReply = z.infer<typeof nameWeightsReplySchema>

/** From a control host: a trainer named a version. */
export const nameWeightsMethod = rpcMethod('batch.nameWeights', namedWeightsSchema, nameWeightsReplySchema)
export const joinStoreMethod = rpcMethod('store.join', z.object({
  replicaId: z.string(),
  hostId: z.string(),
  peerAddress: z.string(),
  dataCentre: z.string()
}), joinStoreReplySchema)
