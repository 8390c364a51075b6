/**
 * Which item runs first, and on which engine. Pure functions, so that a
 * policy can be compared without engines.
 */
import type { Engine } from './engineFleet.js'

/** What the order depends on. */
export interface WaitingItem {
  /** When the results of its batch are due. */
  dueAtMs: number
  /** Part of its output is there already. */
  isBegun: boolean
  /** It returned from an earlier batch; its trainer waits for it first. */
  isCarriedOver: boolean
  expectedTokensCount: number
}

/** Earlier batches first; within one, what is begun or returned, then the longest, which end last. */
export function compareWaiting (left: WaitingItem, right: WaitingItem): number {
  if (left.dueAtMs !== right.dueAtMs) return left.dueAtMs - right.dueAtMs
  if (left.isBegun !== right.isBegun) return left.isBegun ? -1 : 1
  if (left.isCarriedOver !== right.isCarriedOver) return left.isCarriedOver ? -1 : 1
  return right.expectedTokensCount - left.expectedTokensCount
}

/** Stands in for the time between events of an engine that has made none yet. */
const UNKNOWN_GAP_MS = 40
/** A full batch makes each step of an engine a little slower. */
const FULL_BATCH_SLOWDOWN = 0.3

/** The engine on which an item is expected to end first: its pace, its runs, and the memory that is left. */
export function fastestEngine (engines: readonly Engine[], kvCapacityTokens: number): Engine | undefined {
  let fastest: Engine | undefined
  let lowestCost = Number.POSITIVE_INFINITY
  for (const engine of engines) {
    const gapMs = engine.meanGapMs ?? UNKNOWN_GAP_MS
    const busyShare = engine.runningCount / Math.max(1, engine.endpoint.slotsCount)
    const memoryShare = engine.heldTokensCount / Math.max(1, kvCapacityTokens)
    const cost = gapMs * (1 + FULL_BATCH_SLOWDOWN * busyShare + memoryShare)
    if (cost >= lowestCost) continue
    fastest = engine
    lowestCost = cost
  }
  return fastest
}
