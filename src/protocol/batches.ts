/**
 * Batches of rollout items: submissions, listed results, and the commands in
 * the batch store's log.
 */
import { z } from 'zod'

/** The call that scores a sample once its text is complete. */
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
  /** Alternating names and values, forwarded unchanged. */
  headers: z.array(z.string()),
  body: z.instanceof(Uint8Array),
  /** Items of a group share their prompt; a group counts only once it is complete. */
  groupId: z.string(),
  model: z.string(),
  promptTokensCount: z.number(),
  /** The submitter's estimate of the number of generated tokens. */
  expectedTokensCount: z.number(),
  reward: rewardCallSchema.optional()
})
export type BatchItem = z.infer<typeof batchItemSchema>

export const batchSubmissionSchema = z.object({
  batchId: z.string(),
  /** The client account that owns the batch; absent for none. The batch outlives the keys of the account. */
  account: z.string().optional(),
  /** 0 is the most urgent. The account's priority, if set, takes precedence over the route's. */
  priority: z.number().optional(),
  /** Host and path of the submission, which determine its route. */
  host: z.string(),
  path: z.string(),
  step: z.int(),
  model: z.string(),
  /** The oldest weight version allowed to generate the samples. */
  minVersion: z.int(),
  /** Number of complete groups that the trainer waits for. */
  wantedGroupsCount: z.int(),
  items: z.array(batchItemSchema)
})
export type BatchSubmission = z.infer<typeof batchSubmissionSchema>

/** A submission with the number of its items in place of the items. */
export interface SubmissionHead extends Omit<BatchSubmission, 'items'> {
  itemsCount: number
}

export enum ResultState {
  Completed = 'completed',
  /** Permanently abandoned. */
  Abandoned = 'given_up'
}

/** Some consecutive events of an item's output. */
export const outputPartSchema = z.object({
  eventsCount: z.int().min(0),
  /** Data of the events, separated by line feeds, in UTF-8; deflated, because it is sent to every replica and reader. */
  deflatedText: z.instanceof(Uint8Array),
  /** Length of the text before compression. */
  textLengthBytes: z.int(),
  /** Weight versions that generated these events. */
  versions: z.array(z.int())
})
export type OutputPart = z.infer<typeof outputPartSchema>

export const itemResultSchema = z.object({
  itemId: z.string(),
  state: z.enum(ResultState),
  /** The complete output, in order. */
  parts: z.array(outputPartSchema),
  /** Weight versions that generated the output, in order. */
  versions: z.array(z.int()),
  /** Receipt of the reward call. */
  score: z.string().optional()
})
export type ItemResult = z.infer<typeof itemResultSchema>

export enum BatchCommandKind {
  Submit = 'batch.submit',
  SubmitPart = 'batch.submitPart',
  DropParts = 'batch.dropParts',
  Progress = 'batch.progress',
  Finish = 'batch.finish',
  End = 'batch.end',
  AnnounceOrder = 'batch.announceOrder',
  NameWeights = 'batch.nameWeights',
  ClaimSupply = 'supply.claim',
  OrderSupply = 'supply.order'
}

/** Some consecutive items of a submission. */
export const submissionPartSchema = z.object({
  batchId: z.string(),
  account: z.string().optional(),
  /** Number of items before it. */
  fromPosition: z.int().min(0),
  items: z.array(batchItemSchema)
})

export const batchCommandSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(BatchCommandKind.Submit),
    submission: batchSubmissionSchema,
    /** How long the results can be read after the batch was accepted. */
    keepMs: z.number(),
    /** Number of items that precede those of the submission and were sent in parts; absent for none. */
    stagedItemsCount: z.int().min(1).optional()
  }),
  /** Some items of a submission that is too large for one entry; they belong to no batch until the submission follows. */
  z.object({ kind: z.literal(BatchCommandKind.SubmitPart), ...submissionPartSchema.shape }),
  /** The parts of a submission give way to others, unless it has grown since. */
  z.object({
    kind: z.literal(BatchCommandKind.DropParts),
    batchId: z.string(),
    account: z.string().optional(),
    /** Leader's wall clock of its latest part. */
    grownAtMs: z.number()
  }),
  z.object({
    kind: z.literal(BatchCommandKind.Progress),
    batchId: z.string(),
    itemId: z.string(),
    /** Id of the last event already replicated; 0 starts the output over. */
    afterEventId: z.int().min(0),
    /** Digest of the replicated output that the parts continue; absent from leaders that compare numbers of events only. */
    afterDigest: z.string().optional(),
    parts: z.array(outputPartSchema)
  }),
  z.object({
    kind: z.literal(BatchCommandKind.Finish),
    batchId: z.string(),
    /** Id of the last event already replicated; the result's parts follow it. */
    afterEventId: z.int().min(0),
    /** As for progress. */
    afterDigest: z.string().optional(),
    result: itemResultSchema
  }),
  z.object({ kind: z.literal(BatchCommandKind.End), batchId: z.string(), account: z.string().optional() }),
  /** The leader is about to send an order to an engine. */
  z.object({
    kind: z.literal(BatchCommandKind.AnnounceOrder),
    endpointId: z.string(),
    /** The host that sends the order, as stated to the engine. */
    holder: z.string(),
    /** Limit of concurrent weight loads observed for the weight store; passed on to the next leader. */
    lanesCount: z.int().min(1).optional()
  }),
  /** A trainer requested a version of its model's weights. */
  z.object({ kind: z.literal(BatchCommandKind.NameWeights), model: z.string(), version: z.int() }),
  /** The leader takes over the duty of ordering engines. */
  z.object({ kind: z.literal(BatchCommandKind.ClaimSupply), holder: z.string() }),
  /** The leader is about to order a number of engines of one kind in a data centre. */
  z.object({ kind: z.literal(BatchCommandKind.OrderSupply), service: z.string(), dataCentre: z.string(), isReclaimable: z.boolean(), desiredCount: z.int().min(0) })
])
export type BatchCommand = z.infer<typeof batchCommandSchema>

export type BatchCommandResult =
  /** Accepted by this command or an earlier one. */
  | { kind: 'accepted' }
  /** The part is held, now or from before. */
  | { kind: 'staged' }
  /** The parts are not held any more, or have grown. */
  | { kind: 'dropped' }
  /** Items before the part, or of the submission, are missing: their sender has to start over. */
  | { kind: 'incomplete' }
  /** A batch of another client account has this id. */
  | { kind: 'foreign' }
  /** The result was listed, now or earlier, at this position. */
  | { kind: 'listed', position: number }
  /** The batch has ended or is unknown; no further results are listed. */
  | { kind: 'closed' }
  | { kind: 'kept' }
  /** The replicated events are not those that the command continues. */
  | { kind: 'mismatch' }
  | { kind: 'ended' }
  | { kind: 'announced' }
  | { kind: 'named' }
  | { kind: 'supplyHeld' }
  | { kind: 'unknownBatch' }
