/**
 * The resources that operators declare, and their common envelope.
 */
import { z } from 'zod'

export enum ResourceKind {
  EndpointPool = 'EndpointPool',
  PriorityClass = 'PriorityClass',
  RolloutJob = 'RolloutJob',
  CallerLimit = 'CallerLimit'
}

export enum EndpointKind {
  Engine = 'engine',
  Service = 'service'
}

/** Whether the endpoints of a pool refuse orders with an old fencing number. */
export enum FencingSupport {
  Enforced = 'enforced',
  Ignored = 'ignored'
}

const positiveCount = z.int().min(1)

export const endpointPoolSpecSchema = z.strictObject({
  endpointKind: z.enum(EndpointKind),
  /** The model that the pool's engines load; engines only. */
  model: z.string().optional(),
  fencing: z.enum(FencingSupport).default(FencingSupport.Ignored),
  /** Path prefixes of a service whose calls may run at most once. */
  unrepeatablePaths: z.array(z.string()).default([]),
  maxQueuedCount: positiveCount.default(1000),
  maxQueuedBytes: positiveCount.default(64 * 1024 * 1024),
  /** Limit of concurrent requests per endpoint. */
  maxConcurrentCount: positiveCount.default(32),
  /** Base URL of the weight store from which engines load the model. */
  weightStoreUrl: z.string().optional(),
  /** Share of the engines that keep serving while others swap weights, in percent. */
  minServingPercent: z.number().min(0).max(100).default(50),
  /** Engines that fetch from the weight store concurrently; chosen to saturate its throughput. */
  maxFetchingCount: positiveCount.default(2)
})

export const priorityClassSpecSchema = z.strictObject({
  /** Payment of the class, relative to other classes. */
  paidWeight: z.number().positive(),
  /** Minimum share of the endpoints, even if other classes pay more, in percent. */
  minSharePercent: z.number().min(0).max(100).default(5),
  maxQueuedCount: positiveCount.default(1000)
})

export const rolloutJobSpecSchema = z.strictObject({
  pool: z.string(),
  priorityClass: z.string(),
  prompts: z.array(z.string()).min(1),
  /** Samples of one prompt, delivered together. */
  groupSizeCount: positiveCount,
  groupsPerStepCount: positiveCount,
  /** Maximum number of weight versions that a sample may lag behind its trainer at delivery. */
  stalenessBoundVersions: z.int().min(0),
  maxTokensCount: positiveCount.default(256),
  /** Number of later steps whose samples may start before the trainer requests them. */
  startAheadSteps: z.int().min(0).default(0),
  /** Trade-off in scheduling: 0 minimizes only trainer idle time, 1 only staleness. */
  stalenessWeight: z.number().min(0).max(1).default(0.5),
  /** The pool whose services score samples; without one, samples are not scored. */
  scoringPool: z.string().optional(),
  /** An attempt that takes longer is abandoned, in milliseconds. */
  attemptTimeoutMs: positiveCount.default(600_000),
  /** The trainer publishes its weights as an adapter of this name, so that jobs can share engines. */
  adapter: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/).optional(),
  paused: z.boolean().default(false)
})

export const callerLimitSpecSchema = z.strictObject({
  maxConcurrentCount: positiveCount,
  requestsPerSecond: z.number().positive(),
  priorityClass: z.string().optional()
})

export const specSchemas = {
  [ResourceKind.EndpointPool]: endpointPoolSpecSchema,
  [ResourceKind.PriorityClass]: priorityClassSpecSchema,
  [ResourceKind.RolloutJob]: rolloutJobSpecSchema,
  [ResourceKind.CallerLimit]: callerLimitSpecSchema
} as const

export type EndpointPoolSpec = z.infer<typeof endpointPoolSpecSchema>
export type PriorityClassSpec = z.infer<typeof priorityClassSpecSchema>
export type RolloutJobSpec = z.infer<typeof rolloutJobSpecSchema>
export type CallerLimitSpec = z.infer<typeof callerLimitSpecSchema>

export const resourceNameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'expected lower-case letters, digits, "." and "-", 63 at most')

export const resourceSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(ResourceKind.EndpointPool), name: resourceNameSchema, revision: z.int(), spec: endpointPoolSpecSchema }),
  z.object({ kind: z.literal(ResourceKind.PriorityClass), name: resourceNameSchema, revision: z.int(), spec: priorityClassSpecSchema }),
  z.object({ kind: z.literal(ResourceKind.RolloutJob), name: resourceNameSchema, revision: z.int(), spec: rolloutJobSpecSchema }),
  z.object({ kind: z.literal(ResourceKind.CallerLimit), name: resourceNameSchema, revision: z.int(), spec: callerLimitSpecSchema })
])

/** A resource as stored; its revision is that of its last change. */
export type Resource = z.infer<typeof resourceSchema>
export type ResourceOf<K extends ResourceKind> = Extract<Resource, { kind: K }>
