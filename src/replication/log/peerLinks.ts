/**
 * RPC links to the other replicas, one per address.
 */
import type { Transport } from '../../transport/connection.js'
import { PeerLink, type UnansweredListener } from '../../transport/peerLink.js'
import { RpcHandlers } from '../../transport/rpcPeer.js'
import type { Scope } from '../../utils/scope.js'

export class PeerLinks {
  readonly onFatal: (error: unknown) => void
  private readonly _transport: Transport
  private readonly _scope: Scope
  private readonly _onUnanswered: UnansweredListener | undefined
  private readonly _links = new Map<string, PeerLink>()
  /** Empty: each replica calls over its own connections, so nothing is served on an outgoing one. */
  private readonly _noHandlers = new RpcHandlers()

  constructor (transport: Transport, scope: Scope, onFatal: (error: unknown) => void, onUnanswered?: UnansweredListener) {
    this._transport = transport
    this._scope = scope
    this.onFatal = onFatal
    this._onUnanswered = onUnanswered
  }

  to (target: { peerAddress: string }): PeerLink {
    const address = target.peerAddress
    let link = this._links.get(address)
    if (!link) {
      link = new PeerLink(address, this._transport, this._scope, this._noHandlers, this.onFatal, this._onUnanswered)
      this._links.set(address, link)
    }
    return link
  }
}
