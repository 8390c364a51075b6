/**
 * The account of what clients cost this process, over all its listeners: connections
 * and what was read of their heads, bodies, what is parsed of them, and answers. When
 * more is asked for than there is, the clients that stand still longest give way; a
 * part is kept for requests of ordinary size.
 */

/** The limits that a client can meet. */
export enum ClientLimit {
  /** As many connections as the host takes, or as its memory holds. */
  Connections = 'connections',
  /** No room for more of a body, or for what is parsed of it. */
  Memory = 'memory',
  HeadBytes = 'head_bytes',
  /** A head that was begun and is not whole in time. */
  HeadTime = 'head_time',
  /** Nothing was begun on a connection within the time that it may rest. */
  Idle = 'idle',
  BodyTime = 'body_time',
  /** More of a body behind its answer than is read of it. */
  BytesAfterAnswer = 'bytes_after_answer',
  /** An answer that is not read. */
  UnreadAnswer = 'unread_answer'
}

export interface RoomBounds {
  maxConnectionsCount: number
  /** Of connections, and of what was read of requests that have not begun. */
  maxConnectionBytes: number
  /** Of bodies, what is parsed of them, and answers. */
  maxContentBytes: number
  /** Of one large body beside which there is no other; `maxContentBytes` if undefined. */
  maxSoleBytes?: number
}

/** Nothing is limited where the limits of the host are not known. */
export const UNBOUNDED_ROOM: RoomBounds = { maxConnectionsCount: Infinity, maxConnectionBytes: Infinity, maxContentBytes: Infinity }

const MEGABYTE_BYTES = 1024 * 1024

/** Far above what operators, trainers and callers send at once. */
const MAX_DEFAULT_BYTES = 256 * MEGABYTE_BYTES
/** The rest is for the work of the process. */
const CONTENT_HEAP_SHARE = 0.5
const CONNECTION_HEAP_SHARE = 0.25

/**
 * For programs whose settings state no memory.
 * @param heapLimitBytes what the process may use of memory for objects
 */
export function defaultRoomBounds (maxConnectionsCount: number, heapLimitBytes: number): RoomBounds {
  return {
    maxConnectionsCount,
    maxConnectionBytes: Math.min(MAX_DEFAULT_BYTES, CONNECTION_HEAP_SHARE * heapLimitBytes),
    maxContentBytes: Math.min(MAX_DEFAULT_BYTES, CONTENT_HEAP_SHARE * heapLimitBytes)
  }
}

/** What holds no more than this is of ordinary size. */
const ORDINARY_BYTES = 64 * 1024
/** Larger contents use this share of the room; the rest is for requests of ordinary size. */
const LARGE_SHARE = 0.6

function largeOf (bytes: number): number {
  return bytes > ORDINARY_BYTES ? bytes : 0
}

/** A client that was heard within this time does not stand still. */
const MIN_STILL_MS = 1_000

/** A connection in the account. */
export interface RoomMember {
  /** For how long nothing has come of what this client has to send; 0 while the host has to act. */
  stillMs: () => number
  /** Whether a request has begun whose body the host waits for. */
  awaitsBody: () => boolean
  /** What it holds of bodies and what was parsed of them. */
  contentBytes: () => number
  /** Frees what it holds, and ends the connection or its request. */
  giveWay: (limit: ClientLimit) => void
}

export class ClientRoom {
  readonly bounds: RoomBounds
  contentBytes = 0
  connectionBytes = 0
  /** Of the contents, those of which one client holds more than is of ordinary size. */
  private _largeBytes = 0
  private readonly _members = new Set<RoomMember>()

  constructor (bounds: RoomBounds) {
    this.bounds = bounds
  }

  get connectionsCount (): number {
    return this._members.size
  }

  /** Whether a new connection has its place; the one that stands still longest gives way to it. */
  admits (): boolean {
    if (this._members.size < this.bounds.maxConnectionsCount) return true
    this._longestStill()?.giveWay(ClientLimit.Connections)
    return this._members.size < this.bounds.maxConnectionsCount
  }

  join (member: RoomMember): void {
    this._members.add(member)
  }

  leave (member: RoomMember): void {
    this._members.delete(member)
  }

  /** Frees bytes of a connection. */
  shrinkConnection (bytes: number): void {
    this.connectionBytes -= bytes
  }

  /** Counts contents, or frees them if the change is negative. */
  changeContent (bytes: number): void {
    this.contentBytes += bytes
  }

  /** Counts that one client now holds other contents than before. */
  changeHeld (beforeBytes: number, bytes: number): void {
    this.changeContent(bytes - beforeBytes)
    this._largeBytes += largeOf(bytes) - largeOf(beforeBytes)
  }

  /** Contents as requests of ordinary size meet them: large ones do not count beyond their share. */
  get countedBytes (): number {
    return this.contentBytes - this._largeBytes + this.countedOf(this._largeBytes)
  }

  /** What counts of large contents for others. */
  countedOf (bytes: number): number {
    return Math.min(bytes, Math.max(ORDINARY_BYTES, this.bounds.maxContentBytes * LARGE_SHARE))
  }

  /**
   * Counts bytes of a connection; false if there is no room for them, even if others give way.
   * @param totalBytes what the connection has with them
   */
  growConnection (member: RoomMember, bytes: number, totalBytes = bytes): boolean {
    this.connectionBytes += bytes
    const maxBytes = this.bounds.maxConnectionBytes * (totalBytes <= ORDINARY_BYTES ? 1 : LARGE_SHARE)
    while (this.connectionBytes > maxBytes) {
      const still = this._longestStill(member)
      if (!still) return false
      still.giveWay(ClientLimit.Connections)
    }
    return true
  }

  /**
   * Makes room for contents by letting clients go that stand still.
   * @param heldBytes what their holder has already
   */
  makeContentRoom (bytes: number, heldBytes: number, member?: RoomMember): boolean {
    while (!this._fits(heldBytes, heldBytes + bytes, member)) {
      const still = this._longestStill(member, other => other.contentBytes() > 0)
      if (!still) return false
      still.giveWay(ClientLimit.Memory)
    }
    return true
  }

  private _fits (beforeBytes: number, bytes: number, member?: RoomMember): boolean {
    const { maxContentBytes, maxSoleBytes = maxContentBytes } = this.bounds
    const moreBytes = bytes - beforeBytes
    if (bytes <= ORDINARY_BYTES) return this.countedBytes + moreBytes <= maxContentBytes
    const ownBytes = Math.max(beforeBytes, member?.contentBytes() ?? 0)
    const isSole = this._largeBytes <= ownBytes
    if (!isSole) return this.contentBytes + moreBytes <= maxContentBytes * LARGE_SHARE
    return ownBytes + moreBytes <= maxSoleBytes && this.contentBytes - ownBytes + this.countedOf(ownBytes + moreBytes) <= maxContentBytes
  }

  /** Ends the request whose body has stood still longest; false if there is none. */
  endStillBody (): boolean {
    const still = this._longestStill(undefined, member => member.awaitsBody())
    still?.giveWay(ClientLimit.Memory)
    return still !== undefined
  }

  private _longestStill (except?: RoomMember, fits: (member: RoomMember) => boolean = () => true): RoomMember | undefined {
    let longest: RoomMember | undefined
    let longestMs = MIN_STILL_MS
    for (const member of this._members) {
      const stillMs = member === except || !fits(member) ? 0 : member.stillMs()
      if (stillMs <= longestMs) continue
      longest = member
      longestMs = stillMs
    }
    return longest
  }
}
