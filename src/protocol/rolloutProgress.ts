/**
 * The state of a rollout job's current step, for operators and entry hosts.
 */
import { z } from 'zod'

export const rolloutProgressSchema = z.object({
  job: z.string(),
  step: z.int(),
  trainerVersion: z.int(),
  /** Highest version that the trainer has published. */
  publishedVersion: z.int(),
  sessionNumber: z.int(),
  confirmedPosition: z.int(),
  slotsCount: z.int(),
  waitingCount: z.int(),
  runningCount: z.int(),
  committedCount: z.int(),
  deliveredCount: z.int(),
  staleDroppedCount: z.int(),
  rerunCount: z.int()
})
export type RolloutProgress = z.infer<typeof rolloutProgressSchema>
