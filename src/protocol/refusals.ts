/**
 * Refusals: the common form in which callers, trainers and operators learn that
 * a request failed, why, and whether it was executed.
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
  /** Another attempt with the same key was refused as not executed while this attempt waited. */
  Superseded = 'superseded',
  CallerLimit = 'caller_limit',
  QueueFull = 'queue_full',
  DeadlineUnreachable = 'deadline_unreachable',
  DeadlinePassed = 'deadline_passed',
  NoEndpoint = 'no_endpoint',
  EndpointFailed = 'endpoint_failed',
  EndpointRefused = 'endpoint_refused',
  /** Several endpoints failed while running the request, so it is no longer sent to any. */
  Quarantined = 'quarantined',
  RetryBudgetSpent = 'retry_budget_spent',
  AnswerLost = 'answer_lost',
  HostStopping = 'host_stopping',
  HostNotReady = 'host_not_ready',
  /** The host is short of a resource of its own. */
  HostOverloaded = 'host_overloaded',
  LeaseLost = 'lease_lost',
  ControlUnavailable = 'control_unavailable',
  SessionFenced = 'session_fenced',
  /** A pull names a position or step that does not match its session. */
  CursorMismatch = 'cursor_mismatch'
}

/** Whether the request was executed, as far as the system can determine. */
export enum Executed {
  No = 'no',
  Unknown = 'unknown',
  Yes = 'yes'
}

/** Why another attempt was made. */
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
  /** Delay before a retry, in milliseconds; also sent as Retry-After. */
  retryAfterMs: z.number().optional(),
  /** Hosts that may serve the request instead, `ip:port`. */
  otherHosts: z.array(z.string()).optional(),
  /** The calls made for the request, oldest first. */
  callLog: z.array(z.string()).optional()
})

export type Refusal = z.infer<typeof refusalSchema>

/** The HTTP status of each reason. */
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
  [RefusalReason.HostOverloaded]: 503,
  [RefusalReason.LeaseLost]: 503,
  [RefusalReason.ControlUnavailable]: 503,
  [RefusalReason.SessionFenced]: 409,
  [RefusalReason.CursorMismatch]: 409
}
