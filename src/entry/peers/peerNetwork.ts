/**
 * The interface for calls between entry hosts.
 */
import type { CallOutcome, RpcHandlers, RpcMethod } from '../../transport/rpcPeer.js'
import type { Progress } from '../../utils/progress.js'

export interface PeerNetwork {
  /** Handlers of the methods that this host serves to its peers. */
  readonly handlers: RpcHandlers
  call<Request, Reply> (hostId: string, method: RpcMethod<Request, Reply>, body: Request, progress: Progress): Promise<CallOutcome<Reply>>
  /** Returns the ids of the hosts with an open connection, without this host. */
  connectedHostIds (): string[]
}
