/**
 * What operators ask of one entry host: its status, why a request went where
 * it did, and planned stops of the host itself or of an endpoint.
 */
import { operatorPaths } from '../../protocol/operators.js'
import type { ResponseWriter } from '../http/answers.js'
import type { RequestJournal } from '../http/requestJournal.js'
import type { Exchange, Route } from '../http/route.js'
import { decodePathSegment } from '../../utils/urlPath.js'

const DRAIN_SUFFIX = '/drain'

export interface OperatorRoutesOptions {
  answers: ResponseWriter
  journal: RequestJournal
  status: () => unknown
  /** Begins the planned stop of this host. */
  drainHost: () => void
  /** False if the endpoint is not known. */
  drainEndpoint: (endpointId: string) => boolean
  /** What the scheduler remembers of a request. */
  explainScheduling: (requestId: string) => unknown
}

export function operatorRoutes (options: OperatorRoutesOptions): Route[] {
  const { answers } = options
  return [
    operatorRoute('status', 'GET', operatorPaths.status, async exchange => answers.json(exchange, 200, options.status())),
    operatorRoute('explain', 'GET', operatorPaths.explain, async exchange => explain(options, exchange)),
    operatorRoute('drain', 'POST', operatorPaths.drain, async exchange => {
      answers.json(exchange, 202, { draining: true })
      options.drainHost()
    }),
    operatorRoute('drain_endpoint', 'POST', operatorPaths.endpoints, async exchange => drainEndpoint(options, exchange))
  ]
}

function operatorRoute (name: string, method: string, pathPrefix: string, handle: (exchange: Exchange) => Promise<void>): Route {
  return { name, method, pathPrefix, servedWithoutLease: true, handle }
}

function explain ({ answers, journal, explainScheduling }: OperatorRoutesOptions, exchange: Exchange): void {
  const id = decodePathSegment(exchange.path.slice(operatorPaths.explain.length))
  const entry = id === undefined ? undefined : journal.find(id)
  if (!entry) return answers.json(exchange, 404, { message: `this host remembers no request or attempt ${id ?? 'that cannot be read'}` })
  answers.json(exchange, 200, { ...entry, scheduling: explainScheduling(entry.requestId) })
}

function drainEndpoint ({ answers, drainEndpoint }: OperatorRoutesOptions, exchange: Exchange): void {
  const rest = exchange.path.slice(operatorPaths.endpoints.length)
  if (!rest.endsWith(DRAIN_SUFFIX)) return answers.json(exchange, 404, { message: `nothing is served at ${exchange.path}` })
  const endpointId = decodePathSegment(rest.slice(0, -DRAIN_SUFFIX.length))
  if (endpointId === undefined || !drainEndpoint(endpointId)) {
    return answers.json(exchange, 404, { message: `no endpoint ${endpointId ?? 'that cannot be read'} holds a lease` })
  }
  answers.json(exchange, 202, { endpointId, draining: true })
}
