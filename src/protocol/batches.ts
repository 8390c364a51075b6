/**
 * Batches of rollout items: what is submitted, the results that are listed,
 * and the commands that the batch store's log carries.
 */
import { z } from 'zod'

/** The call that scores a sample once its text is whole. */
export const rewardCallSchema = z.object({
  rewardId: z.string(),
  host: z.string(),
  path: z.string(),
  body: z.instanceof(Uint8Array)
})
export type RewardCall = z.infer<typeof rewardCallSchema>

export const batchItemSchema = z.object({
  itemId: z.string(),
  path: z.string(),
  /** Names and values in turn, passed on as they are. */
  headers: z.array(z.string()),
  body: z.instanceof(Uint8Array),
  /** Items of a group share their prompt and count only together. */
  groupId: z.string(),
  model: z.string(),
  promptTokensCount: z.number(),
  /** The submitter's guess of the tokens that it will make. */
  expectedTokensCount: z.number(),
  reward: rewardCallSchema.optional()
})
export type BatchItem = z.infer<typeof batchItemSchema>

export const batchSubmissionSchema = z.object({
  batchId: z.string(),
  /** The client account that it belongs to; absent for none. It outlives the keys of the account. */
  account: z.string().optional(),
  /** 0 is the most urgent; that of the account, if it has one, goes before that of the route. */
  priority: z.number().optional(),
  /** Host and path that it was sent to, which tell its route. */
  host: z.string(),
  path: z.string(),
  step: z.int(),
  model: z.string(),
  /** The oldest version of the weights that may make its samples. */
  minVersion: z.int(),
  /** Whole groups that the trainer waits for. */
  wantedGroupsCount: z.int(),
  items: z.array(batchItemSchema)
})
export type BatchSubmission = z.infer<typeof batchSubmissionSchema>

export enum ResultState {
  Completed = 'completed',
  /** Given up for good. */
  GivenUp = 'given_up'
}

/** Some consecutive events of an item's output. */
export const outputPartSchema = z.object({
  eventsCount: z.int().min(0),
  /** Data of the events, parted by line feeds, in UTF-8 and deflated: it crosses to every replica and every reader. */
  deflatedText: z.instanceof(Uint8Array),
  /** Bytes of the text itself. */
  textLengthBytes: z.int(),
  /** Versions of the weights that made any of the events. */
  versions: z.array(z.int())
})
export type OutputPart = z.infer<typeof outputPartSchema>

export const itemResultSchema = z.object({
  itemId: z.string(),
  state: z.enum(ResultState),
  /** The whole output, in order. */
  parts: z.array(outputPartSchema),
  /** Versions of the weights that made any of its events, in order. */
  versions: z.array(z.int()),
  /** Receipt of the reward call. */
  score: z.string().optional()
})
export type ItemResult = z.infer<typeof itemResultSchema>

export enum BatchCommandKind {
  Submit = 'batch.submit',
  Progress = 'batch.progress',
  Finish = 'batch.finish',
  End = 'batch.end',
  AnnounceOrder = 'batch.announceOrder',
  NameWeights = 'batch.nameWeights',
  ClaimSupply = 'supply.claim',
  OrderSupply = 'supply.order'
}

export const batchCommandSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(BatchCommandKind.Submit),
    submission: batchSubmissionSchema,
    /** How long its results can be read after it was accepted. */
    keepMs: z.number()
  }),
  z.object({
    kind: z.literal(BatchCommandKind.Progress),
    batchId: z.string(),
    itemId: z.string(),
    /** Events that are kept already; 0 begins anew. */
    afterEventId: z.int().min(0),
    parts: z.array(outputPartSchema)
  }),
  z.object({
    kind: z.literal(BatchCommandKind.Finish),
    batchId: z.string(),
    /** Events that are kept already and that the result's parts follow on. */
    afterEventId: z.int().min(0),
    result: itemResultSchema
  }),
  z.object({ kind: z.literal(BatchCommandKind.End), batchId: z.string(), account: z.string().optional() }),
  /** The leader is about to order an engine. */
  z.object({
    kind: z.literal(BatchCommandKind.AnnounceOrder),
    endpointId: z.string(),
    /** The host that gives the order, as the engine is told. */
    holder: z.string(),
    /** Loads at a time that the weight store was seen to feed, for whoever leads next. */
    lanesCount: z.int().min(1).optional()
  }),
  /** A trainer named a version of its model's weights. */
  z.object({ kind: z.literal(BatchCommandKind.NameWeights), model: z.string(), version: z.int() }),
  /** The leader takes over the ordering of engines. */
  z.object({ kind: z.literal(BatchCommandKind.ClaimSupply), holder: z.string() }),
  /** The leader is about to order so many engines of a kind in a data centre. */
  z.object({ kind: z.literal(BatchCommandKind.OrderSupply), service: z.string(), dataCentre: z.string(), isReclaimable: z.boolean(), desiredCount: z.int().min(0) })
])
export type BatchCommand = z.infer<typeof batchCommandSchema>

export type BatchCommandResult =
  /** Taken, now or before. */
  | { kind: 'accepted' }
  /** A batch of another client account has the id. */
  | { kind: 'foreign' }
  /** The result has a position in the list. */
  | { kind: 'listed', position: number }
  /** The batch has ended, or is not known: nothing is listed any more. */
  | { kind: 'closed' }
  | { kind: 'kept' }
  /** Other events are kept than the command follows on. */
  | { kind: 'mismatch' }
  | { kind: 'ended' }
  | { kind: 'announced' }
  | { kind: 'named' }
  | { kind: 'supplyHeld' }
  | { kind: 'unknownBatch' }
