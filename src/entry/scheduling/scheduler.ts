/**
 * The contract between those who have work for an endpoint (caller requests,
 * service calls, samples) and the queue that decides when it runs and where.
 */
import type { RefusalReason, RetryReason } from '../../protocol/refusals.js'
import type { Progress } from '../../utils/progress.js'
import type { EndpointRecord } from '../directory/endpointRecord.js'
import type { Decision } from './decisionLog.js'

/** One piece of work that wants an endpoint. */
export interface WorkItem {
  /** Under which `explain` finds the decisions made for it; unset: not kept. */
  requestId?: string
  pool: string
  callerName: string
  priorityClass: string
  /** Text whose prefix an engine may have cached. */
  affinityText?: string
  bodyBytes: number
  /** Work of one rollout group stays close together in the queue. */
  groupKey?: string
  /** A forecast; 1 for plain service calls. */
  expectedTokensCount: number
  /** Engines with older weights are not chosen. */
  minWeightVersion?: number
  /** The version meant is that of this adapter (`versionServed`). */
  adapter?: string
  /** Endpoints that this work was tried on already. */
  excludedEndpointIds: string[]
  /** Only on an endpoint that would otherwise stand idle. */
  onlyWhenIdle?: boolean
}

/** How a try at an endpoint ended, for load accounting and ejection. */
export type AttemptResult =
  /** With the time to the first token, waiting at the engine isn't taken for slowness. */
  | { kind: 'succeeded', tokensCount: number, durationMs: number, firstTokenMs?: number }
  | { kind: 'refused' }
  | { kind: 'failed' }
  | { kind: 'cancelled' }

/**
 * The right to use one endpoint for one try; finish must be called once. When
 * the scope of the request has closed and finish doesn't follow, the try
 * counts as cancelled after a grace time.
 */
export interface Assignment {
  readonly endpoint: EndpointRecord
  finish (result: AttemptResult): void
}

export type AssignOutcome =
  | { kind: 'assigned', assignment: Assignment }
  | { kind: 'refused', reason: RefusalReason, message: string, retryAfterMs?: number }

export interface Scheduler {
  /**
   * Waits in the queue for an endpoint; a refusal comes as soon as it is
   * certain. Do not race the promise: it settles by itself at the deadline and
   * when the scope closes, and an assignment that nobody reads is leaked.
   * @throws ScopeClosedError when the scope closes first.
   */
  assign (item: WorkItem, progress: Progress): Promise<AssignOutcome>
  /** Takes one retry from the budget of the pool, counted by reason; false when it is spent. */
  takeRetry (pool: string, reason: RetryReason): boolean
  /** What was decided for a request, oldest first; empty when it is not known any more. */
  explain? (requestId: string): Decision[]
}
