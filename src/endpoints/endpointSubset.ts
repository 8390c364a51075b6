/**
 * Which endpoints of a service a host uses first. Many hosts before few endpoints
 * send each endpoint a request once in a while, so that nearly every request opens a
 * connection. A host therefore uses two endpoints, chosen by rendezvous hashing so that the
 * hosts spread over all endpoints, and the others only when these two are clearly slower
 * than the best of the others: two choices are enough to avoid a busy endpoint
 * (Mitzenmacher, "The Power of Two Choices", 2001). Pure functions.
 */
import { rendezvousRank } from '../utils/rendezvous.js'

const PREFERRED_COUNT = 2
/** The preferred endpoints are left for one that is expected to answer in less than this share of their time: connecting costs a round trip, which is a small part of most answers. */
const LEAVE_SHARE = 0.67

/** The candidates that a host uses first. */
export function preferredEndpoints<T extends { endpointId: string }> (hostId: string, candidates: readonly T[]): T[] {
  const ranked = candidates.map(candidate => ({ candidate, rank: rendezvousRank(hostId, candidate.endpointId) }))
  ranked.sort((left, right) => left.rank - right.rank)
  return ranked.slice(0, PREFERRED_COUNT).map(({ candidate }) => candidate)
}

/** Whether an endpoint beyond the preferred ones is so much better that it is worth a connection. */
export function isWorthLeaving (preferredMs: number, otherMs: number): boolean {
  return otherMs < LEAVE_SHARE * preferredMs
}
