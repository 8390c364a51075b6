/**
 * The body of one request, read as it arrives: whole, in pieces, or thrown away. It has
 * a deadline, a longest rest and a lowest rate, and what it holds counts in the room of
 * the process.
 */
import type { IncomingMessage } from 'node:http'
import { BodyPages } from './bodyPages.js'
import { ClientLimit, type ClientRoom, type RoomMember } from './clientRoom.js'
import { ContentHold } from './contentHold.js'

/** What has arrived and is not asked for yet stops the connection at this size. */
const MAX_AHEAD_BYTES = 64 * 1024
/** A body that goes on has arrived at this rate at least, beyond the rest that a client may take. */
const MIN_BYTES_PER_MS = 32

/** Why a body is not read to its end. */
export type BodyProblem = { kind: 'tooLarge' } | { kind: 'noRoom' } | { kind: 'late' }
/** HTTP status of a request that has not run for this reason. */
export const problemStatus: Record<BodyProblem['kind'], number> = { tooLarge: 413, noRoom: 503, late: 408 }
export type BodyOutcome = { kind: 'read', body: Buffer } | BodyProblem
/** A piece of a body; undefined at its end. */
export type PieceOutcome = { kind: 'piece', bytes: Buffer | undefined } | BodyProblem

/** The connection that a body arrives on. */
export interface BodySource {
  room: ClientRoom
  member: RoomMember
  /** Length of the body as its head states it; undefined if it does not. */
  statedBytes?: number | undefined
  nowMs: () => number
  /** How long a client may rest. */
  maxRestMs: () => number
  /** Stops and continues reading from the connection. */
  hold: () => void
  release: () => void
  onChunk: () => void
  onLimit: (limit: ClientLimit) => void
}

enum Reading {
  /** Nobody has asked for the body yet. */
  Ahead,
  Whole,
  Pieces,
  Discarded
}

export class RequestBody {
  /** The whole body has arrived. */
  isComplete = false
  private readonly _source: BodySource | undefined
  private readonly _pages = new BodyPages()
  private readonly _held: ContentHold
  /** What is parsed of it. */
  private _parsed: ContentHold | undefined
  private _maxBytes = Infinity
  private _deadlineMs = Infinity
  private _receivedBytes = 0
  private readonly _startedAtMs: number
  private _lastHeardAtMs: number
  private _heldUpMs = 0
  private _heldSinceMs: number | undefined
  private _problem: BodyProblem | undefined
  private _reading = Reading.Ahead
  /** Set while somebody waits. */
  private _wake: (() => void) | undefined

  /** @param source where it arrives; nothing is counted or limited in time if undefined */
  constructor (request: Pick<IncomingMessage, 'on' | 'once'>, source?: BodySource) {
    this._source = source
    this._held = new ContentHold(source?.room, source?.member)
    this._startedAtMs = this._lastHeardAtMs = source?.nowMs() ?? 0
    request.on('data', (chunk: Buffer) => this._onData(chunk))
    request.once('end', () => {
      this.isComplete = true
      this._wake?.()
    })
    // If the connection breaks, the scope of the exchange closes, which ends the wait.
    request.on('error', () => {})
  }

  /** Whether somebody waits for this body, and its client for nothing. */
  get isAwaited (): boolean {
    return !this.isComplete && this._wake !== undefined
  }

  get lastHeardAtMs (): number {
    return this._lastHeardAtMs
  }

  /** Its bytes, and what is parsed of them. */
  get heldBytes (): number {
    return this._held.heldBytes + (this._parsed?.heldBytes ?? 0)
  }

  /** What its values may take once it is parsed as a whole. */
  get maxParsedBytes (): number {
    return this._source?.room.bounds.maxContentBytes ?? Infinity
  }

  /** The hold in the same account for what is parsed of this body. */
  parsedHold (): ContentHold {
    this._parsed ??= new ContentHold(this._source?.room, this._source?.member)
    return this._parsed
  }

  /**
   * Reads the whole body. What it holds counts until `free` is called.
   * @param deadlineMs monotonic
   */
  async whole (maxBytes: number, deadlineMs = Infinity): Promise<BodyOutcome> {
    this._deadlineMs = deadlineMs
    this._pages.expect(maxBytes, this._source?.statedBytes)
    this._begin(Reading.Whole, maxBytes)
    while (!this._problem && !this.isComplete) await this._more()
    return this._problem ?? { kind: 'read', body: this._pages.take() }
  }

  /** The next piece, of what has arrived until now; what it holds no longer counts. */
  async next (maxBytes: number): Promise<PieceOutcome> {
    this._begin(Reading.Pieces, maxBytes)
    while (!this._problem && !this.isComplete && this._pages.lengthBytes === 0) await this._more()
    if (this._problem) return this._problem
    return { kind: 'piece', bytes: this._pages.lengthBytes > 0 ? this._takePiece() : undefined }
  }

  /** Throws away what was read and what still arrives. */
  discard (): void {
    this._reading = Reading.Discarded
    this.free()
    this._continue()
  }

  free (): void {
    this._pages.clear()
    this._held.free()
  }

  /** Ends the reading for a reason of the host. */
  end (problem: BodyProblem): void {
    if (this._problem || this.isComplete) return
    this._problem = problem
    this.discard()
    this._parsed?.free()
    this._wake?.()
  }

  /** Ends the reading if the client takes too long. */
  check (nowMs: number): void {
    if (!this._source || !this.isAwaited || this._heldSinceMs !== undefined) return
    const maxRestMs = this._source.maxRestMs()
    const tookMs = nowMs - this._startedAtMs - this._heldUpMs
    const isLate = nowMs > this._deadlineMs || nowMs - this._lastHeardAtMs > maxRestMs || tookMs > maxRestMs + this._receivedBytes / MIN_BYTES_PER_MS
    if (!isLate) return
    this._source.onLimit(ClientLimit.BodyTime)
    this.end({ kind: 'late' })
  }

  private _onData (chunk: Buffer): void {
    this._receivedBytes += chunk.length
    if (this._source) this._lastHeardAtMs = this._source.nowMs()
    this._source?.onChunk()
    if (this._reading === Reading.Discarded) return
    if (this._receivedBytes > this._maxBytes) return this.end({ kind: 'tooLarge' })
    if (!this._held.set(this._pages.capacityWith(chunk.length))) {
      this._source?.onLimit(ClientLimit.Memory)
      return this.end({ kind: 'noRoom' })
    }
    this._pages.add(chunk)
    if (this._reading === Reading.Whole) return
    if (this._wake) this._wake()
    else this._holdAhead()
  }

  private _begin (reading: Reading, maxBytes: number): void {
    if (this._reading === Reading.Discarded) return
    this._reading = reading
    this._maxBytes = maxBytes
    if (this._receivedBytes > maxBytes) this.end({ kind: 'tooLarge' })
  }

  private _takePiece (): Buffer {
    const bytes = this._pages.take()
    this._held.free()
    return bytes
  }

  private async _more (): Promise<void> {
    this._continue()
    await new Promise<void>(resolve => { this._wake = resolve })
    this._wake = undefined
  }

  /** Nobody has asked for so much yet. */
  private _holdAhead (): void {
    if (this._pages.lengthBytes < MAX_AHEAD_BYTES || this._heldSinceMs !== undefined || !this._source) return
    this._heldSinceMs = this._source.nowMs()
    this._source.hold()
  }

  private _continue (): void {
    if (this._heldSinceMs === undefined || !this._source) return
    this._heldUpMs += this._source.nowMs() - this._heldSinceMs
    this._heldSinceMs = undefined
    this._lastHeardAtMs = this._source.nowMs()
    this._source.release()
  }
}
