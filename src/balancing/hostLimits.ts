/**
 * Bounds on what an entry host takes on, from its own limits. The load it answers:
 * callers that press at many times the usual rate, read slowly, or give up, on hosts of
 * a quarter of a core. What is beyond the bounds is refused before its body is read,
 * the least urgent first; nothing that was refused has run.
 */
import { ClientRoom, type RoomBounds } from '../clients/clientRoom.js'
import type { RandomSource } from '../utils/randomSource.js'
import { IDLE_MEMORY_BYTES, RESERVED_DESCRIPTORS_COUNT, type HostLimits } from './hostCapacity.js'
import { ShedDepth } from './shedDepth.js'

export enum ShortResource {
  Requests = 'requests',
  HeldBytes = 'held_bytes',
  Processor = 'processor',
  Memory = 'memory',
  Link = 'link'
}

/** What a host takes on at most; infinite where a limit is not known. */
export interface HostBounds {
  maxRequestsCount: number
  maxHeldBytes: number
  maxConnectionsCount: number
}

/** Buffers, headers and state of one request, besides its body and answer. */
const REQUEST_BYTES = 48 * 1024
/** The rest of the memory is for garbage that is not collected yet. */
const HELD_MEMORY_SHARE = 0.5
const DESCRIPTORS_PER_REQUEST_COUNT = 2
/** The rest is for connections to endpoints. */
const CALLER_DESCRIPTORS_SHARE = 0.75

export function boundsOf ({ maxDescriptorsCount = Infinity, memoryBytes = Infinity }: HostLimits): HostBounds {
  const descriptorsCount = Math.max(DESCRIPTORS_PER_REQUEST_COUNT, maxDescriptorsCount - RESERVED_DESCRIPTORS_COUNT)
  const freeBytes = Math.max(REQUEST_BYTES, memoryBytes - IDLE_MEMORY_BYTES)
  return {
    maxRequestsCount: Math.floor(Math.min(descriptorsCount / DESCRIPTORS_PER_REQUEST_COUNT, freeBytes * HELD_MEMORY_SHARE / REQUEST_BYTES)),
    maxHeldBytes: freeBytes * HELD_MEMORY_SHARE,
    maxConnectionsCount: Math.floor(descriptorsCount * CALLER_DESCRIPTORS_SHARE)
  }
}

/** The memory that the connections of callers may take, and heads that are not whole. */
const CONNECTION_MEMORY_SHARE = 0.25

/** One large body alone leaves less for garbage, of which a process that reads one makes little. */
const SOLE_MEMORY_SHARE = 0.6

/** The bounds of the account of what clients cost the process. */
export function roomBoundsOf (limits: HostLimits): RoomBounds {
  const { maxHeldBytes, maxConnectionsCount } = boundsOf(limits)
  const freeBytes = maxHeldBytes / HELD_MEMORY_SHARE
  return { maxConnectionsCount, maxConnectionBytes: freeBytes * CONNECTION_MEMORY_SHARE, maxContentBytes: maxHeldBytes, maxSoleBytes: freeBytes * SOLE_MEMORY_SHARE }
}

/** Priority 0 may use all of a bound, each rank after it a tenth less. */
const RESERVED_SHARE_PER_RANK = 0.1
const MIN_CEILING = 0.7
/** Calls on batches leave room for requests, however many come. */
const CALLS_SHARE = 0.5
/** Answers whose callers take nothing may hold this share of the bytes. */
const STALLED_SHARE = 0.5
/** Callers give up a stream after a gap of this length. */
export const STALLED_AFTER_MS = 2_000
/** Within it other requests end or the load moves to other hosts; spread, so that callers do not come back together. */
const RETRY_AFTER_MS = { min: 300, max: 700 }
const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1_000_000
const MS_PER_S = 1_000

/** A reading of the host, about once a second. */
export interface HostReading {
  nowMs: number
  processorCores: number
  maxLoopDelayMs: number
  residentBytes: number
  connectionsCount: number
}

export type GuardDecision =
  | { kind: 'admitted', request: GuardedRequest }
  | { kind: 'shed', resource: ShortResource, retryAfterMs: number }

export interface HostGuardOptions {
  limits: HostLimits
  random: RandomSource
  nowMs: () => number
  /** The account of the process; one of its own if undefined. */
  room?: ClientRoom | undefined
}

export class HostGuard {
  readonly bounds: HostBounds
  /** Share of the shortest resource in use, as of the last reading. */
  use = 0
  private readonly _options: HostGuardOptions
  private readonly _requests = new Set<GuardedRequest>()
  private readonly _shedding = new ShedDepth()
  /** The account of the process. */
  readonly room: ClientRoom
  private _passedBytes = 0
  private _readAtMs: number

  constructor (options: HostGuardOptions) {
    this._options = options
    this.bounds = boundsOf(options.limits)
    this.room = options.room ?? new ClientRoom(roomBoundsOf(options.limits))
    this._readAtMs = options.nowMs()
  }

  /** Bytes of bodies, of what is parsed of them, and of answers that the process holds for clients, as they count for the next one. */
  get heldBytes (): number {
    return this.room.countedBytes
  }

  get requestsCount (): number {
    return this._requests.size
  }

  /** 0 while nothing is shed; see ShedDepth. */
  get shedDepth (): number {
    return this._shedding.depth
  }

  /**
   * Decides on a request whose head was read.
   * @param priority 0 is the most urgent
   * @param expectedBytes what it will hold, as far as it is known: its body and its answer
   * @param breakOff ends the answer so that it does not look whole
   * @param bodyBytes the part of it that counts when it arrives
   */
  admit (priority: number, expectedBytes: number, breakOff: () => void, bodyBytes = 0): GuardDecision {
    const resource = this._shortFor(priority, expectedBytes, bodyBytes)
    if (resource !== undefined) return this._shed(resource)
    return this._take(expectedBytes - bodyBytes, breakOff)
  }

  /** Decides on a call about work that was taken on before: it is refused only where there is no room for its answer. */
  admitCall (expectedBytes: number, breakOff: () => void): GuardDecision {
    if (this._requests.size >= CALLS_SHARE * this.bounds.maxRequestsCount && !this.room.endStillBody()) return this._shed(ShortResource.Requests)
    if (!this._fits(expectedBytes, 0, 1)) return this._shed(ShortResource.HeldBytes)
    return this._take(expectedBytes, breakOff)
  }

  /** Whether more bytes may be held for a request in progress. */
  hasRoomFor (bytes: number): boolean {
    return this.heldBytes + bytes <= this.bounds.maxHeldBytes
  }

  /** Breaks off the answers that have waited longest for their callers, until there is room for more bytes. */
  makeRoomFor (bytes: number): void {
    if (this.hasRoomFor(bytes)) return
    for (const request of this._waitingSince(this.nowMs())) {
      request.breakOff()
      request.end()
      if (this.hasRoomFor(bytes)) return
    }
  }

  /** Takes a reading; breaks off answers that callers do not take, if these hold too much. */
  read (reading: HostReading): void {
    const shares = this._sharesOf(reading)
    this._shedding.read(reading.nowMs, shortResourceOf(shares, reading.maxLoopDelayMs))
    const isShedding = this._shedding.depth > 0
    this.use = isShedding ? 1 : Math.max(...Object.values(shares), reading.connectionsCount / this.bounds.maxConnectionsCount)
    this._breakOffStalled(reading.nowMs)
  }

  nowMs (): number {
    return this._options.nowMs()
  }

  /** Called by the requests in progress. */
  changeHeld (bytes: number): void {
    this.room.changeContent(bytes)
    if (bytes > 0) this.passed(bytes)
  }

  /** Counts bytes that the link carries. */
  passed (bytes: number): void {
    this._passedBytes += bytes
  }

  /** Called by the requests in progress. */
  ended (request: GuardedRequest): void {
    this._requests.delete(request)
  }

  private _shortFor (priority: number, expectedBytes: number, bodyBytes: number): ShortResource | undefined {
    const ceiling = Math.max(MIN_CEILING, 1 - RESERVED_SHARE_PER_RANK * Math.max(0, priority))
    if (this._requests.size >= ceiling * this.bounds.maxRequestsCount && !this.room.endStillBody()) return ShortResource.Requests
    if (!this._fits(expectedBytes, bodyBytes, ceiling)) return ShortResource.HeldBytes
    return this._shedding.shedsFor(priority, this.nowMs())
  }

  private _take (heldBytes: number, breakOff: () => void): GuardDecision {
    const request = new GuardedRequest(this, breakOff)
    this._requests.add(request)
    request.hold(heldBytes)
    return { kind: 'admitted', request }
  }

  /** Bodies that stand still give way to a request that would fit without them. */
  private _fits (expectedBytes: number, bodyBytes: number, ceiling: number): boolean {
    const maxBytes = ceiling * this.bounds.maxHeldBytes
    const countedBytes = expectedBytes - bodyBytes + this.room.countedOf(bodyBytes)
    if (countedBytes > maxBytes || !this.room.makeContentRoom(bodyBytes, 0)) return false
    if (this.heldBytes + countedBytes <= maxBytes) return true
    return this.room.makeContentRoom(countedBytes, 0) && this.heldBytes + countedBytes <= maxBytes
  }

  private _shed (resource: ShortResource): GuardDecision {
    const { random } = this._options
    return { kind: 'shed', resource, retryAfterMs: random.int(RETRY_AFTER_MS.min, RETRY_AFTER_MS.max) }
  }

  private _sharesOf ({ nowMs, processorCores, residentBytes }: HostReading): Record<ShortResource, number> {
    const { limits } = this._options
    const elapsedMs = Math.max(1, nowMs - this._readAtMs)
    // Each byte that is passed on comes in and goes out once; a link carries both directions at the same time.
    const passedMbps = this._passedBytes * BITS_PER_BYTE / BITS_PER_MEGABIT * MS_PER_S / elapsedMs
    this._passedBytes = 0
    this._readAtMs = nowMs
    return {
      [ShortResource.Requests]: this._requests.size / this.bounds.maxRequestsCount,
      [ShortResource.HeldBytes]: this.heldBytes / this.bounds.maxHeldBytes,
      [ShortResource.Processor]: processorCores / (limits.processorCores ?? Infinity),
      // Uncollected garbage fills what is free, so that a host is not busy because its memory is in use.
      [ShortResource.Memory]: residentBytes > MEMORY_SHORT_ABOVE * (limits.memoryBytes ?? Infinity) ? 1 : 0,
      [ShortResource.Link]: passedMbps / (limits.linkMbps ?? Infinity)
    }
  }

  /** Requests whose callers have taken nothing since this time, those that wait longest first. */
  private _waitingSince (sinceMs: number): GuardedRequest[] {
    const waiting = [...this._requests].filter(({ waitsSinceMs = Infinity }) => waitsSinceMs <= sinceMs)
    return waiting.sort((left, right) => (left.waitsSinceMs ?? 0) - (right.waitsSinceMs ?? 0))
  }

  private _breakOffStalled (nowMs: number): void {
    const stalled = this._waitingSince(nowMs - STALLED_AFTER_MS)
    let stalledBytes = stalled.reduce((sum, { heldBytes }) => sum + heldBytes, 0)
    let stalledCount = stalled.length
    for (const request of stalled) {
      const isWithin = stalledBytes <= STALLED_SHARE * this.bounds.maxHeldBytes && stalledCount <= STALLED_SHARE * this.bounds.maxRequestsCount
      if (isWithin) return
      stalledBytes -= request.heldBytes
      stalledCount--
      request.breakOff()
      request.end()
    }
  }
}

/** One request in progress, until its answer was taken or its connection is closed. */
export class GuardedRequest {
  heldBytes = 0
  /** When the caller last took a part of what it has to take; undefined while nothing waits for it. */
  waitsSinceMs: number | undefined
  readonly breakOff: () => void
  private readonly _guard: HostGuard
  private _hasEnded = false

  constructor (guard: HostGuard, breakOff: () => void) {
    this._guard = guard
    this.breakOff = breakOff
  }

  /** Counts bytes that are held from now on; returns whether the host has room for them. */
  hold (bytes: number): boolean {
    if (this._hasEnded) return true
    const hasRoom = this._guard.hasRoomFor(bytes)
    this.heldBytes += bytes
    this._guard.changeHeld(bytes)
    return hasRoom
  }

  /** Replaces what was expected by the answer, which counts until the caller has taken it. */
  holdAnswer (bytes: number): void {
    this.release(this.heldBytes)
    this._guard.makeRoomFor(bytes)
    this.hold(bytes)
  }

  /** Counts a body that has arrived, which its own hold accounts for. */
  bodyArrived (bytes: number): void {
    this._guard.passed(bytes)
  }

  /** Counts bytes that the caller has taken, or that are dropped. */
  release (bytes: number): void {
    const released = Math.min(bytes, this.heldBytes)
    this.heldBytes -= released
    this._guard.changeHeld(-released)
  }

  /** A part of the answer waits for the caller, which has just taken the one before. */
  awaitCaller (): void {
    this.waitsSinceMs = this._guard.nowMs()
  }

  /** The caller has taken all that there is so far. */
  callerTookAll (): void {
    this.waitsSinceMs = undefined
  }

  end (): void {
    if (this._hasEnded) return
    this.release(this.heldBytes)
    this._hasEnded = true
    this._guard.ended(this)
  }
}

/** Above this share of its limit the next burst may end the process. */
const MEMORY_SHORT_ABOVE = 0.9
const LINK_SHORT_ABOVE = 0.9
/** A processor in full use is short only if timers are late as well. */
const PROCESSOR_SHORT_ABOVE = 0.95
/** Beyond what a host waits that has spent its share of a tenth of a second; requests that wait this long for the processor are late. */
const LATE_TIMER_MS = 200
/** Timers this late show a slowed host, whatever share of its processor it could use. */
const VERY_LATE_TIMER_MS = 1_000

function shortResourceOf (shares: Record<ShortResource, number>, maxLoopDelayMs: number): ShortResource | undefined {
  const isProcessorFull = shares[ShortResource.Processor] > PROCESSOR_SHORT_ABOVE && maxLoopDelayMs > LATE_TIMER_MS
  if (isProcessorFull || maxLoopDelayMs > VERY_LATE_TIMER_MS) return ShortResource.Processor
  if (shares[ShortResource.Memory] > MEMORY_SHORT_ABOVE) return ShortResource.Memory
  return shares[ShortResource.Link] > LINK_SHORT_ABOVE ? ShortResource.Link : undefined
}
