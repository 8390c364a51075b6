/**
 * Puts the connections of an HTTP server under the account of the process: bounds on
 * what each client may cost, and their bodies for the handlers of the server.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../utils/clock.js'
import { listenWhenFree } from '../utils/listenWhenFree.js'
import type { Logger } from '../utils/logger.js'
import { LogThrottle } from '../utils/logThrottle.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { Scope } from '../utils/scope.js'
import { ClientConnection, type ConnectionBounds } from './clientConnection.js'
import { ClientEvent } from './clientEvents.js'
import { ClientLimit, type ClientRoom } from './clientRoom.js'
import { ReadTurns } from './readTurns.js'
import { RequestBody } from './requestBody.js'

const CHECK_INTERVAL_MS = 1_000
/** By the error code of Node.js. */
const LIMITS_OF_THE_PARSER: ReadonlyMap<string, ClientLimit> = new Map([
  ['HPE_HEADER_OVERFLOW', ClientLimit.HeadBytes],
  ['ERR_HTTP_REQUEST_TIMEOUT', ClientLimit.HeadTime]
])

export interface ClientGuardOptions {
  room: ClientRoom
  clock: Clock
  logger: Logger
  metrics: Metrics
}

/** Guards all servers of a process. */
export class ClientGuard {
  readonly room: ClientRoom
  private readonly _options: ClientGuardOptions
  private readonly _turns = new ReadTurns()
  private readonly _throttle: LogThrottle
  private readonly _connections = new Map<Socket, ClientConnection>()
  /** Set while there are connections. */
  private _timer: NodeJS.Timeout | undefined
  private readonly _bodies = new WeakMap<IncomingMessage, RequestBody>()

  constructor (options: ClientGuardOptions) {
    this._options = options
    this.room = options.room
    this._throttle = new LogThrottle(options.clock)
  }

  /**
   * Called before the server listens.
   * @param listener its name in logs
   * @param bounds on what one client may send and how long it may rest, as of now
   */
  guard (server: Server, listener: string, bounds: () => ConnectionBounds): void {
    server.on('connection', (socket: Socket) => this._open(socket, listener, bounds))
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
      const body = this._connections.get(request.socket)?.began(request, response)
      if (body) this._bodies.set(request, body)
    })
    server.prependListener('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      const limit = LIMITS_OF_THE_PARSER.get(error.code ?? '')
      if (limit !== undefined) this._record(limit, listener, socket.remoteAddress)
    })
  }

  /** Resolves once a guarded server listens, which waits for its address. */
  async listen (server: Server, listener: string, address: string, scope: Scope): Promise<void> {
    const { clock, logger, metrics } = this._options
    await listenWhenFree({ server, name: listener, address, clock, logger, metrics, scope })
  }

  /** The body of a request to a guarded server; one without bounds for any other. */
  bodyOf (request: IncomingMessage): RequestBody {
    const known = this._bodies.get(request)
    if (known) return known
    const body = new RequestBody(request)
    this._bodies.set(request, body)
    return body
  }

  private _open (socket: Socket, listener: string, bounds: () => ConnectionBounds): void {
    const { clock } = this._options
    const onLimit = (limit: ClientLimit, from: string | undefined): void => this._record(limit, listener, from)
    if (!this.room.admits()) {
      onLimit(ClientLimit.Connections, socket.remoteAddress)
      socket.destroy()
      return
    }
    this._connections.set(socket, new ClientConnection({ socket, room: this.room, turns: this._turns, nowMs: () => clock.nowMs(), bounds, onLimit }))
    socket.once('close', () => this._connections.delete(socket))
    this._timer ??= setInterval(() => this._check(), CHECK_INTERVAL_MS).unref()
  }

  /** A process without clients is not woken up for them. */
  private _check (): void {
    const { clock, metrics } = this._options
    const nowMs = clock.nowMs()
    for (const connection of this._connections.values()) connection.check(nowMs)
    if (this._connections.size === 0) {
      clearInterval(this._timer)
      this._timer = undefined
    }
    metrics.gauge(MetricName.ClientsConnections, this.room.connectionsCount)
    metrics.gauge(MetricName.ClientsConnectionBytes, this.room.connectionBytes)
    metrics.gauge(MetricName.ClientsContentBytes, this.room.contentBytes)
  }

  private _record (limit: ClientLimit, listener: string, from: string | undefined): void {
    const { logger, metrics } = this._options
    metrics.count(MetricName.ClientsLimited, { limit, listener })
    if (!this._throttle.shouldLog(`${listener} ${limit}`)) return
    const { connectionsCount, connectionBytes, contentBytes } = this.room
    logger.event(ClientEvent.Limited, { limit, listener, from, connectionsCount, connectionBytes, contentBytes })
  }
}
