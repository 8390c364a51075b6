/**
 * What trainers send and get: sessions, pulls by cursor, and new weights.
 */
import { z } from 'zod'

/** A run of tokens that one engine incarnation made under one weight version. */
export const versionSpanSchema = z.object({
  fromToken: z.int().min(0),
  toToken: z.int().min(0),
  weightVersion: z.int(),
  engineId: z.string(),
  engineIncarnation: z.int()
})
export type VersionSpan = z.infer<typeof versionSpanSchema>

export const sampleSchema = z.object({
  /** Place in the trainer's sequence, from 1 on without a gap. */
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

/** POST /v1/trainers/{job}/session: opens a session and fences the older one. */
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
  /** The last position the trainer holds, 0 for none: confirms all up to it. */
  heldPosition: z.int().min(0),
  /** Version of the weights the trainer has now. */
  trainerVersion: z.int().min(0),
  maxSamplesCount: z.int().min(1).default(512),
  /** How long to wait for samples. */
  waitMs: z.int().min(0).default(10_000)
})
export type PullRequest = z.infer<typeof pullRequestSchema>

export const pullReplySchema = z.object({
  samples: z.array(sampleSchema),
  /** True when every sample of the step is delivered with this reply or was before. */
  stepComplete: z.boolean(),
  step: z.int()
})
export type PullReply = z.infer<typeof pullReplySchema>

/** POST /v1/trainers/{job}/weights: the trainer has put a version into the weight store. */
export const publishWeightsSchema = z.object({
  sessionNumber: z.int(),
  weightVersion: z.int().min(0)
})
export type PublishWeights = z.infer<typeof publishWeightsSchema>
