/**
 * The interface between components with work for an endpoint (caller requests,
 * service calls, samples) and the scheduler that decides when and where it runs.
 */
import type { RefusalReason, RetryReason } from '../../protocol/refusals.js'
import type { Progress } from '../../utils/progress.js'
import type { EndpointRecord } from '../directory/endpointRecord.js'
import type { Decision } from './decisionLog.js'

/** One unit of work to run on an endpoint. */
export interface WorkItem {
  /** Key of its decisions for `explain`; they are not recorded if this is unset. */
  requestId?: string
  pool: string
  callerName: string
  priorityClass: string
  /** Text whose prefix determines the endpoint affinity; usually the prompt. */
  affinityText?: string
  bodyBytes: number
  /** Work with the same key, such as the samples of a rollout group, is queued together. */
  groupKey?: string
  /** Forecast of the tokens to generate; 1 for plain service calls. */
  expectedTokensCount: number
  /** Engines with older weights are not chosen. */
  minWeightVersion?: number
  /** If set, `minWeightVersion` applies to this adapter (see `versionServed`). */
  adapter?: string
  /** Endpoints on which this work was already attempted. */
  excludedEndpointIds: string[]
  /** The work runs only on an endpoint with little load, when nothing else is queued. */
  onlyWhenIdle?: boolean
}

/** How an attempt at an endpoint ended, for load accounting and ejection. */
export type AttemptResult =
  /** `firstTokenMs` is excluded from the time per token, so that queueing at the engine doesn't count as slowness. */
  | { kind: 'succeeded', tokensCount: number, durationMs: number, firstTokenMs?: number }
  | { kind: 'refused' }
  | { kind: 'failed' }
  | { kind: 'cancelled' }

/**
 * The right to use one endpoint for one attempt; `finish` must be called once.
 * If the request's scope has closed and `finish` isn't called within a grace
 * period, the attempt counts as cancelled.
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
   * Queues the work for an endpoint; it is refused as soon as it can't be
   * served. Do not race the promise: it settles by itself at the deadline and
   * when the scope closes, and an assignment that is not awaited is leaked.
   * @throws ScopeClosedError when the scope closes first.
   */
  assign (item: WorkItem, progress: Progress): Promise<AssignOutcome>
  /**
   * Takes one retry from the budget of the pool and counts it by reason.
   * @returns false if the budget is exhausted or the pool is unknown
   */
  takeRetry (pool: string, reason: RetryReason): boolean
  /** The decisions made for a request, oldest first; empty if none are retained. */
  explain? (requestId: string): Decision[]
}
