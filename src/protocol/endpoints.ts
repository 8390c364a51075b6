/**
 * The interface to endpoints: announcements to an entry host, streamed
 * completions, and orders with a fencing number.
 */
import { z } from 'zod'
import { EndpointKind } from './resources.js'

export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode'
}

export const loadReportSchema = z.object({
  runningCount: z.int().min(0),
  waitingCount: z.int().min(0),
  kvUsedPercent: z.number().min(0).max(100).default(0),
  tokensPerSecond: z.number().min(0).default(0),
  /** Age of the report when it was sent. */
  ageMs: z.number().min(0).default(0)
})
export type LoadReport = z.infer<typeof loadReportSchema>

/** POST /v1/endpoints/announce, repeated before the lease expires. */
export const announcementSchema = z.object({
  endpointId: z.string().min(1).max(128),
  pool: z.string(),
  endpointKind: z.enum(EndpointKind),
  /** Base URL with an IP address, such as http://127.0.2.1:8000 */
  url: z.string(),
  /** Increases with every start of the endpoint. */
  incarnation: z.int(),
  /** Increases with every announcement of one incarnation. */
  sequence: z.int(),
  dataCentre: z.string(),
  model: z.string().optional(),
  /** Version of the loaded weights; engines only. */
  weightVersion: z.int().optional(),
  adapters: z.array(z.string()).default([]),
  role: z.enum(EngineRole).default(EngineRole.Mixed),
  load: loadReportSchema,
  maxConcurrentCount: z.int().min(1).default(16),
  leaving: z.boolean().default(false)
})
export type Announcement = z.infer<typeof announcementSchema>

/**
 * The version of the base weights, or of the given adapter, that an engine
 * serves; undefined for none. Adapters are announced as `name@version`.
 */
export function versionServed (announcement: Pick<Announcement, 'weightVersion' | 'adapters'>, adapter?: string): number | undefined {
  if (adapter === undefined) return announcement.weightVersion
  const prefix = `${adapter}@`
  const versions = announcement.adapters.filter(name => name.startsWith(prefix)).map(name => Number(name.slice(prefix.length)))
  return versions.length > 0 ? Math.max(...versions) : undefined
}

export const announcementReplySchema = z.object({
  /** The announcement must be repeated within this time. */
  leaseRemainingMs: z.number(),
  /** Hosts to announce to from now on, `ip:port`, in order of preference. */
  announceTo: z.array(z.string())
})
export type AnnouncementReply = z.infer<typeof announcementReplySchema>

/** POST {url}/v1/completions, answered as server-sent events. */
export const completionRequestSchema = z.object({
  model: z.string(),
  prompt: z.string(),
  max_tokens: z.int().min(1).default(64),
  stream: z.boolean().default(false),
  /** Echoed in every chunk; an answer under another id is dropped. */
  request_id: z.string().optional(),
  priority: z.number().optional(),
  /** Tokens already generated, after which the engine resumes. */
  resume_tokens: z.array(z.string()).optional(),
  seed: z.int().optional()
})
export type CompletionRequest = z.infer<typeof completionRequestSchema>

export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
  Cancelled = 'cancelled'
}

/** One server-sent event of a completion; the last one is `[DONE]`. */
export const completionChunkSchema = z.object({
  id: z.string(),
  /** Index of the first token of the chunk within the whole answer. */
  token_offset: z.int().min(0),
  tokens: z.array(z.string()),
  /** Version of the weights that generated these tokens. */
  weight_version: z.int(),
  engine_id: z.string(),
  engine_incarnation: z.int(),
  finish_reason: z.enum(FinishReason).nullable().default(null)
})
export type CompletionChunk = z.infer<typeof completionChunkSchema>

export enum OrderKind {
  LoadVersion = 'load_version',
  LoadAdapter = 'load_adapter',
  SetRole = 'set_role'
}

const orderBase = {
  /** Endpoints that enforce fencing refuse orders with a number below the highest that they have received. */
  fencing_number: z.int(),
  order_id: z.string(),
  /** The endpoint drops an order that it would start to execute after this time has passed. */
  remaining_ms: z.number()
}

/** POST {url}/v1/orders; names an absolute target state. */
export const orderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(OrderKind.LoadVersion), ...orderBase, weight_version: z.int(), source_url: z.string() }),
  z.object({ kind: z.literal(OrderKind.LoadAdapter), ...orderBase, adapter: z.string(), source_url: z.string() }),
  z.object({ kind: z.literal(OrderKind.SetRole), ...orderBase, role: z.enum(EngineRole) })
])
export type Order = z.infer<typeof orderSchema>

export const orderReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done'), weight_version: z.int() }),
  z.object({ kind: z.literal('stale_fence'), highest_fencing_number: z.int() }),
  z.object({ kind: z.literal('failed'), message: z.string(), weight_version: z.int() })
])
export type OrderReply = z.infer<typeof orderReplySchema>

/** GET {url}/v1/state: what the endpoint itself reports as running. */
export const endpointStateSchema = z.object({
  endpointId: z.string(),
  incarnation: z.int(),
  weightVersion: z.int(),
  adapters: z.array(z.string()),
  role: z.enum(EngineRole),
  highestFencingNumber: z.int().optional(),
  lastOrderId: z.string().optional()
})
export type EndpointState = z.infer<typeof endpointStateSchema>

/** Sent by a plain service with status 503: the call was not executed. */
export const NOT_EXECUTED_HEADER = 'x-not-executed'

/** The id of one attempt of a service call; an answer that echoes another id is dropped. */
export const REQUEST_ID_HEADER = 'x-request-id'

/** POST {url}/v1/score of a service that scores samples. */
export const SCORE_PATH = '/v1/score'

export const scoreRequestSchema = z.object({
  prompt: z.string(),
  tokens: z.array(z.string())
})
export type ScoreRequest = z.infer<typeof scoreRequestSchema>

export const scoreReplySchema = z.object({ score: z.number() })
export type ScoreReply = z.infer<typeof scoreReplySchema>

/** URL of a version in the weight store: GET reads it, the trainer creates it by PUT. */
export function weightsUrl (weightStoreUrl: string, weightVersion: number, adapter?: string): string {
  const path = adapter === undefined ? String(weightVersion) : `${adapter}/${weightVersion}`
  return `${weightStoreUrl.replace(/\/$/, '')}/v1/weights/${path}`
}
