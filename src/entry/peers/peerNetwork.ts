/**
 * The contract of calls between entry hosts, over framed TCP.
 */
import type { CallOutcome, RpcHandlers, RpcMethod } from '../../transport/rpcPeer.js'
import type { Progress } from '../../utils/progress.js'

export interface PeerNetwork {
  /** Methods that this host serves for the others. */
  readonly handlers: RpcHandlers
  call<Request, Reply> (hostId: string, method: RpcMethod<Request, Reply>, body: Request, progress: Progress): Promise<CallOutcome<Reply>>
  /** Hosts with an open connection, this one not included. */
  connectedHostIds (): string[]
}
