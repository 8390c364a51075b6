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

/** Why an attempt or a committed sample was thrown away. */
export enum SampleDropReason {
  /** Its slot has another attempt by now, or a committed sample. */
  Late = 'late',
  /** Its oldest version is behind the trainer's by more than the bound. */
  Stale = 'stale',
  /** None of its holders has the content any more. */
  ContentLost = 'contentLost',
  /** The step of its slot is over, or was never open. */
  UnknownSlot = 'unknownSlot',
  /** The host that ran it lost its lease or restarted. */
  HostLost = 'hostLost',
  /** The host that ran it gave it up. */
  GivenUp = 'givenUp'
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
  /** Weights older than this would be too old when the sample is delivered. */
  minWeightVersion: z.int(),
  /** Earlier attempts at the slot; a host may hold a checkpoint of one. */
  earlierAttemptsCount: z.int(),
  /** The step is not the trainer's current one yet. */
  isAhead: z.boolean()
})
export type LeasedSlot = z.infer<typeof leasedSlotSchema>

export const committedSampleSchema = slotSchema.extend({
  position: z.int(),
  attemptId: z.string(),
  /** Hosts that hold the content. */
  holderHostIds: z.array(z.string()),
  versions: z.array(versionSpanSchema)
})
export type CommittedSample = z.infer<typeof committedSampleSchema>

const wantedSlotsSchema = z.object({
  job: z.string(),
  maxSlotsCount: z.int().min(0),
  /** Slots of later steps among them, at most. */
  maxAheadCount: z.int().min(0)
})
export type WantedSlots = z.infer<typeof wantedSlotsSchema>

export const rolloutCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(RolloutCommandKind.OpenSession), job: z.string(), sessionId: z.string() }),
  /**
   * Renews the lease of a host, names what it runs, and asks for more. Slots
   * leased to it that it does not name are free again, so a lost answer heals
   * with the next command.
   */
  z.object({
    kind: z.literal(RolloutCommandKind.LeaseSlots),
    hostId: z.string(),
    /** Grows with every start of the process; a new one frees what the old one ran. */
    hostIncarnation: z.number(),
    /** Grows with every such command of one process. */
    sequence: z.int(),
    runningAttemptIds: z.array(z.string()),
    /** Whether the answer names the samples that the host holds. */
    wantsHeld: z.boolean(),
    wanted: z.array(wantedSlotsSchema)
  }),
  z.object({
    kind: z.literal(RolloutCommandKind.CommitSample),
    ...slotSchema.shape,
    attemptId: z.string(),
    holderHostIds: z.array(z.string()),
    versions: z.array(versionSpanSchema)
  }),
  /** A pull: confirms what the trainer holds, names its version, asks for whole groups. */
  z.object({
    kind: z.literal(RolloutCommandKind.Advance),
    job: z.string(),
    /** The host that serves the pull; told when a group is whole. */
    hostId: z.string(),
    sessionNumber: z.int(),
    step: z.int(),
    heldPosition: z.int(),
    trainerVersion: z.int(),
    maxSamplesCount: z.int().min(1)
  }),
  /** The content of a committed sample is lost: its position is to be filled again. */
  z.object({ kind: z.literal(RolloutCommandKind.DropSample), ...slotSchema.shape, attemptId: z.string(), reason: z.enum(SampleDropReason) }),
  /** The content has been copied, so other hosts hold it now. */
  z.object({ kind: z.literal(RolloutCommandKind.MoveSample), ...slotSchema.shape, attemptId: z.string(), holderHostIds: z.array(z.string()) }),
  z.object({ kind: z.literal(RolloutCommandKind.PublishWeights), job: z.string(), sessionNumber: z.int(), weightVersion: z.int() })
])
export type RolloutCommand = z.infer<typeof rolloutCommandSchema>
export type RolloutCommandOf<K extends RolloutCommandKind> = Extract<RolloutCommand, { kind: K }>

/** What a host learns of a job when it renews its lease. */
export const jobOutlookSchema = z.object({
  job: z.string(),
  step: z.int(),
  trainerVersion: z.int(),
  publishedVersion: z.int(),
  /** Slots of the current step that nobody runs. */
  waitingCount: z.int(),
  /** Slots of later steps that may start and that nobody runs. */
  waitingAheadCount: z.int()
})
export type JobOutlook = z.infer<typeof jobOutlookSchema>

/** A sample that a host holds, and whoever else does. */
export const heldSampleSchema = slotSchema.extend({ attemptId: z.string(), holderHostIds: z.array(z.string()) })
export type HeldSample = z.infer<typeof heldSampleSchema>

export const rolloutResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('sessionOpened'), sessionNumber: z.int(), confirmedPosition: z.int() }),
  z.object({
    kind: z.literal('leased'),
    slots: z.array(leasedSlotSchema),
    /** Attempts that the host named, but that are not its own any more. */
    revokedAttemptIds: z.array(z.string()),
    /** Unconfirmed samples that the host must keep, if it asked. */
    held: z.array(heldSampleSchema).optional(),
    jobs: z.array(jobOutlookSchema),
    /** The host has lost its slots unless it renews within this time of sending the command. */
    leaseRemainingMs: z.number()
  }),
  /** A later command of the host was applied before this one. */
  z.object({ kind: z.literal('leaseSuperseded') }),
  z.object({
    kind: z.literal('sampleCommitted'),
    /** Set when the commit made a group of the current step whole: the host whose trainer waits. */
    pullHostId: z.string().optional()
  }),
  z.object({ kind: z.literal('sampleRefused'), reason: z.enum(SampleDropReason) }),
  z.object({ kind: z.literal('advanced'), deliverable: z.array(committedSampleSchema), stepComplete: z.boolean(), trainerVersion: z.int() }),
  /** The pull names a place that its session cannot be at. */
  z.object({ kind: z.literal('pullRefused'), reason: z.enum(['behindCursor', 'aheadOfCursor', 'stepPassed', 'stepIncomplete']), confirmedPosition: z.int(), step: z.int() }),
  z.object({ kind: z.literal('sessionFenced'), sessionNumber: z.int() }),
  z.object({ kind: z.literal('dropped') }),
  z.object({ kind: z.literal('moved') }),
  z.object({ kind: z.literal('published'), weightVersion: z.int() }),
  z.object({ kind: z.literal('unknownJob') })
])
export type RolloutResult = z.infer<typeof rolloutResultSchema>
export type RolloutResultOf<K extends RolloutResult['kind']> = Extract<RolloutResult, { kind: K }>
