/**
 * The routing configuration: which requests go to which services, and what
 * each route promises its callers. One document, replaced as a whole; of two
 * documents the one with the higher version holds.
 */
import { z } from 'zod'

export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** May run at most once for each try of a caller. */
  AtMostOnce = 'at_most_once',
  /** Answered by a series of events. */
  Stream = 'stream',
  /** Accepts batches of rollout items, which run later. */
  Batch = 'batch'
}

export const weightedServiceSchema = z.object({
  service: z.string(),
  /** Share of the route's requests, relative to the other weights; 0 takes none. */
  weight: z.number().min(0)
})

export const batchPromiseSchema = z.object({
  /** After the batch was first sent, all results are due. */
  dueMs: z.number(),
  /** After the batch was first sent, an unfinished item may be given up. */
  maxQueueMs: z.number(),
  /** All events of a sample must come from one version of the weights. */
  isSingleVersion: z.boolean()
})
export type BatchPromise = z.infer<typeof batchPromiseSchema>

export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: z.enum(RouteKind),
  /** The longest time that a request is held. */
  timeoutMs: z.number().positive(),
  /** Time within which an answer has its full value to the caller. */
  objectiveMs: z.number(),
  /** 0 is the most urgent. */
  priority: z.number(),
  services: z.array(weightedServiceSchema).min(1),
  /** Most endpoints that one try of a caller may be sent to. */
  maxAttemptsCount: z.int().min(1),
  /** A broken stream may go on behind the last event that arrived. */
  isResumable: z.boolean(),
  /** Callers need no key. */
  isPublic: z.boolean().optional(),
  batch: batchPromiseSchema.optional()
})
export type RoutingRoute = z.infer<typeof routeSchema>

export const modelEngineSchema = z.object({
  slotsCount: z.int().min(1),
  kvCapacityTokens: z.number(),
  /** Tokens that one event of a stream holds. */
  tokensPerEvent: z.number().positive(),
  models: z.array(z.string())
})
export type ModelEngine = z.infer<typeof modelEngineSchema>

/** How many endpoints of a service may be ordered, and what they cost. */
export const serviceScalingSchema = z.object({
  /** In each data centre. */
  minCount: z.int().min(0),
  maxCount: z.int().min(0),
  /** From an order until the endpoint serves. */
  bootMs: z.number().min(0),
  /** Cost of an endpoint that may be taken away, as a share of one that may not; absent where there are none. */
  reclaimablePrice: z.number().min(0).optional(),
  /** Cost of an endpoint for a second, by data centre. */
  prices: z.record(z.string(), z.number())
})
export type ServiceScaling = z.infer<typeof serviceScalingSchema>

export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Connections that one endpoint takes from all callers together. */
  maxConnectionsCount: z.int().min(1),
  engine: modelEngineSchema.optional(),
  scaling: serviceScalingSchema.optional()
})
export type RoutingService = z.infer<typeof serviceSchema>

export const callerBoundsSchema = z.object({
  maxHeadBytes: z.int().min(1),
  maxBodyBytes: z.int().min(1),
  headTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive()
})

/** Whoever calls with one of its keys; what is kept of a key is its digest. */
export const clientAccountSchema = z.object({
  name: z.string(),
  keyDigests: z.array(z.string()),
  /** 0 is the most urgent; goes before that of a route. */
  priority: z.number().optional()
})
export type ClientAccount = z.infer<typeof clientAccountSchema>

export const routingSchema = z.object({
  version: z.int().min(0),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  bounds: callerBoundsSchema,
  /** Absent where callers need no key. */
  accounts: z.array(clientAccountSchema).optional()
})
export type Routing = z.infer<typeof routingSchema>
