/**
 * A request that is forwarded to endpoints, and what comes of it.
 */
import type { Executed, RefusalReason } from '../protocol/refusals.js'
import type { RoutingRoute } from '../protocol/routing.js'
import type { Progress } from '../utils/progress.js'

export interface ForwardRequest {
  route: RoutingRoute
  /** The service that the request was admitted to; drawn if absent. */
  service?: string | undefined
  method: string
  path: string
  host: string
  headers: string[]
  body: Uint8Array
  attemptId: string
  /** The client account that the request runs for; undefined for none. */
  account?: string | undefined
  /** 0 is the most urgent. The priority of the account, if it has one, overrides that of the route. */
  priority?: number | undefined
  /** Called when the request is sent to an endpoint. */
  onTry?: (() => void) | undefined
  /** Called once when an endpoint has started, or may have started, to run the request; gets the time at which the request was sent to the endpoint. */
  onBegan?: ((sentAtMs: number) => void) | undefined
  progress: Progress
  /** Whether the caller may still have the request run; asked before every try. */
  mayTry?: (() => boolean) | undefined
  /** Whether the host has the time to see the request answered; asked until an endpoint may have run it. */
  hasTime?: (() => boolean) | undefined
  /** Keep trying until the deadline: a refusal would be of no use to the caller. */
  isPersistent?: boolean
  /** Whether the request is part of work that was handed in for later, which the quarantine never withholds. */
  isOwed?: boolean
}

export type ForwardOutcome =
  /** The answer of an endpoint; `failedAnswersCount` is the number of answers with status 500. */
  | { kind: 'answered', endpointId: string, status: number, headers: string[], body: Uint8Array, receipt: string | undefined, failedAnswersCount: number }
  | { kind: 'refused', executed: Executed, reason: RefusalReason, retryAfterMs: number }

/** What is known of a request from its head. */
export type ForwardHead = Pick<ForwardRequest, 'route' | 'account' | 'priority'> & { remainingMs: number }

export type HeadDecision =
  | { kind: 'admitted', service: string }
  | Extract<ForwardOutcome, { kind: 'refused' }>
