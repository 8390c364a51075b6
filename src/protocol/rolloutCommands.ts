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
  PublishWeights = 'rollout.publishWeights'
}

/** A slot holds one sample of one step. */
export const slotSchema = z.object({
  job: z.string(),
  step: z.int().min(0),
  group: z.int().min(0),
  index: z.int().min(0)
})
export type Slot = z.infer<typeof slotSchema>

export const leasedSlotSchema = slotSchema.extend({ attemptId: z.string(), prompt: z.string() })
export type LeasedSlot = z.infer<typeof leasedSlotSchema>

export const committedSampleSchema = slotSchema.extend({
  position: z.int(),
  attemptId: z.string(),
  /** Hosts that hold the content. */
  holderHostIds: z.array(z.string()),
  versions: z.array(versionSpanSchema)
})
export type CommittedSample = z.infer<typeof committedSampleSchema>

export const rolloutCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(RolloutCommandKind.OpenSession), job: z.string(), sessionId: z.string() }),
  z.object({ kind: z.literal(RolloutCommandKind.LeaseSlots), job: z.string(), hostId: z.string(), maxSlotsCount: z.int().min(1) }),
  z.object({
    kind: z.literal(RolloutCommandKind.CommitSample),
    ...slotSchema.shape,
    attemptId: z.string(),
    holderHostIds: z.array(z.string()),
    versions: z.array(versionSpanSchema)
  }),
  /** A pull: confirms what the trainer holds and names its version. */
  z.object({
    kind: z.literal(RolloutCommandKind.Advance),
    job: z.string(),
    sessionNumber: z.int(),
    step: z.int(),
    heldPosition: z.int(),
    trainerVersion: z.int()
  }),
  /** The content of a committed sample is lost or stale: its position is to be filled again. */
  z.object({ kind: z.literal(RolloutCommandKind.DropSample), ...slotSchema.shape, attemptId: z.string(), reason: z.string() }),
  z.object({ kind: z.literal(RolloutCommandKind.PublishWeights), job: z.string(), sessionNumber: z.int(), weightVersion: z.int() })
])
export type RolloutCommand = z.infer<typeof rolloutCommandSchema>

export const rolloutResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('sessionOpened'), sessionNumber: z.int(), confirmedPosition: z.int() }),
  z.object({ kind: z.literal('leased'), slots: z.array(leasedSlotSchema), trainerVersion: z.int() }),
  z.object({ kind: z.literal('sampleCommitted'), position: z.int().optional() }),
  z.object({ kind: z.literal('sampleRefused'), reason: z.enum(['late', 'stale', 'unknownSlot']) }),
  z.object({ kind: z.literal('advanced'), deliverable: z.array(committedSampleSchema), stepComplete: z.boolean() }),
  z.object({ kind: z.literal('sessionFenced'), sessionNumber: z.int() }),
  z.object({ kind: z.literal('dropped') }),
  z.object({ kind: z.literal('published'), weightVersion: z.int() }),
  z.object({ kind: z.literal('unknownJob') })
])
export type RolloutResult = z.infer<typeof rolloutResultSchema>
