/**
 * The resources that operators declare, and the envelope they travel in.
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
  /** The model its engines load; engines only. */
  model: z.string().optional(),
  fencing: z.enum(FencingSupport).default(FencingSupport.Ignored),
  /** Paths of a service, matched by prefix, whose calls may run at most once. */
  unrepeatablePaths: z.array(z.string()).default([]),
  maxQueuedCount: positiveCount.default(1000),
  maxQueuedBytes: positiveCount.default(64 * 1024 * 1024),
  /** Requests that one endpoint runs at once at most. */
  maxConcurrentCount: positiveCount.default(32),
  /** Where the weights of the model come from: base URL of the weight store. */
  weightStoreUrl: z.string().optional(),
  /** Engines that keep serving while others swap, in percent. */
  minServingPercent: z.number().min(0).max(100).default(50),
  /** Engines that fetch from the weight store at once: as many as fill its rate. */
  maxFetchingCount: positiveCount.default(2)
})

export const priorityClassSpecSchema = z.strictObject({
  /** What the class pays, relative to the others. */
  paidWeight: z.number().positive(),
  /** Share of the endpoints that the class gets even when others pay more, in percent. */
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
  /** How many weight versions a sample may be behind its trainer's at delivery. */
  stalenessBoundVersions: z.int().min(0),
  maxTokensCount: positiveCount.default(256),
  /** Steps whose samples may be started before the trainer asks for them. */
  startAheadSteps: z.int().min(0).default(0),
  /** 0 weighs only trainer idle time, 1 only staleness. */
  stalenessWeight: z.number().min(0).max(1).default(0.5),
  /** The pool whose services score samples; unscored without one. */
  scoringPool: z.string().optional(),
  /** Gives up an attempt that takes longer, in milliseconds. */
  attemptTimeoutMs: positiveCount.default(600_000),
  /** The trainer's weights are an adapter of this name, so jobs can share engines. */
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
