/**
 * Connections between entry hosts. For each host that is to stay connected, a
 * task reconnects whenever the connection closes; a connection to any other host
 * is opened at the first call. A connection whose peer does not answer a ping, as in a
 * network partition, is closed, which fails the pending calls on it.
 */
import { z } from 'zod'
import type { Connection, Transport } from '../../transport/connection.js'
import { RpcHandlers, RpcPeer, rpcMethod, type CallOutcome, type RpcMethod } from '../../transport/rpcPeer.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import type { Supervisor } from '../../utils/supervisor.js'
import { EntryEvent } from '../entryEvents.js'
import type { PeerNetwork } from './peerNetwork.js'

const HELLO_TIMEOUT_MS = 2_000
const PING_INTERVAL_MS = 1_000
const PING_TIMEOUT_MS = 2_000
const MIN_RECONNECT_DELAY_MS = 200
const MAX_RECONNECT_DELAY_MS = 3_000

const helloSchema = z.object({ hostId: z.string() })
type Hello = z.infer<typeof helloSchema>

const helloMethod = rpcMethod('peer.hello', helloSchema, helloSchema)
const pingMethod = rpcMethod('peer.ping', z.null(), z.null())

/** Handlers of one connection: `hello`, which each connection has for itself, and the methods shared by all connections. */
class ConnectionHandlers extends RpcHandlers {
  private readonly _shared: RpcHandlers

  constructor (shared: RpcHandlers) {
    super()
    this._shared = shared
  }

  override find (name: string): ReturnType<RpcHandlers['find']> {
    return super.find(name) ?? this._shared.find(name)
  }
}

export interface PeerMeshOptions {
  hostId: string
  supervisor: Supervisor
  clock: Clock
  random: RandomSource
  transport: Transport
  logger: Logger
  onFatal: (error: unknown) => void
  /** Returns the peer address of a host, `ip:port`; undefined if the host is not registered. */
  addressOf: (hostId: string) => string | undefined
}

export class PeerMesh implements PeerNetwork {
  readonly handlers = new RpcHandlers()
  private readonly _options: PeerMeshOptions
  private readonly _connectedPeers = new Map<string, RpcPeer>()
  private readonly _dialling = new Map<string, Promise<RpcPeer | undefined>>()
  private readonly _persistentScopes = new Map<string, Scope>()

  constructor (options: PeerMeshOptions) {
    this._options = options
    this.handlers.on(pingMethod, () => null)
  }

  async listen (address: string): Promise<void> {
    const { transport, supervisor } = this._options
    await transport.listen(address, supervisor.scope, connection => this._accept(connection))
  }

  connectedHostIds (): string[] {
    return [...this._connectedPeers.keys()]
  }

  async call<Request, Reply> (hostId: string, method: RpcMethod<Request, Reply>, body: Request, progress: Progress): Promise<CallOutcome<Reply>> {
    const peer = this._connectedPeers.get(hostId) ?? await progress.scope.race(this._dial(hostId))
    if (!peer) return { kind: 'unserved', reason: `host ${hostId} is unreachable` }
    return await peer.call(method, body, progress)
  }

  /** Sends a notification if the host is connected; returns whether it is. */
  notify<Request> (hostId: string, method: RpcMethod<Request, void>, body: Request): boolean {
    const peer = this._connectedPeers.get(hostId)
    peer?.notify(method, body)
    return peer !== undefined
  }

  /** Replaces the set of hosts to keep connections to. */
  keepConnected (hostIds: string[]): void {
    const wanted = new Set(hostIds)
    for (const [hostId, scope] of this._persistentScopes) {
      if (wanted.has(hostId)) continue
      this._persistentScopes.delete(hostId)
      scope.close('no longer kept connected')
    }
    for (const hostId of wanted) {
      if (this._persistentScopes.has(hostId)) continue
      const scope = this._options.supervisor.spawn(`peer ${hostId}`, scope => this._keepConnected(hostId, scope))
      this._persistentScopes.set(hostId, scope)
    }
  }

  private async _keepConnected (hostId: string, scope: Scope): Promise<void> {
    const { clock, random } = this._options
    let reconnectDelayMs = MIN_RECONNECT_DELAY_MS
    while (!scope.isClosed) {
      const peer = this._connectedPeers.get(hostId) ?? await scope.race(this._dial(hostId))
      if (peer) {
        reconnectDelayMs = MIN_RECONNECT_DELAY_MS
        await scope.race(untilClosed(peer.connection))
      }
      const jitterMs = random.int(0, reconnectDelayMs)
      await sleepUntil(clock, scope, clock.nowMs() + reconnectDelayMs + jitterMs)
      reconnectDelayMs = Math.min(reconnectDelayMs * 2, MAX_RECONNECT_DELAY_MS)
    }
  }

  private _dial (hostId: string): Promise<RpcPeer | undefined> {
    const running = this._dialling.get(hostId)
    if (running) return running
    const dialling = this._dialOnce(hostId).finally(() => this._dialling.delete(hostId))
    this._dialling.set(hostId, dialling)
    return dialling
  }

  private async _dialOnce (hostId: string): Promise<RpcPeer | undefined> {
    const { addressOf, supervisor, transport, clock } = this._options
    const address = addressOf(hostId)
    if (address === undefined || supervisor.scope.isClosed) return undefined
    const dialScope = supervisor.scope.child(`dial ${hostId}`)
    const progress = new Progress(clock, dialScope, clock.nowMs() + HELLO_TIMEOUT_MS)
    const connected = await progress.race(transport.connect(address, supervisor.scope))
    if (connected.kind === 'deadlinePassed' || connected.value.kind === 'unreachable') {
      dialScope.close('unreachable')
      return undefined
    }
    const { connection } = connected.value
    const peer = new RpcPeer(connection, new ConnectionHandlers(this.handlers), this._options.onFatal)
    const hello = await peer.call(helloMethod, { hostId: this._options.hostId }, progress)
    dialScope.close('dialled')
    if (hello.kind !== 'replied' || hello.body.hostId !== hostId) {
      connection.close('another host answers at this address')
      return undefined
    }
    this._register(hostId, peer)
    return peer
  }

  private _accept (connection: Connection): void {
    const handlers = new ConnectionHandlers(this.handlers)
    const peer = new RpcPeer(connection, handlers, this._options.onFatal)
    handlers.on(helloMethod, (hello: Hello) => {
      this._register(hello.hostId, peer)
      return { hostId: this._options.hostId }
    })
  }

  private _register (hostId: string, peer: RpcPeer): void {
    const { supervisor, logger } = this._options
    const { connection } = peer
    if (connection.scope.isClosed) return
    this._connectedPeers.set(hostId, peer)
    logger.event(EntryEvent.PeerConnected, { peerHostId: hostId })
    connection.scope.onClose(() => {
      if (this._connectedPeers.get(hostId) === peer) this._connectedPeers.delete(hostId)
      logger.event(EntryEvent.PeerDisconnected, { peerHostId: hostId, reason: connection.scope.closeReason })
    })
    supervisor.spawn(`pings ${hostId}`, scope => this._pingWhenIdle(peer, scope))
  }

  /** Pings the peer whenever the peer has been silent for PING_INTERVAL_MS, and closes the connection if no reply comes. */
  private async _pingWhenIdle (peer: RpcPeer, scope: Scope): Promise<void> {
    const { clock } = this._options
    const { connection } = peer
    let lastSeenAtMs = clock.nowMs()
    connection.onMessage(() => { lastSeenAtMs = clock.nowMs() })
    connection.scope.onClose(() => scope.close('connection closed'))
    for (;;) {
      await sleepUntil(clock, scope, lastSeenAtMs + PING_INTERVAL_MS)
      if (clock.nowMs() - lastSeenAtMs < PING_INTERVAL_MS) continue
      const progress = new Progress(clock, scope, clock.nowMs() + PING_TIMEOUT_MS)
      const pong = await peer.call(pingMethod, null, progress)
      if (pong.kind === 'lost') return connection.close('silent')
    }
  }
}

function untilClosed (connection: Connection): Promise<void> {
  return new Promise(resolve => connection.scope.onClose(resolve))
}
