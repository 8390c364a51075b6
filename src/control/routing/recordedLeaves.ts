/**
 * The part of the replicated state that records the departures of endpoints. Every
 * control host that applies a departure notifies its followers, so a departure survives
 * the loss of the host that confirmed it and reaches followers without a
 * connection to that host.
 */
import { EndpointLifecycle, type EndpointLeave, type EndpointLeaveRequest } from '../../protocol/endpointLeaves.js'

/**
 * Limit of recorded departures of endpoints, about 60 bytes each; hosts that connect receive them all.
 * Two departures for each endpoint of a fleet of 500, as in a rolling release, fit.
 */
const MAX_LEAVES_COUNT = 1_024

export class RecordedLeaves {
  /** In ascending order of their numbers. */
  private _leaves: EndpointLeave[] = []

  get lastNumber (): number {
    return this._leaves.at(-1)?.number ?? 0
  }

  /** The latest recorded departure that already covers the request. */
  find (request: EndpointLeaveRequest): EndpointLeave | undefined {
    return this._leaves.findLast(leave => covers(leave, request))
  }

  /** Records a departure. A repeated request, also through another control host, returns the departure that was recorded first. */
  record (request: EndpointLeaveRequest): EndpointLeave {
    const recorded = this.find(request)
    if (recorded) return recorded
    const leave = { ...request, number: this.lastNumber + 1 }
    this._leaves.push(leave)
    if (this._leaves.length > MAX_LEAVES_COUNT) this._leaves.shift()
    return leave
  }

  /** Departures with a higher number, in order. */
  since (number: number): EndpointLeave[] {
    const afterIndex = this._leaves.findLastIndex(leave => leave.number <= number)
    return this._leaves.slice(afterIndex + 1)
  }

  all (): EndpointLeave[] {
    return [...this._leaves]
  }

  restore (leaves: EndpointLeave[]): void {
    this._leaves = leaves
  }
}

/** A departure without `bornAtMs` covers nothing and is never covered, because it may concern a later start of the endpoint. */
function covers (recorded: EndpointLeave, { name, bornAtMs, lifecycle }: EndpointLeaveRequest): boolean {
  if (recorded.name !== name || recorded.bornAtMs === undefined || bornAtMs === undefined) return false
  if (recorded.bornAtMs === bornAtMs) return recorded.lifecycle >= lifecycle
  return recorded.bornAtMs > bornAtMs && recorded.lifecycle >= EndpointLifecycle.Leaving
}
