/**
 * In-memory connections for tests and benchmarks. Messages are encoded and
 * decoded as on the wire, and delivered on the clock that is passed in.
 */
import { decode, encode } from 'cbor-x'
import type { Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import type { Connection, ConnectOutcome, Listener, SharedMessage, Transport } from './connection.js'

/** Delay of one message between two hosts; undefined drops the message. */
export type MessageDelay = (from: string, to: string) => number | undefined

interface RegisteredListener {
  scope: Scope
  onConnection: (connection: Connection) => void
}

/** The listeners and connections of all hosts of a test. */
export class MemoryNetwork {
  private readonly _clock: Clock
  private readonly _messageDelay: MessageDelay
  private readonly _listeners = new Map<string, RegisteredListener>()
  private readonly _connections = new Set<MemoryConnection>()
  private readonly _cuts = new Set<string>()

  constructor (clock: Clock, delayMs: MessageDelay = () => 0) {
    this._clock = clock
    this._messageDelay = delayMs
  }

  /** The transport of one host, identified by its IP address. */
  host (localHost: string): Transport {
    return {
      connect: async (address, scope) => this._connect(localHost, address, scope),
      listen: async (address, scope, onConnection) => this._listen(address, scope, onConnection)
    }
  }

  /** Silently drops all messages between two hosts, in both directions. */
  cut (hostA: string, hostB: string): void {
    this._cuts.add(`${hostA}|${hostB}`)
    this._cuts.add(`${hostB}|${hostA}`)
  }

  /** Silently drops all messages from one host to another. */
  cutOneWay (from: string, to: string): void {
    this._cuts.add(`${from}|${to}`)
  }

  heal (): void {
    this._cuts.clear()
  }

  /** Closes every connection of a host, as when its process ends. */
  reset (host: string): void {
    for (const connection of [...this._connections]) {
      if (connection.involves(host)) connection.close('reset')
    }
  }

  private _connect (localHost: string, address: string, scope: Scope): ConnectOutcome {
    const remoteHost = hostOf(address)
    const listening = this._listeners.get(address)
    if (!listening || listening.scope.isClosed || this._isCut(localHost, remoteHost)) {
      return { kind: 'unreachable', reason: `nothing answers at ${address}` }
    }
    const local = new MemoryConnection(scope.child(`to ${address}`), localHost, remoteHost, this._createDeliver())
    const remote = new MemoryConnection(listening.scope.child(`from ${localHost}`), remoteHost, localHost, this._createDeliver())
    local.pairWith(remote)
    remote.pairWith(local)
    for (const connection of [local, remote]) {
      this._connections.add(connection)
      connection.scope.onClose(() => this._connections.delete(connection))
    }
    listening.onConnection(remote)
    return { kind: 'connected', connection: local }
  }

  private _listen (address: string, scope: Scope, onConnection: (connection: Connection) => void): Listener {
    this._listeners.set(address, { scope, onConnection })
    const remove = (): void => { this._listeners.delete(address) }
    scope.onClose(remove)
    return { address, close: async () => remove() }
  }

  private _isCut (from: string, to: string): boolean {
    return this._cuts.has(`${from}|${to}`)
  }

  private _createDeliver (): Deliver {
    let lastAtMs = 0
    return (from, to, deliver) => {
      const delayMs = this._isCut(from, to) ? undefined : this._messageDelay(from, to)
      if (delayMs === undefined) return
      // Never earlier than the previous message, to preserve the order on the connection.
      lastAtMs = Math.max(lastAtMs, this._clock.nowMs() + delayMs)
      this._clock.callAt(lastAtMs, deliver)
    }
  }
}

type Deliver = (from: string, to: string, deliver: () => void) => void

class MemoryConnection implements Connection {
  readonly scope: Scope
  private readonly _from: string
  private readonly _to: string
  private readonly _deliver: Deliver
  private readonly _listeners: Array<(message: unknown) => void> = []
  private _remote: MemoryConnection | undefined

  constructor (scope: Scope, from: string, to: string, deliver: Deliver) {
    this.scope = scope
    this._from = from
    this._to = to
    this._deliver = deliver
  }

  involves (host: string): boolean {
    return this._from === host || this._to === host
  }

  pairWith (other: MemoryConnection): void {
    this._remote = other
    this.scope.onClose(() => this._deliver(this._from, this._to, () => other.scope.close('closed by the other side')))
  }

  sendShared ({ message }: SharedMessage): void {
    this.send(message)
  }

  send (message: unknown): void {
    if (this.scope.isClosed) return
    const copy: unknown = decode(encode(message))
    this._deliver(this._from, this._to, () => this._remote?._receive(copy))
  }

  onMessage (listener: (message: unknown) => void): void {
    this._listeners.push(listener)
  }

  close (reason: string): void {
    this.scope.close(reason)
  }

  private _receive (message: unknown): void {
    if (this.scope.isClosed) return
    for (const listener of this._listeners) listener(message)
  }
}

function hostOf (address: string): string {
  return address.split(':')[0] ?? address
}
