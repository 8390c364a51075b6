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
  const gapMs = engine.pace.presentGapMs ?? assumedGapMs
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

/** An engine this much slower than another is left for it; engines of one speed differ by less, also when one is full and the other empty (measured: 38 to 42 ms an event). */
const MOVE_RATIO = 1.15
/** A run that gains less than this stays: moving reads the prompt and what was made again, some 20 ms, and loses an event on the way. */
const MIN_MOVING_GAIN_MS = 300
/** Hints are often far off: a run is expected to make this share of its events once more. Measured: 0.9 after 40 events, 0.5 after 80. */
const EXPECTED_MORE_SHARE = 0.75

/**
 * Time that a run saves by going on at another engine; 0 when it had better stay.
 * @param madeEventsCount events that the run has made already
 * @param remainingEventsCount events that its submitter still expects
 */
export function movingGainMs (from: Engine, to: Engine, madeEventsCount: number, remainingEventsCount: number): number {
  const fromGapMs = from.pace.presentGapMs
  const toGapMs = to.pace.presentGapMs
  if (fromGapMs === undefined || toGapMs === undefined || fromGapMs < MOVE_RATIO * toGapMs) return 0
  const expectedEventsCount = Math.max(remainingEventsCount, EXPECTED_MORE_SHARE * madeEventsCount)
  const gainMs = expectedEventsCount * (fromGapMs - toGapMs)
  return gainMs > MIN_MOVING_GAIN_MS ? gainMs : 0
}
