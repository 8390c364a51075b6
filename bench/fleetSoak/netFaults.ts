/**
 * Loaded into each program before it starts (`node --import`), so that the
 * program itself knows nothing of it: makes its outgoing connections fail as
 * links between hosts do, and its steady clock stand still as that of a suspended
 * machine does. A file says what is wrong at the moment; it is read
 * again and again. Between two programs each handles the connections that it
 * opened, so a cut holds for both directions of all of them.
 */
import { readFileSync, statSync } from 'node:fs'
import { Socket } from 'node:net'

export interface LinkFaults {
  /** Pairs of addresses between which nothing passes; what was sent comes once the cut is over, as TCP sends again. */
  cuts: Array<[string, string]>
  /** Sender and receiver: nothing passes this way. */
  oneWayCuts: Array<[string, string]>
  /** Grows with each reset of the connections to an address, which ends those that are open. */
  resets: Record<string, number>
  /** Grows when the open connections to an address fall silent for good; new ones work. */
  silences: Record<string, number>
  /** Grows with each time that the machine of an address is back from a suspension. */
  suspensions: Record<string, number>
}

export const NO_FAULTS: LinkFaults = { cuts: [], oneWayCuts: [], resets: {}, silences: {}, suspensions: {} }

/** Names the file with the faults. */
export const FAULTS_VARIABLE = 'SOAK_FAULTS_FILE'
/** The address of the host that the program runs on. */
export const ADDRESS_VARIABLE = 'SOAK_ADDRESS'

const POLL_MS = 40
/** Suspensions are longer; the clock is looked at more often. */
const LEAST_GAP_MS = 200

/** What net.Socket has and its types do not tell. */
interface InternalSocket {
  connect: (...args: unknown[]) => Socket
  push: (chunk: unknown, encoding?: unknown) => boolean
  _write: (chunk: unknown, encoding: unknown, callback: () => void) => void
  _writev: (chunks: unknown, callback: () => void) => void
}

interface Link {
  remoteIp: string
  resetsCount: number
  silencesCount: number
  /** What waits for the link, in order. */
  heldOut: Array<() => void>
  heldIn: Array<() => void>
}

class FaultyLinks {
  private readonly _file: string
  private readonly _ownIp: string
  private readonly _links = new Map<Socket, Link>()
  private _faults = NO_FAULTS
  private _readAtMs = 0
  private _readInode = 0

  constructor (file: string, ownIp: string) {
    this._file = file
    this._ownIp = ownIp
  }

  install (): void {
    const prototype = Socket.prototype as unknown as InternalSocket
    const { connect, push, _write, _writev } = prototype
    const open = (socket: Socket, args: unknown[]): Socket => this._open(socket, args, () => connect.apply(socket, args))
    const out = (socket: Socket, pass: () => void): void => this._pass(socket, 'out', pass)
    const into = (socket: Socket, pass: () => void): void => this._pass(socket, 'in', pass)
    prototype.connect = function (this: Socket, ...args: unknown[]) { return open(this, args) }
    prototype._write = function (this: Socket, chunk, encoding, callback) { out(this, () => _write.call(this, chunk, encoding, callback)) }
    prototype._writev = function (this: Socket, chunks, callback) { out(this, () => _writev.call(this, chunks, callback)) }
    prototype.push = function (this: Socket, chunk, encoding) {
      into(this, () => push.call(this, chunk, encoding))
      return true
    }
    setInterval(() => this._poll(), POLL_MS).unref()
    this._poll()
  }

  private _open (socket: Socket, args: unknown[], connect: () => void): Socket {
    const remoteIp = hostOf(args)
    if (remoteIp === undefined || remoteIp === this._ownIp) {
      connect()
      return socket
    }
    bindTo(args, this._ownIp)
    const { resets, silences } = this._faults
    this._links.set(socket, { remoteIp, resetsCount: resets[remoteIp] ?? 0, silencesCount: silences[remoteIp] ?? 0, heldOut: [], heldIn: [] })
    socket.once('close', () => this._links.delete(socket))
    this._pass(socket, 'out', connect)
    return socket
  }

  private _pass (socket: Socket, way: 'in' | 'out', pass: () => void): void {
    const link = this._links.get(socket)
    if (!link) return pass()
    const held = way === 'in' ? link.heldIn : link.heldOut
    if (held.length > 0 || this._isBlocked(link, way)) held.push(pass)
    else pass()
  }

  private _isBlocked ({ remoteIp, silencesCount }: Link, way: 'in' | 'out'): boolean {
    const { cuts, oneWayCuts, silences } = this._faults
    if ((silences[remoteIp] ?? 0) > silencesCount) return true
    if (cuts.some(pair => pair.includes(remoteIp) && pair.includes(this._ownIp))) return true
    const [from, to] = way === 'out' ? [this._ownIp, remoteIp] : [remoteIp, this._ownIp]
    return oneWayCuts.some(([sender, receiver]) => sender === from && receiver === to)
  }

  private _poll (): void {
    const { mtimeMs, ino } = statSync(this._file)
    if (mtimeMs === this._readAtMs && ino === this._readInode) return
    this._readAtMs = mtimeMs
    this._readInode = ino
    this._faults = JSON.parse(readFileSync(this._file, 'utf8')) as LinkFaults
    for (const [socket, link] of [...this._links]) this._apply(socket, link)
  }

  private _apply (socket: Socket, link: Link): void {
    if ((this._faults.resets[link.remoteIp] ?? 0) > link.resetsCount) {
      socket.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
      return
    }
    if (!this._isBlocked(link, 'out')) release(socket, link.heldOut)
    if (!this._isBlocked(link, 'in')) release(socket, link.heldIn)
  }
}

function release (socket: Socket, held: Array<() => void>): void {
  for (const pass of held.splice(0)) if (!socket.destroyed) pass()
}

/** The address that a connection is opened to; undefined for what is not of a loopback host. */
function hostOf (args: unknown[]): string | undefined {
  const [first] = args
  const options = (Array.isArray(first) ? first[0] : first) as { host?: unknown } | undefined
  return typeof options?.host === 'string' && options.host.startsWith('127.') ? options.host : undefined
}

/** Whoever takes the connection is to see which host it comes from. */
function bindTo (args: unknown[], ip: string): void {
  const [first] = args
  const options = (Array.isArray(first) ? first[0] : first) as { localAddress?: string }
  options.localAddress = ip
}

/** A steady clock that does not count suspensions. Timers that fell due meanwhile fire at once when it is back, as they do anyway a little early or late. */
class StandingClock {
  private readonly _file: string
  private readonly _ownIp: string
  private readonly _steadyMs = performance.now.bind(performance)
  private _lastMs = this._steadyMs()
  private _missedMs = 0
  private _suspensionsCount = 0

  constructor (file: string, ownIp: string) {
    this._file = file
    this._ownIp = ownIp
  }

  install (): void {
    Object.defineProperty(performance, 'now', { value: () => this._nowMs() })
    setInterval(() => this._nowMs(), POLL_MS).unref()
  }

  private _nowMs (): number {
    const steadyMs = this._steadyMs()
    if (steadyMs - this._lastMs > LEAST_GAP_MS) this._missedMs += this._suspendedMs(steadyMs - this._lastMs)
    this._lastMs = steadyMs
    return steadyMs - this._missedMs
  }

  /** A process that was only busy, or frozen, has missed nothing. */
  private _suspendedMs (gapMs: number): number {
    const { suspensions } = JSON.parse(readFileSync(this._file, 'utf8')) as LinkFaults
    const count = suspensions[this._ownIp] ?? 0
    if (count === this._suspensionsCount) return 0
    this._suspensionsCount = count
    return gapMs
  }
}

const file = process.env[FAULTS_VARIABLE]
if (file !== undefined) new StandingClock(file, process.env[ADDRESS_VARIABLE] ?? '').install()
if (file !== undefined) new FaultyLinks(file, process.env[ADDRESS_VARIABLE] ?? '').install()
