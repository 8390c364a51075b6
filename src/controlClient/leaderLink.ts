/**
 * Finds the leader among the control hosts and maintains a connection to it.
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

const FIND_LEADER_TIMEOUT_MS = 500
const RETRY_MIN_MS = 50
const RETRY_MAX_MS = 150

export interface LeaderLinkOptions {
  clock: Clock
  random: RandomSource
  transport: Transport
  handlers: RpcHandlers
  onFatal: (error: unknown) => void
  /** Addresses of the control hosts from the settings. */
  addresses: string[]
}

export class LeaderLink {
  /** Notified when a leader has been found. */
  readonly leaderFound = new Signal()
  private readonly _options: LeaderLinkOptions
  private readonly _leaderLost = new Signal()
  private _knownAddresses: string[]
  private _hint: string | undefined
  private _nextCandidate: number
  private _leader: RpcPeer | undefined

  constructor (options: LeaderLinkOptions) {
    this._options = options
    this._knownAddresses = [...options.addresses]
    // The random start spreads the first requests of all hosts over the control hosts.
    this._nextCandidate = options.random.int(0, Math.max(0, options.addresses.length - 1))
  }

  /** Calls the current leader; waits until a leader is found. */
  async call<Request, Reply> (method: RpcMethod<Request, Reply>, body: Request, progress: Progress): Promise<CallOutcome<Reply>> {
    while (!this._leader) {
      const wasFound = await this.leaderFound.wait(progress.scope, progress)
      if (!wasFound) return { kind: 'unserved', reason: 'no leader was found' }
    }
    return await this._leader.call(method, body, progress)
  }

  /**
   * Disconnects from the current leader, because it no longer leads or does not answer, and starts a new search.
   * @param hint address to try first
   */
  dropLeader (reason: string, hint?: string): void {
    this._hint = hint
    const leader = this._leader
    this._leader = undefined
    leader?.connection.close(reason)
    this._leaderLost.notify()
  }

  /** Searches for the leader whenever none is connected. */
  async run (scope: Scope): Promise<void> {
    const { clock, random } = this._options
    for (;;) {
      while (this._leader) await this._leaderLost.wait(scope)
      if (await this._tryCandidate(this._chooseCandidate(), scope)) continue
      await sleepUntil(clock, scope, clock.nowMs() + random.int(RETRY_MIN_MS, RETRY_MAX_MS))
    }
  }

  private _chooseCandidate (): string {
    const hint = this._hint
    this._hint = undefined
    return hint ?? this._knownAddresses[this._nextCandidate++ % this._knownAddresses.length] ?? ''
  }

  private async _tryCandidate (address: string, scope: Scope): Promise<boolean> {
    const peer = await this._connect(address, scope)
    if (!peer) return false
    const { clock } = this._options
    const progress = new Progress(clock, scope, clock.nowMs() + FIND_LEADER_TIMEOUT_MS)
    const outcome = await peer.call(findLeaderMethod, {}, progress)
    if (outcome.kind === 'replied') this._updateAddresses(outcome.body.memberAddresses)
    if (outcome.kind === 'replied' && outcome.body.isLeader) {
      this._useLeader(peer)
      return true
    }
    if (outcome.kind === 'replied') this._hint = outcome.body.leaderAddress
    peer.connection.close('not the leader')
    return false
  }

  /** Keeps the addresses from the settings, because members may be replaced one after the other. */
  private _updateAddresses (memberAddresses: string[]): void {
    this._knownAddresses = [...new Set([...this._options.addresses, ...memberAddresses])]
  }

  private _useLeader (peer: RpcPeer): void {
    this._leader = peer
    peer.connection.scope.onClose(() => {
      if (this._leader === peer) this.dropLeader('connection lost')
    })
    this.leaderFound.notify()
  }

  private async _connect (address: string, scope: Scope): Promise<RpcPeer | undefined> {
    const { clock, transport, handlers, onFatal } = this._options
    const connectScope = scope.child(`control host ${address}`)
    const cancelTimer = clock.callAt(clock.nowMs() + FIND_LEADER_TIMEOUT_MS, () => connectScope.close(`no connection within ${FIND_LEADER_TIMEOUT_MS} ms`))
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
