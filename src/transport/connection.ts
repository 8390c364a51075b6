/**
 * Message connections between the system's own processes. A connection
 * preserves the order and the boundaries of messages. Production uses TCP with
 * length-prefixed CBOR, tests use memory.
 */
import type { Scope } from '../utils/scope.js'

/** A message that is sent over many connections and encoded once. */
export class SharedMessage {
  readonly message: unknown
  /** Encoded form, cached by the transport. */
  encoded: Buffer | undefined

  constructor (message: unknown) {
    this.message = message
  }
}

export interface Connection {
  /** Closes with the connection; anything that waits for the peer must race against it. */
  readonly scope: Scope
  /** Queues a message; the connection closes if the peer does not keep up. */
  send (message: unknown): void
  sendShared (shared: SharedMessage): void
  onMessage (listener: (message: unknown) => void): void
  close (reason: string): void
}

export type ConnectOutcome = { kind: 'connected', connection: Connection } | { kind: 'unreachable', reason: string }

export interface Listener {
  readonly address: string
  close (): Promise<void>
}

export interface Transport {
  /** @param address `ip:port` */
  connect (address: string, scope: Scope): Promise<ConnectOutcome>
  listen (address: string, scope: Scope, onConnection: (connection: Connection) => void): Promise<Listener>
}
