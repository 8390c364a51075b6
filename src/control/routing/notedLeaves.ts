/**
 * The part of the replicated state that holds the leaves of endpoints. Every
 * control host that has applied one tells its followers, so that a leave
 * outlives the host that confirmed it, and reaches followers that had no
 * connection to that host.
 */
import { EndpointLifecycle, type EndpointLeave, type EndpointLeaveRequest } from '../../protocol/endpointLeaves.js'

/**
 * The latest ones are kept and told to a host that connects anew: some 60 bytes
 * each. A release of a whole fleet of 500 endpoints makes two for each.
 */
const MAX_KEPT_COUNT = 1_024

export class NotedLeaves {
  /** By their numbers, which grow. */
  private _leaves: EndpointLeave[] = []

  get lastNumber (): number {
    return this._leaves.at(-1)?.number ?? 0
  }

  /** What was noted already and makes this leave nothing new. */
  find (request: EndpointLeaveRequest): EndpointLeave | undefined {
    return this._leaves.findLast(leave => covers(leave, request))
  }

  /** Repeated, also by another control host, it is the leave that was noted first. */
  note (request: EndpointLeaveRequest): EndpointLeave {
    const noted = this.find(request)
    if (noted) return noted
    const leave = { ...request, number: this.lastNumber + 1 }
    this._leaves.push(leave)
    if (this._leaves.length > MAX_KEPT_COUNT) this._leaves.shift()
    return leave
  }

  /** Leaves after that number, in order. */
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

/** A leave that does not say which start it ends may be that of a later one, each time. */
function covers (noted: EndpointLeave, { name, bornAtMs, lifecycle }: EndpointLeaveRequest): boolean {
  if (noted.name !== name || noted.bornAtMs === undefined || bornAtMs === undefined) return false
  if (noted.bornAtMs === bornAtMs) return noted.lifecycle >= lifecycle
  return noted.bornAtMs > bornAtMs && noted.lifecycle >= EndpointLifecycle.Leaving
}
