/**
 * The contract between the HTTP server of an entry host and the parts that
 * answer its routes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Progress } from '../../utils/progress.js'

export interface Exchange {
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
  readonly method: string
  /** Matched by prefix. */
  readonly pathPrefix: string
  /** Whether a host without a configuration lease, or one that is stopping, still serves it. */
  readonly servedWithoutLease: boolean
  handle (exchange: Exchange): Promise<void>
}
