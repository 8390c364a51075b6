/**
 * The contract between the HTTP server of an entry host and the parts that
 * answer its routes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Refusal } from '../../protocol/refusals.js'
import type { Progress } from '../../utils/progress.js'

/** Matches every method of a route. */
export const ANY_METHOD = '*'

export interface Exchange {
  /** Names the request in logs and for `threaddrum explain`. */
  readonly requestId: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Its scope closes when the caller hangs up or the answer has ended. */
  readonly progress: Progress
  readonly path: string
  readonly query: URLSearchParams
}

export interface Route {
  /** Name for metrics. */
  readonly name: string
  /** An HTTP method, or ANY_METHOD. */
  readonly method: string
  /** Matched by prefix. */
  readonly pathPrefix: string
  /** Whether a host without a configuration lease, or one that is stopping, still serves it. */
  readonly servedWithoutLease: boolean
  handle (exchange: Exchange): Promise<void>
  /** Answers in place of handle when the host takes no new work; without it the refusal goes out as it is. */
  refuseNewWork?(exchange: Exchange, refusal: Refusal): Promise<void>
}
