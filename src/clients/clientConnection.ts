/**
 * One connection of a client to an HTTP server: what is read of it in a turn, what it
 * holds, and when it ends. It stands between the socket and the parser of the server,
 * which otherwise takes all that has arrived at once.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ClientLimit, type ClientRoom, type RoomMember } from './clientRoom.js'
import type { ReadTurns, TurnTaker } from './readTurns.js'
import { RequestBody } from './requestBody.js'

/** Handed to the parser at once. */
const SLICE_BYTES = 8 * 1024
const HEAD_STEP_BYTES = 1024
/** Reading stops above so many requests of one connection that are not answered. */
const MAX_OPEN_REQUESTS_COUNT = 8
/** Objects of the connection, its parser and its buffers. */
const CONNECTION_BYTES = 6 * 1024
/** The parser and the fields of a head hold its bytes so many times. */
const HEAD_COPIES_COUNT = 2
/** Empty lines before a request, and what the limit on heads does not count of them. */
const HEAD_SLACK_BYTES = 4 * 1024
/** Costs of a turn, in bytes of which only a copy is made. */
const CHUNK_COST_BYTES = 256
const REQUEST_COST_BYTES = 32 * 1024
/** More of a body than this behind its answer ends the connection. */
const MAX_BYTES_AFTER_ANSWER = 64 * 1024
const MAX_MS_AFTER_ANSWER = 2_000
/** A client that still sends gets to read its answer; what comes meanwhile is thrown away. */
const LINGER_MS = 5_000
const LINGER_BYTES = 64 * 1024 * 1024
/** The server's own time for a rest goes first. */
const REST_SLACK_MS = 1_000

export interface ConnectionBounds {
  maxHeadBytes: number
  /** How long a client may rest, between requests and within one. */
  maxRestMs: number
}

export interface ClientConnectionOptions {
  socket: Socket
  room: ClientRoom
  turns: ReadTurns
  nowMs: () => number
  bounds: () => ConnectionBounds
  onLimit: (limit: ClientLimit, from: string | undefined) => void
}

enum Reason { Turn, Body, Answers, Server }

export class ClientConnection implements RoomMember, TurnTaker {
  private readonly _options: ClientConnectionOptions
  /** The parser of the server. */
  private readonly _parse: (bytes: Buffer) => void
  private readonly _resume: () => void
  private readonly _pause: () => void
  private readonly _held = new Set<Reason>()
  /** What was read of the socket and not handed to the parser yet. */
  private _unparsed: Buffer | undefined
  private _connectionBytes = 0
  private _body: RequestBody | undefined
  private readonly _open = new Map<ServerResponse, RequestBody>()
  private _isParsing = false
  private _isHeadRefused = false
  private _requestsCount = 0
  private _chunksCount = 0
  private _headBytes = 0
  /** Since when nothing of a request has come, and none is worked on; undefined while one is. */
  private _restsSinceMs: number | undefined
  private _lastReadAtMs: number
  private _answered: { atMs: number, bytes: number } | undefined
  private _lingering: { untilMs: number, bytes: number } | undefined
  private _takenBytes = 0
  private _takenAtMs: number

  constructor (options: ClientConnectionOptions) {
    this._options = options
    const { socket, room, nowMs } = options
    this._lastReadAtMs = this._takenAtMs = this._restsSinceMs = nowMs()
    const [parse] = socket.listeners('data')
    if (!parse) throw new Error('the HTTP server does not listen for the bytes of its connection')
    this._parse = parse as (bytes: Buffer) => void
    // Adding a listener also makes the server's parser give back the reading of the socket.
    socket.on('data', bytes => this._onData(bytes))
    socket.off('data', this._parse)
    this._resume = socket.resume.bind(socket)
    this._pause = socket.pause.bind(socket)
    const destroySoon = socket.destroySoon.bind(socket)
    socket.resume = () => this._release(Reason.Server)
    socket.pause = () => this._hold(Reason.Server)
    socket.destroySoon = () => { if (!this._linger()) destroySoon() }
    room.join(this)
    socket.once('close', () => this._leave())
    this._setConnectionBytes()
  }

  /** Called with each request that the server has read the head of. */
  began (request: IncomingMessage, response: ServerResponse): RequestBody {
    const { room, nowMs, bounds } = this._options
    this._requestsCount++
    this._headBytes = 0
    this._restsSinceMs = undefined
    this._answered = undefined
    const body = this._body = new RequestBody(request, {
      room,
      member: this,
      statedBytes: statedBytesOf(request),
      nowMs,
      maxRestMs: () => bounds().maxRestMs,
      hold: () => this._hold(Reason.Body),
      release: () => this._release(Reason.Body),
      onChunk: () => { this._chunksCount++ },
      onLimit: limit => this._limited(limit)
    })
    this._open.set(response, body)
    response.once('finish', () => this._onAnswered(body))
    response.once('close', () => this._onClosed(response, body))
    if (this._open.size >= MAX_OPEN_REQUESTS_COUNT) this._hold(Reason.Answers)
    return body
  }

  /** The client gets to read what was written, and the connection ends. */
  end (): void {
    if (!this._linger()) this._options.socket.destroySoon()
  }

  contentBytes (): number {
    let bytes = 0
    for (const body of this._open.values()) bytes += body.heldBytes
    return bytes
  }

  awaitsBody (): boolean {
    return this._body?.isAwaited === true && !this._held.has(Reason.Turn)
  }

  stillMs (): number {
    const nowMs = this._options.nowMs()
    if (this.awaitsBody()) return nowMs - (this._body?.lastHeardAtMs ?? nowMs)
    const isWorkedOn = this._unparsed !== undefined || this._open.size > 0
    return this._lingering || !isWorkedOn ? nowMs - this._lastReadAtMs : 0
  }

  giveWay (limit: ClientLimit): void {
    this._limited(limit)
    if (limit === ClientLimit.Memory && this._body && this.awaitsBody()) this._body.end({ kind: 'noRoom' })
    else this._destroy()
  }

  /** Ends what takes too long; called now and then. */
  check (nowMs: number): void {
    const { maxRestMs } = this._options.bounds()
    if (this._lingering) {
      if (nowMs > this._lingering.untilMs) this._destroy()
      return
    }
    this._body?.check(nowMs)
    if (this._answered && nowMs - this._answered.atMs > MAX_MS_AFTER_ANSWER) this._endBehindAnswer()
    if (this._restsSinceMs !== undefined && nowMs - this._restsSinceMs > maxRestMs + REST_SLACK_MS) {
      this._limited(ClientLimit.Idle)
      this.end()
    }
    this._checkTaken(nowMs, maxRestMs)
  }

  /** Closes the connection of a client that takes nothing of what is written. */
  private _checkTaken (nowMs: number, maxRestMs: number): void {
    const { socket } = this._options
    const takenBytes = socket.bytesWritten - socket.writableLength
    if (socket.writableLength === 0 || takenBytes !== this._takenBytes) this._takenAtMs = nowMs
    this._takenBytes = takenBytes
    if (nowMs - this._takenAtMs <= maxRestMs + REST_SLACK_MS) return
    this._limited(ClientLimit.UnreadAnswer)
    this._destroy()
  }

  takeTurn (): number {
    this._held.delete(Reason.Turn)
    const costBytes = this._parseSlice()
    this._update()
    return costBytes
  }

  private _onData (bytes: Buffer): void {
    this._lastReadAtMs = this._options.nowMs()
    if (this._lingering) return this._throwAway(bytes)
    this._unparsed = this._unparsed ? Buffer.concat([this._unparsed, bytes]) : bytes
    if (this._held.size === 0) this._parseSlice()
    this._update()
  }

  private _parseSlice (): number {
    const requestsCount = this._requestsCount
    const chunksCount = this._chunksCount
    let parsedBytes = 0
    while (this._unparsed && parsedBytes < SLICE_BYTES && !this._lingering && this._held.size === 0) parsedBytes += this._parseStep(this._unparsed)
    return parsedBytes + (this._chunksCount - chunksCount) * CHUNK_COST_BYTES + (this._requestsCount - requestsCount) * REQUEST_COST_BYTES
  }

  /** Steps between requests are short, so that few begin after the last that may. */
  private _parseStep (bytes: Buffer): number {
    const isInBody = this._body !== undefined && !this._body.isComplete
    const step = bytes.subarray(0, isInBody ? SLICE_BYTES : HEAD_STEP_BYTES)
    this._unparsed = bytes.length > step.length ? bytes.subarray(step.length) : undefined
    const requestsCount = this._requestsCount
    this._isParsing = true
    this._parse.call(this._options.socket, step)
    this._isParsing = false
    if (this._lingering) return step.length
    if (!isInBody && requestsCount === this._requestsCount) this._countHead(step.length)
    this._countBehindAnswer(step.length)
    return step.length
  }

  private _update (): void {
    if (this._unparsed && !this._lingering && !this._held.has(Reason.Turn) && this._held.size === 0) {
      this._held.add(Reason.Turn)
      this._options.turns.wait(this)
    }
    if (this._held.size > 0) this._pause()
    else this._resume()
    this._setConnectionBytes()
  }

  private _hold (reason: Reason): Socket {
    this._held.add(reason)
    this._pause()
    return this._options.socket
  }

  private _release (reason: Reason): Socket {
    const { socket, turns } = this._options
    if (!this._held.delete(reason) || this._held.size > 0 || socket.destroyed) return socket
    if (this._unparsed && !this._lingering) {
      this._held.add(Reason.Turn)
      turns.wait(this)
    } else {
      this._resume()
    }
    return socket
  }

  private _countHead (bytes: number): void {
    this._headBytes += bytes
    if (this._headBytes <= this._options.bounds().maxHeadBytes + HEAD_SLACK_BYTES) return
    this._limited(ClientLimit.HeadBytes)
    if (this._open.size === 0) return this._refuseHead()
    // Nothing goes between the answers to the requests before it.
    this._isHeadRefused = true
    this._hold(Reason.Answers)
  }

  private _refuseHead (): void {
    this._options.socket.write(HEAD_TOO_LARGE)
    this.end()
  }

  private _countBehindAnswer (bytes: number): void {
    if (!this._answered) return
    this._answered.bytes += bytes
    if (this._answered.bytes > MAX_BYTES_AFTER_ANSWER) this._endBehindAnswer()
  }

  private _endBehindAnswer (): void {
    this._limited(ClientLimit.BytesAfterAnswer)
    this.end()
  }

  private _onAnswered (body: RequestBody): void {
    if (body === this._body && !body.isComplete) this._answered = { atMs: this._options.nowMs(), bytes: 0 }
    body.discard()
  }

  private _onClosed (response: ServerResponse, body: RequestBody): void {
    this._open.delete(response)
    body.free()
    if (this._open.size > 0) return
    this._restsSinceMs = this._options.nowMs()
    if (this._isHeadRefused) this._refuseHead()
    else this._release(Reason.Answers)
  }

  /** Returns false if there is nothing on its way that a close would lose the answer to. */
  private _linger (): boolean {
    const { socket, nowMs, turns } = this._options
    if (this._lingering) return true
    const isSending = this._isParsing || this._unparsed !== undefined || socket.readableLength > 0 || this._headBytes > 0 || (this._body !== undefined && !this._body.isComplete)
    if (!isSending || socket.destroyed) return false
    this._lingering = { untilMs: nowMs() + LINGER_MS, bytes: 0 }
    this._unparsed = undefined
    this._body?.discard()
    turns.leave(this)
    this._held.clear()
    socket.end()
    this._resume()
    return true
  }

  private _throwAway (bytes: Buffer): void {
    if (!this._lingering) return
    this._lingering.bytes += bytes.length
    if (this._lingering.bytes > LINGER_BYTES) this._destroy()
  }

  private _destroy (): void {
    this._options.socket.destroy()
    this._leave()
  }

  private _leave (): void {
    const { room, turns } = this._options
    room.leave(this)
    turns.leave(this)
    this._unparsed = undefined
    this._held.add(Reason.Server)
    room.shrinkConnection(this._connectionBytes)
    this._connectionBytes = 0
    for (const body of this._open.values()) body.free()
  }

  private _setConnectionBytes (): void {
    const { socket, room } = this._options
    if (socket.destroyed) return
    const bytes = CONNECTION_BYTES + this._headBytes * HEAD_COPIES_COUNT + (this._unparsed?.length ?? 0) + socket.readableLength
    const moreBytes = bytes - this._connectionBytes
    this._connectionBytes = bytes
    if (moreBytes <= 0) return room.shrinkConnection(-moreBytes)
    if (room.growConnection(this, moreBytes, bytes)) return
    this._limited(ClientLimit.Connections)
    this._destroy()
  }

  private _limited (limit: ClientLimit): void {
    this._options.onLimit(limit, this._options.socket.remoteAddress)
  }
}

function statedBytesOf ({ headers }: IncomingMessage): number | undefined {
  const stated = headers['content-length']
  return stated === undefined ? undefined : Number(stated)
}

const HEAD_TOO_LARGE = 'HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
