/**
 * The interface between the HTTP server of an entry host and the handlers of
 * its routes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RequestBody } from '../../clients/requestBody.js'
import type { Refusal } from '../../protocol/refusals.js'
import type { Progress } from '../../utils/progress.js'

/** As the method of a route, matches every HTTP method. */
export const ANY_METHOD = '*'

export interface Exchange {
  /** Identifies the request in logs and for `threaddrum explain`. */
  readonly requestId: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: RequestBody
  /** The scope of the progress closes when the caller disconnects or the response has ended. */
  readonly progress: Progress
  readonly path: string
  readonly query: URLSearchParams
}

export interface Route {
  /** Label of the route in metrics. */
  readonly name: string
  /** An HTTP method, or ANY_METHOD. */
  readonly method: string
  /** The route matches every path that starts with this string. */
  readonly pathPrefix: string
  /** Whether a host without a configuration lease, or a host that is stopping, still serves the route. */
  readonly servedWithoutLease: boolean
  handle (exchange: Exchange): Promise<void>
  /** Called instead of `handle` when the host accepts no new work; if absent, the refusal is sent unchanged. */
  refuseNewWork?(exchange: Exchange, refusal: Refusal): Promise<void>
}
