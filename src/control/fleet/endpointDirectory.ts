/**
 * The endpoints that announce themselves to this control host. Records are kept
 * in memory only: an endpoint repeats its heartbeat about every second, and
 * followers merge the updates of all control hosts. Departures are recorded in the
 * replicated log, which takes precedence over heartbeats, as a heartbeat may
 * arrive late.
 */
import { KnownLeaves, type EndpointLeave } from '../../protocol/endpointLeaves.js'
import { EndpointLifecycle, type FleetEndpoint } from '../../protocol/fleet.js'
import type { Clock } from '../../utils/clock.js'
import type { RecordedLeaves } from '../routing/recordedLeaves.js'
import { EndpointUpdateKind } from './endpointUpdateKind.js'

/** An endpoint is silent after this many missed heartbeats; crashes are detected earlier through failed calls. */
const MAX_MISSED_HEARTBEATS_COUNT = 4
/** An endpoint that has left stays recorded this long, so that a late heartbeat does not reinstate it. */
const LEFT_RETENTION_MS = 60_000
/**
 * The same for the departure of an unknown endpoint. Which of its starts has left is
 * not known, so a short time keeps the next start from being refused for long.
 * Heartbeats are at most a few seconds late.
 */
const UNKNOWN_LEAVE_RETENTION_MS = 10_000

interface EndpointRecord {
  endpoint: FleetEndpoint
  heardAtMs: number
}

export type HeartbeatOutcome =
  /** Nothing changed that followers need at once. */
  | { kind: 'refreshed' }
  /** The heartbeat is older than the recorded heartbeat, or the endpoint has left. */
  | { kind: 'outdated' }
  /** @param replaced the earlier start of the endpoint, marked as left */
  | { kind: 'changed', endpoint: FleetEndpoint, news: EndpointUpdateKind, replaced: FleetEndpoint | undefined }

export class EndpointDirectory {
  private readonly _clock: Clock
  private readonly _silenceMs: number
  /** The newest start of each endpoint, by its name. */
  private readonly _records = new Map<string, EndpointRecord>()
  /** When unknown endpoints announced their departure, by name. */
  private readonly _unknownLeavesMs = new Map<string, number>()
  private readonly _recordedLeaves: Pick<RecordedLeaves, 'since'>
  /** Departures that the log has recorded, up to number `_lastAppliedNumber`. */
  private readonly _knownLeaves = new KnownLeaves()
  private _lastAppliedNumber = 0

  /**
   * @param heartbeatMs interval at which endpoints announce themselves
   * @param recordedLeaves departures recorded in the replicated log
   */
  constructor (clock: Clock, heartbeatMs: number, recordedLeaves: Pick<RecordedLeaves, 'since'>) {
    this._clock = clock
    this._recordedLeaves = recordedLeaves
    this._silenceMs = MAX_MISSED_HEARTBEATS_COUNT * heartbeatMs
  }

  /** All known endpoints, including those that have left recently. */
  all (): FleetEndpoint[] {
    this._applyLeaves()
    return [...this._records.values()].map(({ endpoint }) => endpoint)
  }

  /** The newest known start of an endpoint, as Unix time in milliseconds. */
  newestBornAtMs (name: string): number | undefined {
    return this._records.get(name)?.endpoint.bornAtMs
  }

  heartbeat (announced: FleetEndpoint): HeartbeatOutcome {
    this._applyLeaves()
    const newest = this._records.get(announced.name)?.endpoint
    if (this._isOutdated(announced, newest)) return { kind: 'outdated' }
    const isNewStart = newest !== undefined && announced.bornAtMs > newest.bornAtMs
    const known = isNewStart ? undefined : newest
    const lifecycle = Math.max(known?.lifecycle ?? EndpointLifecycle.Ready, announced.lifecycle, this._knownLeaves.lifecycleOf(announced))
    const endpoint = { ...announced, lifecycle }
    this._records.set(endpoint.name, { endpoint, heardAtMs: this._clock.nowMs() })
    const updateKind = updateKindOf(known, endpoint)
    if (updateKind === undefined) return { kind: 'refreshed' }
    return { kind: 'changed', endpoint, news: updateKind, replaced: isNewStart ? markLeft(newest) : undefined }
  }

  /**
   * Marks an endpoint as left. The departure of an unknown start also ends the earlier one.
   * @param bornAtMs start of the endpoint that leaves; the newest known start if undefined
   * @returns the endpoint; undefined if it is unknown or already marked as left
   */
  leave (name: string, bornAtMs?: number): FleetEndpoint | undefined {
    const known = this._records.get(name)?.endpoint
    const isUnknown = !known || (bornAtMs !== undefined && bornAtMs > known.bornAtMs)
    if (isUnknown) this._unknownLeavesMs.set(name, this._clock.nowMs())
    if (!known || known.lifecycle === EndpointLifecycle.Gone) return undefined
    if (bornAtMs !== undefined && bornAtMs < known.bornAtMs) return undefined
    const endpoint = markLeft(known)
    this._records.set(name, { endpoint, heardAtMs: this._clock.nowMs() })
    return endpoint
  }

  /** Removes endpoints that were silent for too long; returns those that had not left. */
  expire (): FleetEndpoint[] {
    this._applyLeaves()
    const nowMs = this._clock.nowMs()
    const expired: FleetEndpoint[] = []
    for (const [name, { endpoint, heardAtMs }] of this._records) {
      const hasLeft = endpoint.lifecycle === EndpointLifecycle.Gone
      if (nowMs - heardAtMs < (hasLeft ? LEFT_RETENTION_MS : this._silenceMs)) continue
      this._records.delete(name)
      if (!hasLeft) expired.push(endpoint)
    }
    for (const [name, leftAtMs] of this._unknownLeavesMs) {
      if (nowMs - leftAtMs >= UNKNOWN_LEAVE_RETENTION_MS) this._unknownLeavesMs.delete(name)
    }
    return expired
  }

  /** Applies departures that the log has recorded since the last call. */
  private _applyLeaves (): void {
    for (const leave of this._recordedLeaves.since(this._lastAppliedNumber)) {
      this._lastAppliedNumber = leave.number
      this._applyLeave(leave)
    }
  }

  private _applyLeave (leave: EndpointLeave): void {
    const known = this._records.get(leave.name)?.endpoint
    this._knownLeaves.record(leave, known?.bornAtMs)
    if (!known && leave.bornAtMs === undefined) this._unknownLeavesMs.set(leave.name, this._clock.nowMs())
    if (!known || known.lifecycle === EndpointLifecycle.Gone) return
    const lifecycle = Math.max(known.lifecycle, this._knownLeaves.lifecycleOf(known))
    const endpoint = lifecycle === EndpointLifecycle.Gone ? markLeft(known) : { ...known, lifecycle }
    this._records.set(leave.name, { endpoint, heardAtMs: this._clock.nowMs() })
  }

  private _isOutdated (announced: FleetEndpoint, newest: FleetEndpoint | undefined): boolean {
    const leftAtMs = this._unknownLeavesMs.get(announced.name)
    if (leftAtMs !== undefined && this._clock.nowMs() - leftAtMs < UNKNOWN_LEAVE_RETENTION_MS) return true
    if (this._knownLeaves.lifecycleOf(announced) === EndpointLifecycle.Gone) return true
    if (!newest || announced.bornAtMs > newest.bornAtMs) return false
    if (announced.bornAtMs < newest.bornAtMs) return true
    return newest.lifecycle === EndpointLifecycle.Gone || announced.sequence <= newest.sequence
  }
}

/** A gap in the sequence means that another control host received heartbeats in between and may since have reported the endpoint as silent. */
function updateKindOf (known: FleetEndpoint | undefined, announced: FleetEndpoint): EndpointUpdateKind | undefined {
  const isNext = known?.lifecycle === announced.lifecycle && announced.sequence === known.sequence + 1 && announced.address === known.address
  if (!isNext) return EndpointUpdateKind.Endpoint
  return JSON.stringify(announced.weights) === JSON.stringify(known.weights) ? undefined : EndpointUpdateKind.Weights
}

/** The maximum sequence makes every later update about this start outdated. */
function markLeft (endpoint: FleetEndpoint): FleetEndpoint {
  return { ...endpoint, lifecycle: EndpointLifecycle.Gone, sequence: Number.MAX_SAFE_INTEGER }
}
