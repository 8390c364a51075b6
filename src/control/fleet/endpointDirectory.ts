/**
 * The endpoints that announce themselves to this control host. Records are in
 * memory only: an endpoint repeats its heartbeat every second or so, and
 * followers merge what all control hosts tell them. That an endpoint leaves is
 * noted in the log of the control hosts; what the log holds goes before what is
 * heard here, as a heartbeat may come late.
 */
import { KnownLeaves, type EndpointLeave } from '../../protocol/endpointLeaves.js'
import { EndpointLifecycle, type FleetEndpoint } from '../../protocol/fleet.js'
import type { Clock } from '../../utils/clock.js'
import type { NotedLeaves } from '../routing/notedLeaves.js'
import { EndpointNews } from './endpointNews.js'

/** Heartbeats in a row that may be missing before an endpoint counts as silent; crashes show earlier by failed calls. */
const MISSED_HEARTBEATS_COUNT = 4
/** How long an endpoint that left is remembered, so that a late heartbeat does not bring it back. */
const REMEMBER_GONE_MS = 60_000
/**
 * The same for one that was never heard of: which of its starts has left is not
 * known then, and the next one must not be turned away for long. Heartbeats
 * come some seconds late at most.
 */
const REMEMBER_UNHEARD_MS = 10_000

interface EndpointRecord {
  endpoint: FleetEndpoint
  heardAtMs: number
}

export type HeartbeatOutcome =
  /** Nothing that followers need to hear at once. */
  | { kind: 'refreshed' }
  /** Older than what is known, or of an endpoint that has left. */
  | { kind: 'outdated' }
  /** @param replaced an earlier start of the endpoint, which is gone */
  | { kind: 'changed', endpoint: FleetEndpoint, news: EndpointNews, replaced: FleetEndpoint | undefined }

export class EndpointDirectory {
  private readonly _clock: Clock
  private readonly _silenceMs: number
  /** The newest start of each endpoint, by its name. */
  private readonly _records = new Map<string, EndpointRecord>()
  /** When endpoints left that were never heard of. */
  private readonly _unheardLeavesMs = new Map<string, number>()
  private readonly _notedLeaves: Pick<NotedLeaves, 'since'>
  /** Those of the log up to the number. */
  private readonly _knownLeaves = new KnownLeaves()
  private _lastKnownNumber = 0

  /**
   * @param heartbeatMs interval at which endpoints announce themselves
   * @param notedLeaves as the log of the control hosts holds them
   */
  constructor (clock: Clock, heartbeatMs: number, notedLeaves: Pick<NotedLeaves, 'since'>) {
    this._clock = clock
    this._notedLeaves = notedLeaves
    this._silenceMs = MISSED_HEARTBEATS_COUNT * heartbeatMs
  }

  /** Everything known, with those that left a short while ago. */
  all (): FleetEndpoint[] {
    this._learnLeaves()
    return [...this._records.values()].map(({ endpoint }) => endpoint)
  }

  /** The newest start of an endpoint that was heard of here, as Unix time. */
  newestBornAtMs (name: string): number | undefined {
    return this._records.get(name)?.endpoint.bornAtMs
  }

  heartbeat (announced: FleetEndpoint): HeartbeatOutcome {
    this._learnLeaves()
    const newest = this._records.get(announced.name)?.endpoint
    if (this._isOutdated(announced, newest)) return { kind: 'outdated' }
    const isNewStart = newest !== undefined && announced.bornAtMs > newest.bornAtMs
    const known = isNewStart ? undefined : newest
    const lifecycle = Math.max(known?.lifecycle ?? EndpointLifecycle.Ready, announced.lifecycle, this._knownLeaves.lifecycleOf(announced))
    const endpoint = { ...announced, lifecycle }
    this._records.set(endpoint.name, { endpoint, heardAtMs: this._clock.nowMs() })
    const news = newsOf(known, endpoint)
    if (news === undefined) return { kind: 'refreshed' }
    return { kind: 'changed', endpoint, news, replaced: isNewStart ? gone(newest) : undefined }
  }

  /**
   * The endpoint takes its leave; undefined when this host never heard of it or
   * knows already. The leave of a start that was not heard of ends the earlier one.
   * @param bornAtMs which of its starts, if it says; the newest that is known otherwise
   */
  leave (name: string, bornAtMs?: number): FleetEndpoint | undefined {
    const known = this._records.get(name)?.endpoint
    const isUnheard = !known || (bornAtMs !== undefined && bornAtMs > known.bornAtMs)
    if (isUnheard) this._unheardLeavesMs.set(name, this._clock.nowMs())
    if (!known || known.lifecycle === EndpointLifecycle.Gone) return undefined
    if (bornAtMs !== undefined && bornAtMs < known.bornAtMs) return undefined
    const endpoint = gone(known)
    this._records.set(name, { endpoint, heardAtMs: this._clock.nowMs() })
    return endpoint
  }

  /** Forgets endpoints that were silent for too long; returns those that had not left. */
  expire (): FleetEndpoint[] {
    this._learnLeaves()
    const nowMs = this._clock.nowMs()
    const expired: FleetEndpoint[] = []
    for (const [name, { endpoint, heardAtMs }] of this._records) {
      const isGone = endpoint.lifecycle === EndpointLifecycle.Gone
      if (nowMs - heardAtMs < (isGone ? REMEMBER_GONE_MS : this._silenceMs)) continue
      this._records.delete(name)
      if (!isGone) expired.push(endpoint)
    }
    for (const [name, leftAtMs] of this._unheardLeavesMs) {
      if (nowMs - leftAtMs >= REMEMBER_UNHEARD_MS) this._unheardLeavesMs.delete(name)
    }
    return expired
  }

  /** Takes over what the log has noted since the last time. */
  private _learnLeaves (): void {
    for (const leave of this._notedLeaves.since(this._lastKnownNumber)) {
      this._lastKnownNumber = leave.number
      this._learnLeave(leave)
    }
  }

  private _learnLeave (leave: EndpointLeave): void {
    const known = this._records.get(leave.name)?.endpoint
    this._knownLeaves.note(leave, known?.bornAtMs)
    if (!known && leave.bornAtMs === undefined) this._unheardLeavesMs.set(leave.name, this._clock.nowMs())
    if (!known || known.lifecycle === EndpointLifecycle.Gone) return
    const lifecycle = Math.max(known.lifecycle, this._knownLeaves.lifecycleOf(known))
    const endpoint = lifecycle === EndpointLifecycle.Gone ? gone(known) : { ...known, lifecycle }
    this._records.set(leave.name, { endpoint, heardAtMs: this._clock.nowMs() })
  }

  private _isOutdated (announced: FleetEndpoint, newest: FleetEndpoint | undefined): boolean {
    const leftAtMs = this._unheardLeavesMs.get(announced.name)
    if (leftAtMs !== undefined && this._clock.nowMs() - leftAtMs < REMEMBER_UNHEARD_MS) return true
    if (this._knownLeaves.lifecycleOf(announced) === EndpointLifecycle.Gone) return true
    if (!newest || announced.bornAtMs > newest.bornAtMs) return false
    if (announced.bornAtMs < newest.bornAtMs) return true
    return newest.lifecycle === EndpointLifecycle.Gone || announced.sequence <= newest.sequence
  }
}

/** A gap in the sequence means that another control host was told in between, and may call the endpoint silent. */
function newsOf (known: FleetEndpoint | undefined, announced: FleetEndpoint): EndpointNews | undefined {
  const isNext = known?.lifecycle === announced.lifecycle && announced.sequence === known.sequence + 1 && announced.address === known.address
  if (!isNext) return EndpointNews.Endpoint
  return JSON.stringify(announced.weights) === JSON.stringify(known.weights) ? undefined : EndpointNews.Weights
}

/** Nothing that is told of this start later counts any more. */
function gone (endpoint: FleetEndpoint): FleetEndpoint {
  return { ...endpoint, lifecycle: EndpointLifecycle.Gone, sequence: Number.MAX_SAFE_INTEGER }
}
