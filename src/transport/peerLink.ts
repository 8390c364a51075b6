/**
 * Calls to one address over a connection that is opened on demand and replaced
 * when it is lost or when calls over it are not answered.
 */
import type { Clock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import type { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { ConnectOutcome, Transport } from './connection.js'
import { RpcPeer, type CallOutcome, type RpcHandlers, type RpcMethod } from './rpcPeer.js'

/** Called when a connection is closed because calls over it are not answered. */
export type UnansweredListener = (address: string, reason: string) => void

/** Consecutive calls without a timely reply after which a connection is closed. */
const MAX_UNANSWERED_COUNT = 3

const CONNECT_TIMEOUT_MS = 2_000

export class PeerLink {
  readonly address: string
  private readonly _transport: Transport
  private readonly _scope: Scope
  private readonly _handlers: RpcHandlers
  private readonly _onFatal: (error: unknown) => void
  private readonly _onUnanswered: UnansweredListener
  private _peer: RpcPeer | undefined
  private _connecting: Promise<RpcPeer | undefined> | undefined
  private _unansweredCount = 0
  private readonly _closeListeners = new Set<() => void>()

  constructor (address: string, transport: Transport, scope: Scope, handlers: RpcHandlers, onFatal: (error: unknown) => void, onUnanswered: UnansweredListener = () => {}) {
    this.address = address
    this._transport = transport
    this._scope = scope
    this._handlers = handlers
    this._onFatal = onFatal
    this._onUnanswered = onUnanswered
  }

  /** Adds a listener that is called whenever the connection is closed; the returned function removes it. */
  onClosed (listener: () => void): () => void {
    this._closeListeners.add(listener)
    return () => this._closeListeners.delete(listener)
  }

  async call<Request, Reply> (method: RpcMethod<Request, Reply>, body: Request, progress: Progress): Promise<CallOutcome<Reply>> {
    const opened = await progress.race(this._open(progress.clock))
    if (opened.kind === 'deadlinePassed') return { kind: 'unserved', reason: `${this.address} did not accept a connection in time` }
    const peer = opened.value
    if (!peer) return { kind: 'unserved', reason: `${this.address} is unreachable` }
    const outcome = await peer.call(method, body, progress)
    this._countUnanswered(peer, outcome.kind === 'lost')
    return outcome
  }

  private async _open (clock: Clock): Promise<RpcPeer | undefined> {
    if (this._peer && !this._peer.connection.scope.isClosed) return this._peer
    this._connecting ??= this._connect(clock).finally(() => { this._connecting = undefined })
    return await this._connecting
  }

  private async _connect (clock: Clock): Promise<RpcPeer | undefined> {
    const scope = this._scope.child(`link to ${this.address}`)
    const cancelTimer = clock.callAt(clock.nowMs() + CONNECT_TIMEOUT_MS, () => scope.close(`no connection within ${CONNECT_TIMEOUT_MS} ms`))
    const outcome = await this._connectWithin(scope)
    cancelTimer()
    if (outcome.kind === 'unreachable') {
      scope.close('not connected')
      return undefined
    }
    outcome.connection.scope.onClose(() => {
      scope.close('connection closed')
      for (const listener of this._closeListeners) listener()
    })
    this._unansweredCount = 0
    this._peer = new RpcPeer(outcome.connection, this._handlers, this._onFatal)
    return this._peer
  }

  private async _connectWithin (scope: Scope): Promise<ConnectOutcome> {
    try {
      return await this._transport.connect(this.address, scope)
    } catch (error) {
      if (!(error instanceof ScopeClosedError) || this._scope.isClosed) throw error
      return { kind: 'unreachable', reason: error.message }
    }
  }

  private _countUnanswered (peer: RpcPeer, isLost: boolean): void {
    this._unansweredCount = isLost ? this._unansweredCount + 1 : 0
    if (this._unansweredCount < MAX_UNANSWERED_COUNT || peer.connection.scope.isClosed) return
    const reason = `no reply to ${MAX_UNANSWERED_COUNT} calls in a row`
    this._onUnanswered(this.address, reason)
    peer.connection.close(reason)
  }
}
