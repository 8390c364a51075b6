/**
 * Routes for operators of one entry host: its status, the log of a request's
 * attempts, and draining of the host or of an endpoint.
 */
import { operatorPaths } from '../../protocol/operators.js'
import type { ResponseWriter } from '../http/responseWriter.js'
import type { RequestJournal } from '../http/requestJournal.js'
import type { Exchange, Route } from '../http/route.js'
import { decodePathSegment } from '../../utils/urlPath.js'

const DRAIN_SUFFIX = '/drain'

export interface OperatorRoutesOptions {
  responseWriter: ResponseWriter
  journal: RequestJournal
  status: () => unknown
  /** Starts the planned stop of this host. */
  drainHost: () => void
  /** Returns false if the endpoint is unknown. */
  drainEndpoint: (endpointId: string) => boolean
  /** Returns the decisions that the scheduler logged for a request. */
  explainScheduling: (requestId: string) => unknown
}

export function operatorRoutes (options: OperatorRoutesOptions): Route[] {
  const { responseWriter } = options
  return [
    operatorRoute('status', 'GET', operatorPaths.status, async exchange => responseWriter.json(exchange, 200, options.status())),
    operatorRoute('explain', 'GET', operatorPaths.explain, async exchange => explain(options, exchange)),
    operatorRoute('drain', 'POST', operatorPaths.drain, async exchange => {
      responseWriter.json(exchange, 202, { draining: true })
      options.drainHost()
    }),
    operatorRoute('drain_endpoint', 'POST', operatorPaths.endpoints, async exchange => drainEndpoint(options, exchange))
  ]
}

function operatorRoute (name: string, method: string, pathPrefix: string, handle: (exchange: Exchange) => Promise<void>): Route {
  return { name, method, pathPrefix, servedWithoutLease: true, handle }
}

function explain ({ responseWriter, journal, explainScheduling }: OperatorRoutesOptions, exchange: Exchange): void {
  const id = decodePathSegment(exchange.path.slice(operatorPaths.explain.length))
  const entry = id === undefined ? undefined : journal.find(id)
  if (!entry) return responseWriter.json(exchange, 404, { message: `no record of request or attempt ${id ?? 'with a malformed id'} on this host` })
  responseWriter.json(exchange, 200, { ...entry, scheduling: explainScheduling(entry.requestId) })
}

function drainEndpoint ({ responseWriter, drainEndpoint }: OperatorRoutesOptions, exchange: Exchange): void {
  const rest = exchange.path.slice(operatorPaths.endpoints.length)
  if (!rest.endsWith(DRAIN_SUFFIX)) return responseWriter.json(exchange, 404, { message: `no route for ${exchange.path}` })
  const endpointId = decodePathSegment(rest.slice(0, -DRAIN_SUFFIX.length))
  if (endpointId === undefined || !drainEndpoint(endpointId)) {
    return responseWriter.json(exchange, 404, { message: `no endpoint ${endpointId ?? 'with a malformed id'} holds a lease` })
  }
  responseWriter.json(exchange, 202, { endpointId, draining: true })
}
