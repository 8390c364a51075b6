/**
 * Selects which queued request of a class is dispatched next. Requests go in
 * queue order, except that a request whose prefix has a home with free capacity
 * may skip ahead (delay scheduling, Zaharia et al. 2010). The number of times a
 * request is skipped is bounded, and a request whose affinity wait has ended
 * takes any endpoint that no other request is ready to use.
 */
import type { QueuedWork } from './classQueue.js'
import type { EndpointState } from './endpointState.js'

/** A request is skipped at most this many times for each endpoint of the pool. */
const MAX_SKIPS_PER_ENDPOINT = 8

export interface Dispatchable {
  work: QueuedWork
  /** Endpoints that can take the request now; at least one. */
  open: EndpointState[]
  homes: Set<string>
}

export interface DispatchInput {
  waiting: QueuedWork[]
  endpointsCount: number
  nowMs: number
  openFor: (work: QueuedWork) => EndpointState[]
  homesOf: (work: QueuedWork) => Set<string>
}

export interface DispatchCandidates {
  /** Is dispatched now. */
  ready?: Dispatchable
  /** Its affinity wait has ended: dispatched if no request of another class is ready. */
  fallback?: Dispatchable
}

export function nextToDispatch (input: DispatchInput): DispatchCandidates {
  const maxSkippedCount = MAX_SKIPS_PER_ENDPOINT * input.endpointsCount
  const skipped: QueuedWork[] = []
  let fallback: Dispatchable | undefined
  for (const work of input.waiting) {
    const open = input.openFor(work)
    if (open.length === 0) continue
    const homes = input.homesOf(work)
    if (mayDispatch(work, open, homes, maxSkippedCount)) {
      for (const other of skipped) other.skippedCount += 1
      return { ready: { work, open, homes }, fallback }
    }
    skipped.push(work)
    if (!fallback && input.nowMs >= work.affinityWaitEndsAtMs) fallback = { work, open, homes }
  }
  return { fallback }
}

function mayDispatch (work: QueuedWork, open: EndpointState[], homes: Set<string>, maxSkippedCount: number): boolean {
  if (homes.size === 0 || work.skippedCount >= maxSkippedCount) return true
  return open.some(state => homes.has(state.endpointId))
}
