/**
 * Commands of the ledger of samples: sessions, steps, slots, positions and
 * published weights.
 */
import { z } from 'zod'
import { versionSpanSchema } from './trainers.js'

export enum RolloutCommandKind {
  OpenSession = 'rollout.openSession',
  LeaseSlots = 'rollout.leaseSlots',
  CommitSample = 'rollout.commitSample',
  Advance = 'rollout.advance',
  DropSample = 'rollout.dropSample',
  MoveSample = 'rollout.moveSample',
  PublishWeights = 'rollout.publishWeights'
}

/** Why an attempt or a committed sample was discarded. */
export enum SampleDropReason {
  /** The slot has a newer attempt or a committed sample. */
  Late = 'late',
  /** The oldest weight version of the sample lags behind the trainer by more than the staleness bound. */
  Stale = 'stale',
  /** The content is no longer stored on any host. */
  ContentLost = 'contentLost',
  /** The step of the slot has ended or was never open. */
  UnknownSlot = 'unknownSlot',
  /** The host that ran the attempt lost its lease or restarted. */
  HostLost = 'hostLost',
  /** The host that ran the attempt abandoned the attempt. */
  Abandoned = 'givenUp'
}

/** A slot holds one sample of one step. */
export const slotSchema = z.object({
  job: z.string(),
  step: z.int().min(0),
  group: z.int().min(0),
  index: z.int().min(0)
})
export type Slot = z.infer<typeof slotSchema>

export const leasedSlotSchema = slotSchema.extend({
  attemptId: z.string(),
  prompt: z.string(),
  /** Forecast from earlier samples of the prompt, or of the job. */
  expectedTokensCount: z.number(),
  /** Older weights would exceed the staleness bound when the sample is delivered. */
  minWeightVersion: z.int(),
  /** Number of earlier attempts at the slot; a checkpoint of an earlier attempt may be stored on a host. */
  earlierAttemptsCount: z.int(),
  /** The step comes after the trainer's current step. */
  isAhead: z.boolean()
})
export type LeasedSlot = z.infer<typeof leasedSlotSchema>

export const committedSampleSchema = slotSchema.extend({
  position: z.int(),
  attemptId: z.string(),
  /** Hosts on which the content is stored. */
  holderHostIds: z.array(z.string()),
  versions: z.array(versionSpanSchema)
})
export type CommittedSample = z.infer<typeof committedSampleSchema>

const slotRequestSchema = z.object({
  job: z.string(),
  maxSlotsCount: z.int().min(0),
  /** How many of the requested slots may belong to later steps. */
  maxAheadCount: z.int().min(0)
})
export type SlotRequest = z.infer<typeof slotRequestSchema>

export const rolloutCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(RolloutCommandKind.OpenSession), job: z.string(), sessionId: z.string() }),
  /**
   * Renews the lease of a host, lists its running attempts, and requests slots.
   * Leased slots that are not listed become free, so that a lost answer is
   * corrected by the next command.
   */
  z.object({
    kind: z.literal(RolloutCommandKind.LeaseSlots),
    hostId: z.string(),
    /** Increases with every start of the process; a new incarnation frees the slots of the old one. */
    hostIncarnation: z.number(),
    /** Increases with every such command of one process. */
    sequence: z.int(),
    runningAttemptIds: z.array(z.string()),
    /** Whether the answer should list the samples that the host holds. */
    wantsHeld: z.boolean(),
    wanted: z.array(slotRequestSchema)
  }),
  z.object({
    kind: z.literal(RolloutCommandKind.CommitSample),
    ...slotSchema.shape,
    attemptId: z.string(),
    holderHostIds: z.array(z.string()),
    versions: z.array(versionSpanSchema)
  }),
  /** A pull: confirms the samples that the trainer holds, reports its version, and requests complete groups. */
  z.object({
    kind: z.literal(RolloutCommandKind.Advance),
    job: z.string(),
    /** The host that serves the pull; notified when a group is complete. */
    hostId: z.string(),
    sessionNumber: z.int(),
    step: z.int(),
    heldPosition: z.int(),
    trainerVersion: z.int(),
    maxSamplesCount: z.int().min(1)
  }),
  /** The content of a committed sample is lost; its position must be filled again. */
  z.object({ kind: z.literal(RolloutCommandKind.DropSample), ...slotSchema.shape, attemptId: z.string(), reason: z.enum(SampleDropReason) }),
  /** The content was copied to other hosts, where it is now stored. */
  z.object({ kind: z.literal(RolloutCommandKind.MoveSample), ...slotSchema.shape, attemptId: z.string(), holderHostIds: z.array(z.string()) }),
  z.object({ kind: z.literal(RolloutCommandKind.PublishWeights), job: z.string(), sessionNumber: z.int(), weightVersion: z.int() })
])
export type RolloutCommand = z.infer<typeof rolloutCommandSchema>
export type RolloutCommandOf<K extends RolloutCommandKind> = Extract<RolloutCommand, { kind: K }>

/** Status of a job, sent to a host that renews its lease. */
export const jobStatusSchema = z.object({
  job: z.string(),
  step: z.int(),
  trainerVersion: z.int(),
  publishedVersion: z.int(),
  /** Number of slots of the current step without a running attempt. */
  waitingCount: z.int(),
  /** Number of slots of later steps that may start and have no running attempt. */
  waitingAheadCount: z.int()
})
export type JobStatus = z.infer<typeof jobStatusSchema>

/** A sample stored on a host, with all hosts on which it is stored. */
export const heldSampleSchema = slotSchema.extend({ attemptId: z.string(), holderHostIds: z.array(z.string()) })
export type HeldSample = z.infer<typeof heldSampleSchema>

export const rolloutResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('sessionOpened'), sessionNumber: z.int(), confirmedPosition: z.int() }),
  z.object({
    kind: z.literal('leased'),
    slots: z.array(leasedSlotSchema),
    /** Listed attempts that no longer belong to the host. */
    revokedAttemptIds: z.array(z.string()),
    /** Unconfirmed samples that the host must keep; set only if requested. */
    held: z.array(heldSampleSchema).optional(),
    jobs: z.array(jobStatusSchema),
    /** The host loses its slots unless it renews within this time after sending the command. */
    leaseRemainingMs: z.number()
  }),
  /** A later command of the host was applied before this one. */
  z.object({ kind: z.literal('leaseSuperseded') }),
  z.object({
    kind: z.literal('sampleCommitted'),
    /** Set if the commit completed a group of the current step: the host with the trainer's waiting pull. */
    pullHostId: z.string().optional()
  }),
  z.object({ kind: z.literal('sampleRefused'), reason: z.enum(SampleDropReason) }),
  z.object({ kind: z.literal('advanced'), deliverable: z.array(committedSampleSchema), stepComplete: z.boolean(), trainerVersion: z.int() }),
  /** The pull names a position or step that does not match its session. */
  z.object({ kind: z.literal('pullRefused'), reason: z.enum(['behindCursor', 'aheadOfCursor', 'stepPassed', 'stepIncomplete']), confirmedPosition: z.int(), step: z.int() }),
  z.object({ kind: z.literal('sessionFenced'), sessionNumber: z.int() }),
  z.object({ kind: z.literal('dropped') }),
  z.object({ kind: z.literal('moved') }),
  z.object({ kind: z.literal('published'), weightVersion: z.int() }),
  z.object({ kind: z.literal('unknownJob') })
])
export type RolloutResult = z.infer<typeof rolloutResultSchema>
export type RolloutResultOf<K extends RolloutResult['kind']> = Extract<RolloutResult, { kind: K }>
