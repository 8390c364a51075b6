/**
 * The routing configuration: which requests go to which services, with which
 * guarantees for callers. One document, replaced as a whole; of two documents, the
 * one with the higher version is in effect.
 */
import { z } from 'zod'

export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** May run at most once for each attempt of a caller. */
  AtMostOnce = 'at_most_once',
  /** Answered by a stream of events. */
  Stream = 'stream',
  /** Accepts batches of rollout items, which run later. */
  Batch = 'batch'
}

export const weightedServiceSchema = z.object({
  service: z.string(),
  /** Share of the route's requests, relative to the other weights; 0 for none. */
  weight: z.number().min(0)
})

export const batchPolicySchema = z.object({
  /** Time after the first submission at which all results are due. */
  dueMs: z.number(),
  /** Time after the first submission from which unfinished items may be abandoned. */
  maxQueueMs: z.number(),
  /** All events of a sample must come from the same weight version. */
  isSingleVersion: z.boolean()
})
export type BatchPolicy = z.infer<typeof batchPolicySchema>

export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Starts and ends with a slash. */
  pathPrefix: z.string(),
  kind: z.enum(RouteKind),
  /** Maximum time until a request is answered. */
  timeoutMs: z.number().positive(),
  /** Time within which an answer has its full value to the caller. */
  objectiveMs: z.number(),
  /** 0 is the most urgent. */
  priority: z.number(),
  services: z.array(weightedServiceSchema).min(1),
  /** Maximum number of endpoints to which one attempt of a caller is sent. */
  maxAttemptsCount: z.int().min(1),
  /** A broken stream may be resumed after the last event received. */
  isResumable: z.boolean(),
  /** Callers need no key. */
  isPublic: z.boolean().optional(),
  batch: batchPolicySchema.optional()
})
export type RoutingRoute = z.infer<typeof routeSchema>

export const modelEngineSchema = z.object({
  slotsCount: z.int().min(1),
  kvCapacityTokens: z.number(),
  /** Tokens per event of a stream. */
  tokensPerEvent: z.number().positive(),
  models: z.array(z.string())
})
export type ModelEngine = z.infer<typeof modelEngineSchema>

/** Bounds on the number of a service's endpoints, and their costs. */
export const serviceScalingSchema = z.object({
  /** Minimum and maximum number per data centre. */
  minCount: z.int().min(0),
  maxCount: z.int().min(0),
  /** Time from an order until the endpoint serves. */
  bootMs: z.number().min(0),
  /** Cost of a reclaimable endpoint as a fraction of the regular cost; absent if the service has none. */
  reclaimablePrice: z.number().min(0).optional(),
  /** Cost of an endpoint per second, by data centre. */
  prices: z.record(z.string(), z.number())
})
export type ServiceScaling = z.infer<typeof serviceScalingSchema>

export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Connections that one endpoint accepts from all callers together. */
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

/** Callers are identified by a key of the account; only digests of keys are stored. */
export const clientAccountSchema = z.object({
  name: z.string(),
  keyDigests: z.array(z.string()),
  /** 0 is the most urgent; takes precedence over the route's priority. */
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
