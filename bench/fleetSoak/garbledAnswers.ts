/**
 * What a faulty endpoint makes of some of its answers: a part of an answer without a
 * length and a reset, a whole answer without a length, a second copy of an answer that
 * comes in the place of the next one on its connection, an answer with a status that is
 * none, or a head that is cut in the middle.
 */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

enum Garbling {
  ResetAtOnce = 'resetAtOnce',
  ResetLater = 'resetLater',
  WithoutLength = 'withoutLength',
  Repeated = 'repeated',
  StatusOfNone = 'statusOfNone',
  CutHead = 'cutHead'
}

const GARBLINGS = Object.values(Garbling)
/** While an endpoint garbles, one in so many of its answers is affected. */
const GARBLED_INTERVAL = 5
const RESET_LATER_MS = 20
/** One that HTTP clients hand on, one that they stumble over, and one that they refuse. */
const STATUSES_OF_NONE = ['600', '000', '1000']

export type AnswerHeaders = Record<string, string>

export class AnswerGarbler {
  isActive = false
  private _answersCount = 0
  private _garbledCount = 0
  private readonly _copies = new WeakMap<Socket, string>()
  /** Connections that carry an answer without a length. */
  private readonly _unfinished = new Set<Socket>()

  /** Sends an answer, perhaps garbled. */
  send (response: ServerResponse, status: number, headers: AnswerHeaders, body: string): void {
    const { socket } = response
    const garbling = this._next()
    if (garbling === undefined || !socket || (status !== 200 && garbling !== Garbling.Repeated)) {
      response.writeHead(status, headers).end(body)
      return
    }
    switch (garbling) {
      case Garbling.Repeated:
        this._copies.set(socket, rawAnswer(status, headers, body))
        response.writeHead(status, headers).end(body)
        return
      case Garbling.WithoutLength:
        this._beginWithoutLength(response, headers)
        response.end(body)
        return
      case Garbling.ResetAtOnce:
      case Garbling.ResetLater:
        this._beginWithoutLength(response, headers)
        response.write(body.slice(0, body.length / 2), () => reset(socket, garbling))
        return
      case Garbling.StatusOfNone:
      case Garbling.CutHead:
        this._sendNoAnswer(socket, garbling, headers, body)
    }
  }

  /** To be called before its endpoint closes all connections, which it does in order: a part of an answer without a length would pass for a whole one. */
  resetUnfinished (): void {
    for (const socket of this._unfinished) socket.resetAndDestroy()
  }

  /** Begins a stream; returns after how many of its events it is reset, if it is. */
  begin (response: ServerResponse, headers: AnswerHeaders, eventsCount: number): number | undefined {
    const garbling = this._next()
    if (garbling === undefined || garbling === Garbling.Repeated) {
      response.writeHead(200, headers)
      return undefined
    }
    if (garbling === Garbling.StatusOfNone || garbling === Garbling.CutHead) {
      if (response.socket) this._sendNoAnswer(response.socket, garbling, headers, '')
      return undefined
    }
    this._beginWithoutLength(response, headers)
    return garbling === Garbling.WithoutLength ? undefined : Math.floor(eventsCount / 2)
  }

  /** Sends what came up to answer twice on the connection of a request, before the request's own answer. */
  sendCopy (socket: Socket): void {
    const copy = this._copies.get(socket)
    if (copy !== undefined) socket.write(copy)
    this._copies.delete(socket)
  }

  /** Writes past the response, which closes with the connection. */
  private _sendNoAnswer (socket: Socket, garbling: Garbling.StatusOfNone | Garbling.CutHead, headers: AnswerHeaders, body: string): void {
    const status = garbling === Garbling.CutHead ? 200 : STATUSES_OF_NONE[Math.floor(this._garbledCount / GARBLINGS.length) % STATUSES_OF_NONE.length] ?? 0
    const answer = rawAnswer(status, headers, body)
    if (garbling === Garbling.StatusOfNone) socket.write(answer)
    else socket.end(answer.slice(0, answer.indexOf('\r\n\r\n') / 2), () => socket.destroy())
  }

  private _beginWithoutLength (response: ServerResponse, headers: AnswerHeaders): void {
    const { socket } = response
    if (socket) {
      this._unfinished.add(socket)
      socket.once('close', () => this._unfinished.delete(socket))
    }
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
    response.writeHead(200, headers)
  }

  private _next (): Garbling | undefined {
    if (!this.isActive || ++this._answersCount % GARBLED_INTERVAL !== 0) return undefined
    return GARBLINGS[this._garbledCount++ % GARBLINGS.length]
  }
}

function reset (socket: Socket, garbling: Garbling.ResetAtOnce | Garbling.ResetLater): void {
  if (garbling === Garbling.ResetAtOnce) socket.resetAndDestroy()
  else setTimeout(() => socket.resetAndDestroy(), RESET_LATER_MS)
}

function rawAnswer (status: number | string, headers: AnswerHeaders, body: string): string {
  const lines = Object.entries({ ...headers, 'content-length': String(Buffer.byteLength(body)) }).map(([name, value]) => `${name}: ${value}\r\n`)
  return `HTTP/1.1 ${status} Copy\r\n${lines.join('')}\r\n${body}`
}
