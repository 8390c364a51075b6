/** Schemas of the answers to GET /record, for checkers that read them over HTTP. */
import { z } from 'zod'
import { sampleSchema, versionSpanSchema } from '../src/protocol/trainers.js'

export const engineRecordSchema = z.object({
  generations: z.array(z.object({
    requestId: z.string(),
    prompt: z.string(),
    resumedFromToken: z.int(),
    spans: z.array(versionSpanSchema),
    tokens: z.array(z.string()),
    ended: z.enum(['running', 'stop', 'length', 'cancelled'])
  }))
})

export const serviceRecordSchema = z.object({
  /** Calls that are running and not yet answered. */
  runningCount: z.int(),
  executions: z.record(z.string(), z.int()),
  executionsByPath: z.record(z.string(), z.int())
})

export const trainerRecordSchema = z.object({
  job: z.string(),
  done: z.boolean(),
  fenced: z.boolean(),
  heldPosition: z.int(),
  trainerVersion: z.int(),
  steps: z.array(z.object({ step: z.int(), samplesCount: z.int(), trainerVersion: z.int(), idleMs: z.number() })),
  violations: z.array(z.string()),
  staleness: z.array(z.number()),
  samples: z.array(sampleSchema),
  asksAgainCount: z.int()
})
