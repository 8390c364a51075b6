/**
 * Schema of the report of a run, which is written to a file and read back for
 * HTML pages and comparisons.
 */
import { z } from 'zod'
import { InvariantKind } from './requestOutcome.js'

const count = z.int().min(0)

/** Summary of latencies in milliseconds, measured from the time a request was due. */
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
  /** Complete answers within the caller's deadline, per second. */
  goodputPerSecond: z.number(),
  tokensPerSecond: z.number(),
  lostCount: count,
  triesCount: count,
  /** Final refusals, by reason and `executed`. */
  refusals: z.record(z.string(), count),
  /** Percentage of the complete answers of all series. */
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

const violationSchema = z.object({ invariant: z.enum(InvariantKind), tag: z.string(), message: z.string() })
export type InvariantViolation = z.infer<typeof violationSchema>

export const reportSchema = z.object({
  tool: z.literal('threaddrum-load'),
  experiment: z.string(),
  seed: z.int(),
  startedAt: z.iso.datetime(),
  durationMs: z.number(),
  warmUpMs: z.number(),
  /** Requests that were due but not sent because too many were in flight. */
  notSentCount: count,
  /** Longest delay between the time a request was due and the time the tool sent it. */
  worstSendLagMs: z.number(),
  adviceUnansweredCount: count,
  all: seriesSchema,
  byWorkload: z.array(seriesSchema),
  byClass: z.array(seriesSchema),
  seconds: z.array(secondSchema),
  faults: z.array(z.object({ atMs: z.number(), process: z.string(), signal: z.string(), outcome: z.string() })),
  /** Requests that were checked against the execution record of a service. */
  recordCheckedCount: count,
  brokenCount: count,
  /** The first violations; `brokenCount` counts all. */
  broken: z.array(violationSchema)
})
export type Report = z.infer<typeof reportSchema>
