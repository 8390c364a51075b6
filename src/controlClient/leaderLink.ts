/**
 * Finds the leader among the control hosts and keeps a connection to it.
 */
import type { Transport } from '../transport/connection.js'
import { findLeaderMethod } from '../transport/controlMethods.js'
import { RpcPeer, type CallOutcome, type RpcHandlers, type RpcMethod } from '../transport/rpcPeer.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import { Progress } from '../utils/progress.js'
import type { RandomSource } from '../utils/randomSource.js'
import type { Scope } from '../utils/scope.js'
import { Signal } from '../utils/signal.js'

const ASK_TIMEOUT_MS = 500
const RETRY_MIN_MS = 50
const RETRY_MAX_MS = 150

export interface LeaderLinkParts {
  clock: Clock
  random: RandomSource
  transport: Transport
  handlers: RpcHandlers
  onFatal: (error: unknown) => void
  /** Control hosts as the settings name them. */
  addresses: string[]
}

export class LeaderLink {
  /** Notified when a leader was found. */
  readonly found = new Signal()
  private readonly _parts: LeaderLinkParts
  private readonly _lost = new Signal()
  private _known: string[]
  private _hint: string | undefined
  private _nextCandidate: number
  private _leader: RpcPeer | undefined

  constructor (parts: LeaderLinkParts) {
    this._parts = parts
    this._known = [...parts.addresses]
    // Hosts do not all begin with the same control host.
    this._nextCandidate = parts.random.int(0, Math.max(0, parts.addresses.length - 1))
  }

  /** Calls the leader of the moment; waits for one to be found. */
  async call<Request, Reply> (method: RpcMethod<Request, Reply>, body: Request, progress: Progress): Promise<CallOutcome<Reply>> {
    while (!this._leader) {
      const wasFound = await this.found.wait(progress.scope, progress)
      if (!wasFound) return { kind: 'unserved', reason: 'no leader was found' }
    }
    return await this._leader.call(method, body, progress)
  }

  /** The host called does not lead, or does not answer: look for another. */
  giveUp (reason: string, hint?: string): void {
    this._hint = hint
    const leader = this._leader
    this._leader = undefined
    leader?.connection.close(reason)
    this._lost.notify()
  }

  /** Keeps looking for the leader whenever there is none. */
  async run (scope: Scope): Promise<void> {
    const { clock, random } = this._parts
    for (;;) {
      while (this._leader) await this._lost.wait(scope)
      if (await this._tryCandidate(this._chooseCandidate(), scope)) continue
      await sleepUntil(clock, scope, clock.nowMs() + random.int(RETRY_MIN_MS, RETRY_MAX_MS))
    }
  }

  private _chooseCandidate (): string {
    const hint = this._hint
    this._hint = undefined
    return hint ?? this._known[this._nextCandidate++ % this._known.length] ?? ''
  }

  private async _tryCandidate (address: string, scope: Scope): Promise<boolean> {
    const peer = await this._connect(address, scope)
    if (!peer) return false
    const { clock } = this._parts
    const progress = new Progress(clock, scope, clock.nowMs() + ASK_TIMEOUT_MS)
    const outcome = await peer.call(findLeaderMethod, {}, progress)
    if (outcome.kind === 'replied') this._learn(outcome.body.memberAddresses)
    if (outcome.kind === 'replied' && outcome.body.isLeader) {
      this._adopt(peer)
      return true
    }
    if (outcome.kind === 'replied') this._hint = outcome.body.leaderAddress
    peer.connection.close('not the leader')
    return false
  }

  /** Addresses of the settings stay known: members may be replaced one after the other. */
  private _learn (memberAddresses: string[]): void {
    this._known = [...new Set([...this._parts.addresses, ...memberAddresses])]
  }

  private _adopt (peer: RpcPeer): void {
    this._leader = peer
    peer.connection.scope.onClose(() => {
      if (this._leader === peer) this.giveUp('connection lost')
    })
    this.found.notify()
  }

  private async _connect (address: string, scope: Scope): Promise<RpcPeer | undefined> {
    const { clock, transport, handlers, onFatal } = this._parts
    const connectScope = scope.child(`control host ${address}`)
    const cancelTimer = clock.callAt(clock.nowMs() + ASK_TIMEOUT_MS, () => connectScope.close('connecting takes too long'))
    try {
      const outcome = await transport.connect(address, connectScope)
      if (outcome.kind === 'connected') {
        outcome.connection.scope.onClose(() => connectScope.close('connection closed'))
        return new RpcPeer(outcome.connection, handlers, onFatal)
      }
    } catch (error) {
      if (!(error instanceof ScopeClosedError) || scope.isClosed) throw error
    } finally {
      cancelTimer()
    }
    connectScope.close('not connected')
    return undefined
  }
}
