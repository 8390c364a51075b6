/**
 * The HTTP server of an entry host: node:http with limits on header size,
 * connections and time, and a table of routes. Every request gets a deadline
 * and a scope that closes when the caller disconnects.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { ClientGuard } from '../../clients/guardedServer.js'
import { CallerHeader } from '../../protocol/callers.js'
import { Executed, RefusalReason, type Refusal } from '../../protocol/refusals.js'
import type { Clock } from '../../utils/clock.js'
import { ScopeClosedError } from '../../utils/errors.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import { parseAddress } from '../../utils/settings.js'
import type { FatalHandler } from '../../utils/supervisor.js'
import type { EntryLimits } from '../entrySettings.js'
import type { ResponseWriter } from './responseWriter.js'
import type { RequestJournal } from './requestJournal.js'
import { ANY_METHOD, type Exchange, type Route } from './route.js'

const KEEP_ALIVE_MS = 30_000
const MAX_HEADERS_COUNT = 200
const CONNECTIONS_CHECK_INTERVAL_MS = 1_000
const MAX_REQUEST_ID_LENGTH = 128

const HEAD_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW'
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'

export interface HttpServerOptions {
  scope: Scope
  clock: Clock
  random: RandomSource
  metrics: Metrics
  responseWriter: ResponseWriter
  journal: RequestJournal
  limits: EntryLimits
  /** Its name in logs. */
  name: string
  clients: ClientGuard
  routes: Route[]
  /** Returns the refusal for new work on a route, or undefined if the work is accepted. */
  refusalOf: (route: Route) => Refusal | undefined
  /** Waits until the configuration lease is certain again after a suspension of the machine. */
  settleLease: (scope: Scope) => Promise<void>
  onFatal: FatalHandler
}

export class HttpServer {
  private readonly _options: HttpServerOptions
  private readonly _server: Server
  private _inFlightCount = 0

  constructor (options: HttpServerOptions) {
    this._options = options
    const { limits } = options
    this._server = createServer({
      maxHeaderSize: limits.maxHeadBytes,
      headersTimeout: limits.headTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true
    })
    this._server.maxHeadersCount = MAX_HEADERS_COUNT
    options.clients.guard(this._server, options.name, () => ({ maxHeadBytes: limits.maxHeadBytes, maxRestMs: KEEP_ALIVE_MS }))
    this._server.on('request', (request, response) => this._onRequest(request, response))
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => answerClientError(error, socket as Socket))
  }

  /** Number of requests whose response has not ended. */
  get inFlightCount (): number {
    return this._inFlightCount
  }

  /**
   * Waits for the address.
   * @returns the bound address, `host:port`
   */
  async listen (address: string): Promise<string> {
    const { host, port } = parseAddress(address)
    const { clients, name, scope } = this._options
    await clients.listen(this._server, name, address, scope)
    scope.onClose(() => {
      this._server.close()
      this._server.closeAllConnections()
    })
    const bound = this._server.address()
    return `${host}:${typeof bound === 'object' && bound ? bound.port : port}`
  }

  private _onRequest (request: IncomingMessage, response: ServerResponse): void {
    this._serve(request, response).catch(error => {
      if (!(error instanceof ScopeClosedError)) this._options.onFatal('http', error)
    })
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, metrics, responseWriter, journal } = this._options
    const exchange = this._exchange(request, response)
    if (!exchange) {
      response.destroy()
      return
    }
    const route = this._findRoute(request.method ?? 'GET', exchange.path)
    if (!route) return responseWriter.json(exchange, 404, { message: `no route for ${request.method} ${exchange.path}` })
    const startedAtMs = clock.nowMs()
    metrics.count(MetricName.RequestReceived, { route: route.name })
    journal.add(exchange.requestId, route.name, clock.wallMs(), exchange.progress)
    response.once('finish', () => {
      metrics.count(MetricName.RequestAnswered, { route: route.name })
      metrics.timing(MetricName.RequestDurationMs, clock.nowMs() - startedAtMs, { route: route.name })
    })
    const malformed = this._deadlineRefusal(request)
    if (malformed) return responseWriter.refuse(exchange, malformed)
    if (this._options.refusalOf(route)) await this._options.settleLease(exchange.progress.scope)
    const refusal = this._options.refusalOf(route)
    if (!refusal) return await route.handle(exchange)
    if (route.refuseNewWork) return await route.refuseNewWork(exchange, refusal)
    responseWriter.refuse(exchange, refusal)
  }

  private _exchange (request: IncomingMessage, response: ServerResponse): Exchange | undefined {
    const { scope: serverScope, clock, random, limits } = this._options
    if (serverScope.isClosed) return undefined
    const url = request.url ?? '/'
    const queryStart = url.indexOf('?')
    const path = queryStart < 0 ? url : url.slice(0, queryStart)
    const query = new URLSearchParams(queryStart < 0 ? '' : url.slice(queryStart + 1))
    const scope = serverScope.child('request')
    this._inFlightCount++
    response.once('close', () => {
      this._inFlightCount--
      scope.close(response.writableFinished ? 'response ended' : 'the caller disconnected')
    })
    const waitMs = Math.min(deadlineOf(request) ?? limits.defaultDeadlineMs, limits.maxDeadlineMs)
    const progress = new Progress(clock, scope, clock.nowMs() + waitMs)
    return { requestId: requestIdOf(request) ?? random.id(), request, response, body: this._options.clients.bodyOf(request), progress, path, query }
  }

  private _deadlineRefusal (request: IncomingMessage): Refusal | undefined {
    const deadlineMs = deadlineOf(request)
    if (deadlineMs === undefined || deadlineMs > 0) return undefined
    return {
      reason: RefusalReason.MalformedRequest,
      executed: Executed.No,
      message: `${CallerHeader.DeadlineMs} must be a positive number of milliseconds`
    }
  }

  private _findRoute (method: string, path: string): Route | undefined {
    return this._options.routes.find(route => {
      const methodFits = route.method === ANY_METHOD || route.method === method
      return methodFits && path.startsWith(route.pathPrefix)
    })
  }
}

function deadlineOf (request: IncomingMessage): number | undefined {
  const text = request.headers[CallerHeader.DeadlineMs]
  if (text === undefined) return undefined
  const waitMs = Number(text)
  return Number.isFinite(waitMs) ? waitMs : 0
}

function requestIdOf (request: IncomingMessage): string | undefined {
  const given = request.headers['x-request-id']
  return typeof given === 'string' && given.length > 0 && given.length <= MAX_REQUEST_ID_LENGTH ? given : undefined
}

/** Responds to input that could not be parsed as a request. */
function answerClientError (error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const refusal: Refusal = { reason: RefusalReason.MalformedRequest, executed: Executed.No, message: error.message }
  const body = JSON.stringify(refusal)
  const head = [
    `HTTP/1.1 ${clientErrorStatus(error.code)}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close'
  ]
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`)
  // Not at once: what still arrives would reset the connection, and the reset overtake the answer.
  socket.destroySoon()
}

function clientErrorStatus (code: string | undefined): string {
  if (code === HEAD_OVERFLOW_CODE) return '431 Request Header Fields Too Large'
  if (code === REQUEST_TIMEOUT_CODE) return '408 Request Timeout'
  return '400 Bad Request'
}
