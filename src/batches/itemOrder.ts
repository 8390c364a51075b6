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
  isStarted: boolean
  /** It returned from an earlier batch; its trainer waits for it first. */
  isCarriedOver: boolean
  /** Tokens still to be made, as far as its submitter can tell. */
  remainingTokensCount: number
  /** 0 is the most urgent. */
  priority: number
}

/** Time that an engine takes for a token, until events have shown it. Measured on both sites: 38 to 41 ms for events of 52 and 54 tokens. */
export const ASSUMED_TOKEN_MS = 0.77

/** What a step of priority is worth against time to spare: half the time of an event. */
const PRIORITY_STEP_MS = 25
/** However urgent others are, an item that has so much less to spare goes before them: nobody is starved. */
const MAX_PRIORITY_SHIFT_MS = 100

/** The latest instant at which an item can start and still be whole in time. */
export function latestStartAtMs ({ dueAtMs, remainingTokensCount }: WaitingItem, tokenMs: number): number {
  return dueAtMs - remainingTokensCount * tokenMs
}

/** The instant by which items go, moved by priority. */
function sortKeyMs (item: WaitingItem, tokenMs: number): number {
  return latestStartAtMs(item, tokenMs) + Math.min(MAX_PRIORITY_SHIFT_MS, Math.max(0, item.priority) * PRIORITY_STEP_MS)
}

/**
 * The item with the least time to spare first, of whatever batch: a long item
 * of a later batch goes before a short one of an earlier batch, which would
 * only wait for its own batch's long ones. What is begun or returned goes
 * ahead of all. Priority moves an item by a bounded time.
 */
export function compareWaiting (left: WaitingItem, right: WaitingItem, tokenMs: number): number {
  if (left.isStarted !== right.isStarted) return left.isStarted ? -1 : 1
  if (left.isCarriedOver !== right.isCarriedOver) return left.isCarriedOver ? -1 : 1
  return sortKeyMs(left, tokenMs) - sortKeyMs(right, tokenMs)
}

/** A full batch makes each step of an engine slower: 37 ms an event alone, 42 beside eleven others with what they have read. */
const FULL_BATCH_SLOWDOWN = 0.13
/** An engine whose pace or health is in doubt weighs as much slower than its nature, so that it is tried when the others are full. */
const UNCERTAINTY_COST = 0.2

/** Time that an engine is expected to need for an event, whatever runs there. */
export function expectedGapMs (engine: Engine, assumedGapMs: number): number {
  return engine.pace.expectedGapMs ?? assumedGapMs
}

function busyShareOf (engine: Engine): number {
  return engine.runningCount / Math.max(1, engine.endpoint.slotsCount)
}

/** An engine at one moment, as far as its time for an event depends on it. */
export interface EngineLoad {
  /** Time that it is expected to need for an event, whatever runs there. */
  gapMs: number
  isUncertain: boolean
  engine: Engine
  kvCapacityTokens: number
}

export function loadOf (engine: Engine, assumedGapMs: number, kvCapacityTokens: number): EngineLoad {
  return { gapMs: expectedGapMs(engine, assumedGapMs), isUncertain: engine.pace.isInDoubt || engine.health.isOnTrial, engine, kvCapacityTokens }
}

/**
 * What an item costs on an engine, in milliseconds for an event: its pace, its
 * runs, and the memory that is left. Memory weighs little until it runs short,
 * because an engine that runs out of it sets its newest run back to the start.
 */
export function eventCostMs ({ gapMs, isUncertain, engine, kvCapacityTokens }: EngineLoad): number {
  const memoryShare = engine.heldTokensCount / Math.max(1, kvCapacityTokens)
  return gapMs * (1 + FULL_BATCH_SLOWDOWN * busyShareOf(engine) + memoryShare ** 2 + (isUncertain ? UNCERTAINTY_COST : 0))
}

/** The engine on which an item is expected to end first. */
export function fastestEngine (engines: readonly Engine[], assumedGapMs: number, kvCapacityTokens: number): Engine | undefined {
  let fastest: Engine | undefined
  let lowestCostMs = Number.POSITIVE_INFINITY
  for (const engine of engines) {
    const costMs = eventCostMs(loadOf(engine, assumedGapMs, kvCapacityTokens))
    if (costMs >= lowestCostMs) continue
    fastest = engine
    lowestCostMs = costMs
  }
  return fastest
}

/** What the choice between a slot that is free and one that will be depends on. */
export interface SlotChoice {
  /** The best engine with a free slot. */
  freeGapMs: number
  /** The best engine of all, which has none. */
  fullGapMs: number
  remainingEventsCount: number
  /** Time that the item has waited already. */
  waitedMs: number
}

/** An engine this much slower than another is not the same kind; those of one kind differ by less, also when one is full and the other empty. */
const SLOWER_KIND_RATIO = 1.15

/**
 * Whether an item waits for a slot of a faster engine although a slower one has
 * room. It waits as long as it would lose by running on the slower one, at most:
 * whatever comes, the two together cost it no more than twice the better of them.
 * A sample of 187 events ends 1.9 s earlier on an engine that needs 38 ms for an
 * event than on one that needs 48; a slot of a full engine should
 * be free every 70 ms (twelve slots, 0.84 s a sample by the sheet; worked out).
 */
export function shouldWaitForFaster ({ freeGapMs, fullGapMs, remainingEventsCount, waitedMs }: SlotChoice): boolean {
  if (freeGapMs < SLOWER_KIND_RATIO * fullGapMs) return false
  return waitedMs < remainingEventsCount * (freeGapMs - fullGapMs)
}

/** An engine this much slower than another is left for it. Those of one kind differ by less, also when one is full and the other empty (37 and 42 ms), so that no run goes back and forth between them. */
const MOVE_RATIO = 1.22
/** A run that gains less than this stays: moving reads the prompt and what was made again, some 20 ms, and loses an event on the way. */
const MIN_MOVING_GAIN_MS = 300
/** Hints are often far off: a run is expected to make this share of its events once more. Measured: 0.9 after 40 events, 0.5 after 80. */
const EXPECTED_REMAINING_SHARE = 0.75

/** A run as far as a move depends on it, counted in events. */
export interface RunEstimate {
  generatedCount: number
  /** What its submitter still expects. */
  hintedRemainingCount: number
  /** The longest output of the model that was seen. */
  longestCount: number
}

/** Events that a run will still make, as far as its hint, what it has made and the longest one seen tell. */
export function expectedEventsCount ({ generatedCount, hintedRemainingCount, longestCount }: RunEstimate): number {
  const remainingCount = Math.max(hintedRemainingCount, EXPECTED_REMAINING_SHARE * generatedCount)
  const isWithinLongest = generatedCount < longestCount
  return isWithinLongest ? Math.min(remainingCount, longestCount - generatedCount) : remainingCount
}

/** Time that a run saves by going on at another engine; 0 when it had better stay. */
export function movingGainMs (from: Engine, to: Engine, run: RunEstimate): number {
  const gainMs = expectedEventsCount(run) * gainPerEventMs(from, to)
  return gainMs > MIN_MOVING_GAIN_MS ? gainMs : 0
}

/** Time that each event of a run is earlier at another engine; 0 when the two are of one kind. */
export function gainPerEventMs (from: Engine, to: Engine): number {
  const fromGapMs = from.pace.presentGapMs
  const toGapMs = gapWithOneMoreMs(to)
  if (fromGapMs === undefined || toGapMs === undefined || fromGapMs < MOVE_RATIO * toGapMs) return 0
  return fromGapMs - toGapMs
}

/** Undefined when nothing tells of its pace, or what tells may be over. */
function gapWithOneMoreMs (engine: Engine): number | undefined {
  const { presentGapMs, naturalGapMs, isInDoubt } = engine.pace
  if (presentGapMs !== undefined) return presentGapMs
  return isInDoubt || naturalGapMs === undefined ? undefined : naturalGapMs * (1 + FULL_BATCH_SLOWDOWN * busyShareOf(engine))
}
