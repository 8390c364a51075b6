/**
 * The interface for trainers: sessions, pulls by cursor, and new weights.
 */
import { z } from 'zod'

/** A range of tokens that one engine incarnation generated with one weight version. */
export const versionSpanSchema = z.object({
  fromToken: z.int().min(0),
  toToken: z.int().min(0),
  weightVersion: z.int(),
  engineId: z.string(),
  engineIncarnation: z.int()
})
export type VersionSpan = z.infer<typeof versionSpanSchema>

export const sampleSchema = z.object({
  /** Position in the trainer's sequence, from 1 without gaps. */
  position: z.int().min(1),
  job: z.string(),
  step: z.int().min(0),
  group: z.int().min(0),
  index: z.int().min(0),
  attemptId: z.string(),
  prompt: z.string(),
  tokens: z.array(z.string()),
  versions: z.array(versionSpanSchema),
  score: z.number().nullable()
})
export type Sample = z.infer<typeof sampleSchema>

/** POST /v1/trainers/{job}/session: opens a session and fences older ones. */
export const openSessionReplySchema = z.object({
  sessionNumber: z.int(),
  /** The last position that any session of the job has confirmed. */
  confirmedPosition: z.int()
})
export type OpenSessionReply = z.infer<typeof openSessionReplySchema>

/** POST /v1/trainers/{job}/pull */
export const pullRequestSchema = z.object({
  sessionNumber: z.int(),
  step: z.int().min(0),
  /** The last position that the trainer holds, 0 for none; confirms all positions up to it. */
  heldPosition: z.int().min(0),
  /** The trainer's current weight version. */
  trainerVersion: z.int().min(0),
  maxSamplesCount: z.int().min(1).default(512),
  /** Maximum wait for samples. */
  waitMs: z.int().min(0).default(10_000)
})
export type PullRequest = z.infer<typeof pullRequestSchema>

export const pullReplySchema = z.object({
  samples: z.array(sampleSchema),
  /** True if every sample of the step was delivered by this reply or an earlier one. */
  stepComplete: z.boolean(),
  step: z.int()
})
export type PullReply = z.infer<typeof pullReplySchema>

/** POST /v1/trainers/{job}/weights: the trainer has stored a version in the weight store. */
export const publishWeightsSchema = z.object({
  sessionNumber: z.int(),
  weightVersion: z.int().min(0)
})
export type PublishWeights = z.infer<typeof publishWeightsSchema>
