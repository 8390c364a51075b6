/**
 * The endpoints that announce themselves to this control host. Records are in
 * memory only: an endpoint repeats its heartbeat every second or so, and
 * followers merge what all control hosts tell them.
 */
import { EndpointLifecycle, type FleetEndpoint } from '../../protocol/fleet.js'
import type { Clock } from '../../utils/clock.js'

/** Heartbeats in a row that may be missing before an endpoint counts as silent; crashes show earlier by failed calls. */
const MISSED_HEARTBEATS_COUNT = 4
/** How long an endpoint that left is remembered, so that a late heartbeat does not bring it back. */
const REMEMBER_GONE_MS = 60_000

interface EndpointRecord {
  endpoint: FleetEndpoint
  heardAtMs: number
}

export type HeartbeatOutcome =
  /** Nothing that followers need to hear at once. */
  | { kind: 'refreshed' }
  /** Older than what is known, or of an endpoint that has left. */
  | { kind: 'outdated' }
  | { kind: 'changed', endpoint: FleetEndpoint, isLeaving: boolean }

export class EndpointDirectory {
  private readonly _clock: Clock
  private readonly _silenceMs: number
  private readonly _records = new Map<string, EndpointRecord>()

  /** @param heartbeatMs interval at which endpoints announce themselves */
  constructor (clock: Clock, heartbeatMs: number) {
    this._clock = clock
    this._silenceMs = MISSED_HEARTBEATS_COUNT * heartbeatMs
  }

  /** Everything known, with those that left a short while ago. */
  all (): FleetEndpoint[] {
    return [...this._records.values()].map(({ endpoint }) => endpoint)
  }

  heartbeat (announced: FleetEndpoint): HeartbeatOutcome {
    const known = this._records.get(announced.endpointId)?.endpoint
    if (known && (known.lifecycle === EndpointLifecycle.Gone || announced.sequence <= known.sequence)) return { kind: 'outdated' }
    const lifecycle = Math.max(known?.lifecycle ?? EndpointLifecycle.Ready, announced.lifecycle)
    const endpoint = { ...announced, lifecycle }
    this._records.set(endpoint.endpointId, { endpoint, heardAtMs: this._clock.nowMs() })
    if (known && !differs(known, endpoint)) return { kind: 'refreshed' }
    return { kind: 'changed', endpoint, isLeaving: lifecycle !== (known?.lifecycle ?? EndpointLifecycle.Ready) }
  }

  /** The endpoint takes its leave; undefined when this host never heard of it or knows already. */
  leave (endpointId: string): FleetEndpoint | undefined {
    const known = this._records.get(endpointId)?.endpoint
    if (known?.lifecycle === EndpointLifecycle.Gone) return undefined
    const endpoint = { ...(known ?? unknownEndpoint(endpointId)), lifecycle: EndpointLifecycle.Gone, sequence: Number.MAX_SAFE_INTEGER }
    this._records.set(endpointId, { endpoint, heardAtMs: this._clock.nowMs() })
    return known && endpoint
  }

  /** Forgets endpoints that were silent for too long; returns those that had not left. */
  expire (): FleetEndpoint[] {
    const nowMs = this._clock.nowMs()
    const expired: FleetEndpoint[] = []
    for (const [endpointId, { endpoint, heardAtMs }] of this._records) {
      const isGone = endpoint.lifecycle === EndpointLifecycle.Gone
      if (nowMs - heardAtMs < (isGone ? REMEMBER_GONE_MS : this._silenceMs)) continue
      this._records.delete(endpointId)
      if (!isGone) expired.push(endpoint)
    }
    return expired
  }
}

/** A gap in the sequence means that another control host was told in between, and may call the endpoint silent. */
function differs (known: FleetEndpoint, announced: FleetEndpoint): boolean {
  return announced.sequence !== known.sequence + 1 ||
    announced.lifecycle !== known.lifecycle ||
    announced.address !== known.address ||
    JSON.stringify(announced.weights) !== JSON.stringify(known.weights)
}

function unknownEndpoint (endpointId: string): FleetEndpoint {
  return { endpointId, service: '', address: '', dataCentre: '', slotsCount: 0, lifecycle: EndpointLifecycle.Gone, sequence: 0, coldLeftMs: 0, weights: [] }
}
