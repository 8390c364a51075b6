/**
 * Connections of entry hosts: serves their calls, and pushes committed changes
 * over each connection on which a host renews its lease.
 */
import type { Connection } from '../transport/connection.js'
import { changesMethod, findLeaderMethod, queryMethod, readIndexMethod, renewMethod, submitMethod } from '../transport/controlMethods.js'
import { RpcHandlers, RpcPeer } from '../transport/rpcPeer.js'
import type { Clock } from '../utils/clock.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { RenewReply, RenewRequest } from '../protocol/controlMessages.js'
import type { ControlNode } from './controlNode.js'

/** Limit of changes in one notice; a host that lacks more changes gets the rest with its next renewal. */
const MAX_PUSHED_COUNT = 256
/** Upper bound of the time for which a client can make a handler wait. */
const MAX_WAIT_MS = 30_000

interface Session {
  peer: RpcPeer
  /** Latest revision that the host has been sent; undefined before its first renewal. */
  sentRevision: number | undefined
}

export class ClientSessions {
  private readonly _node: ControlNode
  private readonly _clock: Clock
  private readonly _onFatal: (error: unknown) => void
  private readonly _sessions = new Set<Session>()

  constructor (node: ControlNode, clock: Clock, onFatal: (error: unknown) => void) {
    this._node = node
    this._clock = clock
    this._onFatal = onFatal
  }

  get count (): number {
    return this._sessions.size
  }

  /**
   * Serves a connection.
   * @param registerOthers registers the handlers of further methods on the same connection
   */
  accept (connection: Connection, registerOthers: (handlers: RpcHandlers, peerOf: () => RpcPeer) => void): RpcPeer {
    const handlers = new RpcHandlers()
    registerOthers(handlers, () => session.peer)
    const session: Session = { peer: new RpcPeer(connection, handlers, this._onFatal), sentRevision: undefined }
    const progress = (remainingMs: number): Progress => (
      new Progress(this._clock, connection.scope, this._clock.nowMs() + Math.min(remainingMs, MAX_WAIT_MS))
    )
    handlers.on(findLeaderMethod, () => this._findLeader())
    handlers.on(submitMethod, ({ command }, remainingMs) => this._node.submit(command, progress(remainingMs)))
    handlers.on(queryMethod, ({ query }, remainingMs) => this._node.query(query, progress(remainingMs)))
    handlers.on(renewMethod, (request, remainingMs) => this._renew(session, request, progress(remainingMs)))
    handlers.on(readIndexMethod, (_request, remainingMs) => this._node.readIndex(progress(remainingMs)))
    this._sessions.add(session)
    connection.scope.onClose(() => this._sessions.delete(session))
    return session.peer
  }

  /** Pushes committed changes as they are applied, while this host leads. */
  async pushChanges (scope: Scope): Promise<void> {
    for (;;) {
      await this._node.replica.applied.wait(scope)
      if (this._node.isLeader) this._pushToAll()
    }
  }

  private _findLeader () {
    const { isLeader, leader } = this._node
    const memberAddresses = this._node.replica.core.members.map(member => member.peerAddress)
    return { isLeader, leaderAddress: leader?.peerAddress, memberAddresses }
  }

  private async _renew (session: Session, request: RenewRequest, progress: Progress): Promise<RenewReply> {
    const reply = await this._node.renew(request, progress)
    const isGranted = reply.kind === 'renewed' || reply.kind === 'listing'
    session.sentRevision = isGranted ? this._node.state.revision : undefined
    return reply
  }

  private _pushToAll (): void {
    const { revision, history } = this._node.state
    const clusterId = this._node.replica.core.clusterId ?? ''
    for (const session of this._sessions) {
      if (session.sentRevision === undefined || session.sentRevision >= revision) continue
      const since = history.since(session.sentRevision)
      session.sentRevision = revision
      const fitsOneNotification = since.kind === 'changes' && since.changes.length <= MAX_PUSHED_COUNT
      if (fitsOneNotification) session.peer.notify(changesMethod, { clusterId, changes: since.changes })
    }
  }
}
