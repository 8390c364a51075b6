/**
 * The report of a run, as it is written to a file and read back for pages and
 * comparisons.
 */
import { z } from 'zod'
import { InvariantKind } from './requestOutcome.js'

const count = z.int().min(0)

/** Of latencies in milliseconds, counted from the moment a request was due. */
const latencySchema = z.object({
  meanMs: z.number(),
  p50Ms: z.number(),
  p90Ms: z.number(),
  p99Ms: z.number(),
  p999Ms: z.number(),
  maxMs: z.number()
})
export type Latency = z.infer<typeof latencySchema>

/** One point of the cumulative distribution. */
const quantileSchema = z.object({ quantile: z.number(), valueMs: z.number() })

const seriesSchema = z.object({
  name: z.string(),
  sentCount: count,
  wholeCount: count,
  /** Whole answers within the caller's deadline, a second. */
  goodputPerSecond: z.number(),
  tokensPerSecond: z.number(),
  lostCount: count,
  triesCount: count,
  /** Final refusals by reason and `executed`. */
  refusals: z.record(z.string(), count),
  /** Of all answers in full. */
  sharePercent: z.number(),
  latency: latencySchema.nullable(),
  firstByte: latencySchema.nullable(),
  distribution: z.array(quantileSchema)
})
export type SeriesReport = z.infer<typeof seriesSchema>

const secondSchema = z.object({
  atS: count,
  sentCount: count,
  wholeCount: count,
  refusedCount: count,
  lostCount: count,
  p50Ms: z.number().nullable(),
  p99Ms: z.number().nullable()
})
export type SecondReport = z.infer<typeof secondSchema>

const brokenSchema = z.object({ invariant: z.enum(InvariantKind), tag: z.string(), message: z.string() })
export type BrokenInvariant = z.infer<typeof brokenSchema>

export const reportSchema = z.object({
  tool: z.literal('threaddrum-load'),
  experiment: z.string(),
  seed: z.int(),
  startedAt: z.iso.datetime(),
  durationMs: z.number(),
  warmUpMs: z.number(),
  /** Due, but not sent: too many were in flight. */
  notSentCount: count,
  /** How late the tool itself sent, at most. */
  worstSendLagMs: z.number(),
  adviceUnansweredCount: count,
  all: seriesSchema,
  byWorkload: z.array(seriesSchema),
  byClass: z.array(seriesSchema),
  seconds: z.array(secondSchema),
  faults: z.array(z.object({ atMs: z.number(), process: z.string(), signal: z.string(), outcome: z.string() })),
  /** Requests that were checked against a service's own record. */
  recordCheckedCount: count,
  brokenCount: count,
  /** The first ones. */
  broken: z.array(brokenSchema)
})
export type Report = z.infer<typeof reportSchema>
