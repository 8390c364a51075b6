/**
 * What the system's own processes speak over: an open connection on which
 * messages keep their order and their borders. TCP with length-prefixed CBOR
 * carries it in production, memory in tests.
 */
import type { Scope } from '../utils/scope.js'

/** A message for many connections, which is encoded once. */
export class SharedMessage {
  readonly message: unknown
  /** Kept by the transport. */
  encoded: Buffer | undefined

  constructor (message: unknown) {
    this.message = message
  }
}

export interface Connection {
  /** Closes with the connection; awaits for the other side race against it. */
  readonly scope: Scope
  /** Queues a message; the connection closes if the other side does not keep up. */
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
