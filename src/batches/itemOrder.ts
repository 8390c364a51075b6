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
  /** Tokens still to be made, as far as its submitter can tell. */
  remainingTokensCount: number
}

/** Time that an engine takes for a token, until events have shown it. Measured on both sites: 38 to 41 ms for events of 52 and 54 tokens. */
export const ASSUMED_TOKEN_MS = 0.77

/** The latest instant at which an item can start and still be whole in time. */
export function latestStartMs ({ dueAtMs, remainingTokensCount }: WaitingItem, tokenMs: number): number {
  return dueAtMs - remainingTokensCount * tokenMs
}

/**
 * The item with the least time to spare first, of whatever batch: a long item
 * of a later batch goes before a short one of an earlier batch, which would
 * only wait for its own batch's long ones. What is begun or returned goes
 * ahead of all.
 */
export function compareWaiting (left: WaitingItem, right: WaitingItem, tokenMs: number): number {
  if (left.isBegun !== right.isBegun) return left.isBegun ? -1 : 1
  if (left.isCarriedOver !== right.isCarriedOver) return left.isCarriedOver ? -1 : 1
  return latestStartMs(left, tokenMs) - latestStartMs(right, tokenMs)
}

/** A full batch makes each step of an engine a little slower. */
const FULL_BATCH_SLOWDOWN = 0.3

/** What an item costs on an engine, in milliseconds for an event: its pace, its runs, and the memory that is left. */
export function eventCostMs (engine: Engine, assumedGapMs: number, kvCapacityTokens: number): number {
  const gapMs = engine.meanGapMs ?? assumedGapMs
  const busyShare = engine.runningCount / Math.max(1, engine.endpoint.slotsCount)
  const memoryShare = engine.heldTokensCount / Math.max(1, kvCapacityTokens)
  return gapMs * (1 + FULL_BATCH_SLOWDOWN * busyShare + memoryShare)
}

/** The engine on which an item is expected to end first. */
export function fastestEngine (engines: readonly Engine[], assumedGapMs: number, kvCapacityTokens: number): Engine | undefined {
  let fastest: Engine | undefined
  let lowestCostMs = Number.POSITIVE_INFINITY
  for (const engine of engines) {
    const costMs = eventCostMs(engine, assumedGapMs, kvCapacityTokens)
    if (costMs >= lowestCostMs) continue
    fastest = engine
    lowestCostMs = costMs
  }
  return fastest
}

/** An engine this much slower than another with room is left; moving costs a new prompt reading. */
const MOVE_RATIO = 1.25
/** A run with less left than this is not worth moving. */
const MIN_MOVED_MS = 400
/** Hints are often far off: a run goes on for at least this many events more than it has made, for all we know. */
const EXPECTED_MORE_SHARE = 0.5

/**
 * Whether a run had better go on at another engine.
 * @param madeEventsCount events that the run has made already
 */
export function isWorthMoving (from: Engine, to: Engine, madeEventsCount: number, remainingEventsCount: number): boolean {
  if (from.meanGapMs === undefined || to.meanGapMs === undefined || from.meanGapMs < MOVE_RATIO * to.meanGapMs) return false
  const expectedEventsCount = Math.max(remainingEventsCount, EXPECTED_MORE_SHARE * madeEventsCount)
  return expectedEventsCount * (from.meanGapMs - to.meanGapMs) > MIN_MOVED_MS
}
