/**
 * What callers send: headers, advice, and the forms of the two calls,
 * completions and plain service calls.
 */
import { z } from 'zod'
import { FinishReason } from './endpoints.js'
import { versionSpanSchema } from './trainers.js'

export enum CallerHeader {
  IdempotencyKey = 'idempotency-key',
  /** Time the caller still waits for the answer. */
  DeadlineMs = 'x-deadline-ms',
  PriorityClass = 'x-priority-class',
  CallerName = 'x-caller',
  /** Names the request; made up by the host if the caller does not. */
  RequestId = 'x-request-id',
  /** Set on answers: the host that served it. */
  ServedBy = 'x-served-by',
  /** Set on answers: whether the answer is a recorded one. */
  Replayed = 'x-replayed'
}

/** Of calls that name no class while the operators have declared none; a class of this name must exist then. */
export const DEFAULT_PRIORITY_CLASS = 'default'

/** GET /v1/advice?dataCentre=&caller= */
export const adviceSchema = z.object({
  /** Hosts to use, `ip:port`, first choice first. */
  hosts: z.array(z.string()),
  /** The answer may be kept this long. */
  validForMs: z.number(),
  revision: z.int()
})
export type Advice = z.infer<typeof adviceSchema>

/** Answer to POST /v1/completions without `stream`; with it, events of CompletionChunk form. */
export const completionAnswerSchema = z.object({
  id: z.string(),
  model: z.string(),
  text: z.string(),
  tokens: z.array(z.string()),
  finish_reason: z.enum(FinishReason),
  /** Which weights made which tokens, as the engines reported. */
  versions: z.array(versionSpanSchema)
})
export type CompletionAnswer = z.infer<typeof completionAnswerSchema>

export const callerPaths = {
  advice: '/v1/advice',
  completions: '/v1/completions',
  /** Followed by the pool's name and the path at the service. */
  services: '/v1/services/',
  announce: '/v1/endpoints/announce',
  trainers: '/v1/trainers/',
  status: '/v1/status',
  explain: '/v1/explain/'
} as const
