/**
 * Connections over TCP. Each message is a length of four bytes, big-endian,
 * followed by that many bytes of CBOR.
 */
import { createServer, connect as connectSocket, type Socket } from 'node:net'
import { Decoder, Encoder } from 'cbor-x'
import { systemClock } from '../utils/clock.js'
import { listenWhenFree } from '../utils/listenWhenFree.js'
import { silentLogger, type Logger } from '../utils/logger.js'
import { memoryMetrics, type Metrics } from '../utils/metrics.js'
import { Scope } from '../utils/scope.js'
import { isAddress, parseAddress } from '../utils/settings.js'
import type { Connection, ConnectOutcome, Listener, SharedMessage, Transport } from './connection.js'

const LENGTH_BYTES = 4
const MAX_FRAME_BYTES = 64 * 1024 * 1024
const MAX_BACKLOG_BYTES = 64 * 1024 * 1024
const KEEP_ALIVE_MS = 5_000

/** Traffic of all connections of a transport, for measurements. */
export interface TrafficCounts {
  sentBytes: number
  sentMessages: number
  receivedBytes: number
  receivedMessages: number
}

export interface TcpTransportOptions {
  /** IP address that outgoing connections are bound to. */
  localHost?: string
  /** Of a process that listens. */
  logger?: Logger
  /** Of a process that listens. */
  metrics?: Metrics
}

export class TcpTransport implements Transport {
  readonly counts: TrafficCounts = { sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0 }
  private readonly _localHost: string | undefined
  private readonly _reports: { logger: Logger, metrics: Metrics }

  constructor ({ localHost, logger = silentLogger, metrics = memoryMetrics() }: TcpTransportOptions = {}) {
    this._localHost = localHost
    this._reports = { logger, metrics }
  }

  async connect (address: string, scope: Scope): Promise<ConnectOutcome> {
    // Told by another host, which may be of another version or broken: a socket throws on a port that cannot be one.
    if (!isAddress(address)) return { kind: 'unreachable', reason: `"${address}" is no address` }
    const { host, port } = parseAddress(address)
    const socket = connectSocket({ host, port, localAddress: this._localHost, noDelay: true })
    const opened = new Promise<ConnectOutcome>(resolve => {
      socket.once('error', error => resolve({ kind: 'unreachable', reason: error.message }))
      socket.once('connect', () => {
        const connection = new TcpConnection(socket, scope.child(`to ${address}`), this.counts)
        resolve({ kind: 'connected', connection })
      })
    })
    const dispose = scope.onClose(() => socket.destroy())
    const outcome = await scope.race(opened)
    dispose()
    return outcome
  }

  /** Waits for the address. */
  async listen (address: string, scope: Scope, onConnection: (connection: Connection) => void): Promise<Listener> {
    const { host, port } = parseAddress(address)
    const server = createServer({ noDelay: true }, socket => {
      const from = `${socket.remoteAddress}:${socket.remotePort}`
      onConnection(new TcpConnection(socket, scope.child(`from ${from}`), this.counts))
    })
    await listenWhenFree({ server, name: 'peers', address, clock: systemClock, ...this._reports, scope })
    scope.onClose(() => server.close())
    const bound = server.address()
    const boundPort = typeof bound === 'object' && bound ? bound.port : port
    return {
      address: `${host}:${boundPort}`,
      close: () => new Promise(resolve => server.close(() => resolve()))
    }
  }
}

class TcpConnection implements Connection {
  readonly scope: Scope
  private readonly _socket: Socket
  private readonly _counts: TrafficCounts
  private readonly _encoder = new Encoder({ useRecords: false, mapsAsObjects: true })
  private readonly _decoder = new Decoder({ useRecords: false, mapsAsObjects: true })
  private readonly _listeners: Array<(message: unknown) => void> = []
  /** What has arrived of a message that is not complete. */
  private _pending: Buffer[] = []
  private _pendingBytes = 0

  constructor (socket: Socket, scope: Scope, counts: TrafficCounts) {
    this._socket = socket
    this.scope = scope
    this._counts = counts
    socket.setKeepAlive(true, KEEP_ALIVE_MS)
    socket.on('data', chunk => this._onData(chunk))
    socket.on('error', error => this.close(error.message))
    socket.on('close', () => this.close('closed by the other side'))
    scope.onClose(() => socket.destroy())
  }

  send (message: unknown): void {
    if (!this.scope.isClosed) this._write(this._frame(message))
  }

  sendShared (shared: SharedMessage): void {
    if (this.scope.isClosed) return
    shared.encoded ??= this._frame(shared.message)
    this._write(shared.encoded)
  }

  private _frame (message: unknown): Buffer {
    const body = this._encoder.encode(message)
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
    frame.writeUInt32BE(body.length, 0)
    body.copy(frame, LENGTH_BYTES)
    return frame
  }

  private _write (frame: Buffer): void {
    this._counts.sentBytes += frame.length
    this._counts.sentMessages++
    this._socket.write(frame)
    if (this._socket.writableLength > MAX_BACKLOG_BYTES) this.close(`the peer does not keep up: ${this._socket.writableLength} bytes are queued`)
  }

  onMessage (listener: (message: unknown) => void): void {
    this._listeners.push(listener)
  }

  close (reason: string): void {
    this.scope.close(reason)
  }

  private _onData (chunk: Buffer): void {
    this._counts.receivedBytes += chunk.length
    this._pending.push(chunk)
    this._pendingBytes += chunk.length
    for (let lengthBytes = this._nextLength(); lengthBytes !== undefined && this._pendingBytes >= LENGTH_BYTES + lengthBytes; lengthBytes = this._nextLength()) {
      this._deliver(this._take(LENGTH_BYTES + lengthBytes).subarray(LENGTH_BYTES))
      if (this.scope.isClosed) return
    }
  }

  /** Length of the message that arrives; undefined until it is known, and if it is not allowed. */
  private _nextLength (): number | undefined {
    if (this._pendingBytes < LENGTH_BYTES) return undefined
    let [first] = this._pending
    if (first && first.length < LENGTH_BYTES) [first] = this._pending = [Buffer.concat(this._pending)]
    const lengthBytes = first?.readUInt32BE(0) ?? 0
    if (lengthBytes <= MAX_FRAME_BYTES) return lengthBytes
    this.close(`frame of ${lengthBytes} bytes exceeds the limit of ${MAX_FRAME_BYTES}`)
    return undefined
  }

  /** Takes bytes that have arrived, which are joined once, however many pieces they came in. */
  private _take (lengthBytes: number): Buffer {
    const [first] = this._pending
    const joined = first && first.length >= lengthBytes ? first : Buffer.concat(this._pending, this._pendingBytes)
    const rest = first === joined ? this._pending.slice(1) : []
    const remaining = joined.subarray(lengthBytes)
    this._pending = remaining.length > 0 ? [remaining, ...rest] : rest
    this._pendingBytes -= lengthBytes
    return joined.subarray(0, lengthBytes)
  }

  private _deliver (body: Buffer): void {
    this._counts.receivedMessages++
    let message: unknown
    try {
      message = this._decoder.decode(body)
    } catch (error) {
      return this.close(`undecodable frame: ${(error as Error).message}`)
    }
    for (const listener of this._listeners) listener(message)
  }
}
