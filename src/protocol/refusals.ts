/**
 * Refusals: the one shape in which a caller, trainer or operator learns that
 * the system gave up, why, and whether anything ran.
 */
import { z } from 'zod'

export enum RefusalReason {
  MalformedRequest = 'malformed_request',
  BodyTooLarge = 'body_too_large',
  UnknownPool = 'unknown_pool',
  UnknownJob = 'unknown_job',
  UnknownPriorityClass = 'unknown_priority_class',
  IdempotencyKeyRequired = 'idempotency_key_required',
  IdempotencyKeyReused = 'idempotency_key_reused',
  /** Another try of the same key was refused as not run while this one waited. */
  Superseded = 'superseded',
  CallerLimit = 'caller_limit',
  QueueFull = 'queue_full',
  DeadlineUnreachable = 'deadline_unreachable',
  DeadlinePassed = 'deadline_passed',
  NoEndpoint = 'no_endpoint',
  EndpointFailed = 'endpoint_failed',
  EndpointRefused = 'endpoint_refused',
  /** Endpoints ended under the request: it is sent to no further one. */
  Quarantined = 'quarantined',
  RetryBudgetSpent = 'retry_budget_spent',
  AnswerLost = 'answer_lost',
  HostStopping = 'host_stopping',
  HostNotReady = 'host_not_ready',
  LeaseLost = 'lease_lost',
  ControlUnavailable = 'control_unavailable',
  SessionFenced = 'session_fenced',
  /** A pull names a position or a step at which its session is not. */
  CursorMismatch = 'cursor_mismatch'
}

/** Whether the request was executed, as far as the system can know. */
export enum Executed {
  No = 'no',
  Unknown = 'unknown',
  Yes = 'yes'
}

/** Why a further try was made. */
export enum RetryReason {
  EndpointRefused = 'endpoint_refused',
  ConnectFailed = 'connect_failed',
  ConnectionLost = 'connection_lost',
  EndpointError = 'endpoint_error',
  StreamResumed = 'stream_resumed',
  Hedged = 'hedged',
  LeaderMoved = 'leader_moved'
}

export const refusalSchema = z.object({
  reason: z.enum(RefusalReason),
  executed: z.enum(Executed),
  message: z.string(),
  /** When to come back, in milliseconds from now; also sent as Retry-After. */
  retryAfterMs: z.number().optional(),
  /** Hosts that may serve it instead, `ip:port`. */
  otherHosts: z.array(z.string()).optional(),
  /** What was tried, oldest first. */
  callLog: z.array(z.string()).optional()
})

export type Refusal = z.infer<typeof refusalSchema>

/** The HTTP status that goes with a reason. */
export const refusalStatus: Record<RefusalReason, number> = {
  [RefusalReason.MalformedRequest]: 400,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.UnknownPool]: 404,
  [RefusalReason.UnknownJob]: 404,
  [RefusalReason.UnknownPriorityClass]: 400,
  [RefusalReason.IdempotencyKeyRequired]: 400,
  [RefusalReason.IdempotencyKeyReused]: 422,
  [RefusalReason.Superseded]: 409,
  [RefusalReason.CallerLimit]: 429,
  [RefusalReason.QueueFull]: 429,
  [RefusalReason.DeadlineUnreachable]: 503,
  [RefusalReason.DeadlinePassed]: 504,
  [RefusalReason.NoEndpoint]: 503,
  [RefusalReason.EndpointFailed]: 502,
  [RefusalReason.EndpointRefused]: 502,
  [RefusalReason.Quarantined]: 502,
  [RefusalReason.RetryBudgetSpent]: 503,
  [RefusalReason.AnswerLost]: 502,
  [RefusalReason.HostStopping]: 503,
  [RefusalReason.HostNotReady]: 503,
  [RefusalReason.LeaseLost]: 503,
  [RefusalReason.ControlUnavailable]: 503,
  [RefusalReason.SessionFenced]: 409,
  [RefusalReason.CursorMismatch]: 409
}
