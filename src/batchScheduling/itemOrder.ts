/**
 * The scheduling policy: which item runs first, and on which engine. Pure functions,
 * so that policies can be compared without engines.
 */
import type { Engine } from './engineFleet.js'

/** The properties of an item that determine its place in the order. */
export interface WaitingItem {
  /** When the results of its batch are due. */
  dueAtMs: number
  /** Part of its output exists already. */
  isStarted: boolean
  /** The item was already submitted in an earlier batch; its trainer waits for this item first. */
  isCarriedOver: boolean
  /** Tokens still to be generated, by the submitter's estimate. */
  remainingTokensCount: number
  /** 0 is the most urgent. */
  priority: number
}

/** Assumed time per token until the time per event of an engine is known: the engines of both known deployments need 38 to 41 ms for events of 52 and 54 tokens. */
export const ASSUMED_TOKEN_MS = 0.77

/** Delay of an item's place in the order for each level of priority: half the time of an event. */
const PRIORITY_STEP_MS = 25
/** Bound for the delay by priority, so that items of low priority are not starved. */
const MAX_PRIORITY_SHIFT_MS = 100

/** The latest time at which an item can start and still be complete when its results are due. */
export function latestStartAtMs ({ dueAtMs, remainingTokensCount }: WaitingItem, tokenMs: number): number {
  return dueAtMs - remainingTokensCount * tokenMs
}

/** The time by which items are sorted: the latest start, delayed by priority. */
function sortKeyMs (item: WaitingItem, tokenMs: number): number {
  return latestStartAtMs(item, tokenMs) + Math.min(MAX_PRIORITY_SHIFT_MS, Math.max(0, item.priority) * PRIORITY_STEP_MS)
}

/**
 * Comparator that puts the item with the least slack first, across batches: a long
 * item of a later batch precedes a short one of an earlier batch, which would only
 * wait for the long ones of its own batch. Started items precede all others, then
 * carried-over ones. Priority delays an item by a bounded time.
 */
export function compareWaiting (left: WaitingItem, right: WaitingItem, tokenMs: number): number {
  if (left.isStarted !== right.isStarted) return left.isStarted ? -1 : 1
  if (left.isCarriedOver !== right.isCarriedOver) return left.isCarriedOver ? -1 : 1
  return sortKeyMs(left, tokenMs) - sortKeyMs(right, tokenMs)
}

/** Relative slowdown of an engine by a full decoding batch: 37 ms per event for a single run, 42 ms beside eleven others with their prompts. */
const FULL_BATCH_SLOWDOWN = 0.13
/** Relative cost added for an engine whose time per event or health is uncertain, so that the engine is only tried when the others are full. */
const UNCERTAINTY_COST = 0.2

/** Expected time between two events of a run at an engine, regardless of its present load. */
export function expectedGapMs (engine: Engine, assumedGapMs: number): number {
  return engine.pace.expectedGapMs ?? assumedGapMs
}

function busyShareOf (engine: Engine): number {
  return engine.runningCount / Math.max(1, engine.endpoint.slotsCount)
}

/** The state of an engine that determines the cost of running an item there. */
export interface EngineLoad {
  /** Expected time between two events of a run, regardless of the present load. */
  gapMs: number
  isUncertain: boolean
  engine: Engine
  kvCapacityTokens: number
}

export function loadOf (engine: Engine, assumedGapMs: number, kvCapacityTokens: number): EngineLoad {
  return { gapMs: expectedGapMs(engine, assumedGapMs), isUncertain: engine.pace.needsProbe || engine.health.isHalfOpen, engine, kvCapacityTokens }
}

/**
 * Cost of running an item on an engine, in milliseconds per event, from the time per event,
 * the runs and the used memory of the engine. Memory has little weight until it runs
 * short; an engine that runs out of memory restarts its newest run from the beginning.
 */
export function eventCostMs ({ gapMs, isUncertain, engine, kvCapacityTokens }: EngineLoad): number {
  const memoryShare = engine.reservedTokensCount / Math.max(1, kvCapacityTokens)
  return gapMs * (1 + FULL_BATCH_SLOWDOWN * busyShareOf(engine) + memoryShare ** 2 + (isUncertain ? UNCERTAINTY_COST : 0))
}

/** The engine on which an item is expected to finish first. */
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

/** Input for the choice between a free slot and a slot of a faster engine that is not free yet. */
export interface SlotChoice {
  /** Expected time per event of the best engine with a free slot. */
  freeGapMs: number
  /** Expected time per event of the best engine, which has no free slot. */
  fullGapMs: number
  remainingEventsCount: number
  /** Time for which the item has already waited. */
  waitedMs: number
}

/** An engine slower than another by this ratio is of another kind. Engines of one kind differ by less, even when one is full and the other empty. */
const SLOWER_KIND_RATIO = 1.15

/**
 * Whether an item waits for a slot of a faster engine although a slower one has a
 * free slot. It waits at most for the time that it would lose on the slower engine,
 * so that waiting and losing together cost at most twice the better choice. A sample
 * of 187 events ends 1.9 s earlier on an engine that needs 38 ms per event than on
 * one that needs 48 ms, while a full engine should free a slot every 70 ms (twelve
 * slots, 0.84 s per sample).
 */
export function shouldWaitForFaster ({ freeGapMs, fullGapMs, remainingEventsCount, waitedMs }: SlotChoice): boolean {
  if (freeGapMs < SLOWER_KIND_RATIO * fullGapMs) return false
  return waitedMs < remainingEventsCount * (freeGapMs - fullGapMs)
}

/** A run leaves an engine that is slower than another by this ratio. Engines of one kind differ by less, even when one is full and the other empty (42 and 37 ms), so no run moves back and forth between them. */
const MOVE_RATIO = 1.22
/** A run that gains less than this stays: a move processes the prompt and the generated text again, which takes about 20 ms, and loses an event in transit. */
export const MIN_MOVING_GAIN_MS = 300
/** A run is expected to generate at least this share of its events once more, as hints are often far off: a share of 0.9 was seen after 40 events, 0.5 after 80 events. */
const EXPECTED_REMAINING_SHARE = 0.75

/** Progress and expected length of a run, in events. */
export interface RunEstimate {
  generatedCount: number
  /** Events still to come by the submitter's hint. */
  hintedRemainingCount: number
  /** The longest output seen of the model. */
  longestCount: number
}

/** Estimates the events that a run will still generate from its hint, the events so far and the longest output seen. */
export function expectedEventsCount ({ generatedCount, hintedRemainingCount, longestCount }: RunEstimate): number {
  const remainingCount = Math.max(hintedRemainingCount, EXPECTED_REMAINING_SHARE * generatedCount)
  const isWithinLongest = generatedCount < longestCount
  return isWithinLongest ? Math.min(remainingCount, longestCount - generatedCount) : remainingCount
}

/** Time that a run saves by moving to another engine; 0 when the run should stay. */
export function movingGainMs (from: Engine, to: Engine, run: RunEstimate): number {
  const gainMs = expectedEventsCount(run) * gainPerEventMs(from, to)
  return gainMs > MIN_MOVING_GAIN_MS ? gainMs : 0
}

/** Time that a run saves per event by moving to another engine; 0 when both engines are of one kind. */
export function gainPerEventMs (from: Engine, to: Engine): number {
  const fromGapMs = from.pace.lastingGapMs
  const toGapMs = gapWithOneMoreMs(to)
  if (fromGapMs === undefined || toGapMs === undefined || fromGapMs < MOVE_RATIO * toGapMs) return 0
  return fromGapMs - toGapMs
}

/** Expected time per event of an engine with one more run; undefined when the present time per event is unknown or uncertain. */
function gapWithOneMoreMs (engine: Engine): number | undefined {
  const { lastingGapMs, currentGapMs, baselineGapMs, needsProbe } = engine.pace
  if (currentGapMs !== undefined) return lastingGapMs
  return needsProbe || baselineGapMs === undefined ? undefined : baselineGapMs * (1 + FULL_BATCH_SLOWDOWN * busyShareOf(engine))
}
