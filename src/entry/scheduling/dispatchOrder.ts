/**
 * Which of a class's waiting requests goes next. In order, except that one
 * whose prefix has a home with a free place may pass some others: a request is
 * passed only so often, and one that has waited long enough takes any place
 * that no other wants (delay scheduling, Zaharia et al. 2010).
 */
import type { QueuedWork } from './classQueue.js'
import type { EndpointState } from './endpointState.js'

/** A request is passed at most so many times for each endpoint of the pool. */
const PASSES_PER_ENDPOINT = 8

export interface Dispatchable {
  work: QueuedWork
  /** Where it may go now; at least one. */
  open: EndpointState[]
  homes: Set<string>
}

export interface OrderInput {
  waiting: QueuedWork[]
  endpointsCount: number
  nowMs: number
  openFor: (work: QueuedWork) => EndpointState[]
  homesOf: (work: QueuedWork) => Set<string>
}

export interface Order {
  /** Goes now. */
  ready?: Dispatchable
  /** Has waited long enough: goes if nothing of another class is ready. */
  patient?: Dispatchable
}

export function nextToDispatch (input: OrderInput): Order {
  const maxPassedCount = PASSES_PER_ENDPOINT * input.endpointsCount
  const passed: QueuedWork[] = []
  let patient: Dispatchable | undefined
  for (const work of input.waiting) {
    const open = input.openFor(work)
    if (open.length === 0) continue
    const homes = input.homesOf(work)
    if (mayGo(work, open, homes, maxPassedCount)) {
      for (const other of passed) other.passedCount += 1
      return { ready: { work, open, homes }, patient }
    }
    passed.push(work)
    if (!patient && input.nowMs >= work.patienceEndsAtMs) patient = { work, open, homes }
  }
  return { patient }
}

function mayGo (work: QueuedWork, open: EndpointState[], homes: Set<string>, maxPassedCount: number): boolean {
  if (homes.size === 0 || work.passedCount >= maxPassedCount) return true
  return open.some(state => homes.has(state.endpointId))
}
