/**
 * The most recent scheduling decisions for each request, for
 * `threaddrum explain`. The log is bounded: the request whose last decision is
 * the oldest is evicted first.
 */

const MAX_REQUESTS = 1024
const MAX_DECISIONS_PER_REQUEST = 8
const MAX_CANDIDATES = 8

/** An endpoint that was considered, with the inputs of the choice. */
export interface Candidate {
  endpointId: string
  /** Estimate of the requests of all hosts running and queued at the endpoint. */
  estimatedCount: number
  ownCount: number
  /** Number of requests that this host may currently have at the endpoint. */
  ownLimitCount: number
  reportAgeMs: number
  msPerToken: number | undefined
  /** Whether the endpoint is a home of the prompt's prefix. */
  isHome: boolean
  score: number
}

export type Decision =
  | { kind: 'queued', atMs: number, queuedCount: number, expectedWaitMs: number }
  | { kind: 'assigned', atMs: number, waitedMs: number, endpointId: string, reason: string, candidates: Candidate[] }
  | { kind: 'refused', atMs: number, reason: string, message: string }

export class DecisionLog {
  private readonly _byRequest = new Map<string, Decision[]>()

  record (requestId: string | undefined, decision: Decision): void {
    if (requestId === undefined) return
    const decisions = this._byRequest.get(requestId) ?? []
    if (decisions.length >= MAX_DECISIONS_PER_REQUEST) decisions.shift()
    decisions.push(truncateCandidates(decision))
    this._byRequest.delete(requestId)
    this._byRequest.set(requestId, decisions)
    this._forgetOldest()
  }

  explain (requestId: string): Decision[] {
    return [...this._byRequest.get(requestId) ?? []]
  }

  get size (): number {
    return this._byRequest.size
  }

  private _forgetOldest (): void {
    if (this._byRequest.size <= MAX_REQUESTS) return
    const oldest = this._byRequest.keys().next()
    if (!oldest.done) this._byRequest.delete(oldest.value)
  }
}

function truncateCandidates (decision: Decision): Decision {
  if (decision.kind !== 'assigned') return decision
  return { ...decision, candidates: decision.candidates.slice(0, MAX_CANDIDATES) }
}
