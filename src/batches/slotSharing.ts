/**
 * How many slots of an engine short items may take at a time. An engine makes
 * every event later the more runs it has: 37 ms for an event alone, 42 beside
 * eleven others. A step ends with its longest sample, some 187 events, so that
 * the short items of three trainers which all begin at once cost each step
 * 0.9 s that nobody gains by: a short item has seconds to spare. So what can
 * wait is spread over the time until the next steps are asked for, as thinly as
 * still gets all of it done. Together with the order of a batch it lets samples of
 * 120 events and more end 0.2 s earlier (median of 390, of 7 s). Pure functions.
 */

/** An item that may wait, as far as that depends on it. */
export interface DeferrableItem {
  /** When the longest sample of its batch is expected to end: until then, its trainer waits anyway. */
  longestEndsAtMs: number
  /** Events that are still to be made, as far as its submitter can tell. */
  remainingEventsCount: number
}

/** Hints are right at the median; with the spread of 0.5 that the users give them, 29 of 30 samples are shorter than this many times their hint (worked out, not counted). */
const HINT_ERROR_FACTOR = 2.5
/** Events beyond that, for hints of a few events: what is started too late holds up its whole group. */
const HINT_ERROR_EVENTS_COUNT = 40

/** The instant until which an item loses nothing by waiting, even if it is as long as its hint may be wrong. */
export function deferrableUntilMs ({ longestEndsAtMs, remainingEventsCount }: DeferrableItem, gapMs: number): number {
  return longestEndsAtMs - (HINT_ERROR_FACTOR * remainingEventsCount + HINT_ERROR_EVENTS_COUNT) * gapMs
}

export interface OpenWork {
  /** Time that all open items need for their events, one after the other. */
  workMs: number
  /** Time until the next steps are expected. */
  horizonMs: number
  /** Engines that may run what waits. */
  enginesCount: number
  slotsCount: number
}

/**
 * Slots of each engine up to which patient items begin: as many as all open
 * work needs to be done by the horizon, and more than half at least, because
 * up to there an engine loses little (0.4 ms an event for each run beside, from 37
 * and 42 ms for one run and twelve).
 */
export function slotsForDeferrable ({ workMs, horizonMs, enginesCount, slotsCount }: OpenWork): number {
  const neededCount = Math.ceil(workMs / Math.max(1, horizonMs) / Math.max(1, enginesCount))
  const minCount = Math.floor(slotsCount / 2) + 1
  return Math.min(slotsCount, Math.max(minCount, neededCount))
}
