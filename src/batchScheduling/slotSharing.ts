/**
 * How many slots of an engine short items may occupy at a time. Each event takes
 * longer the more runs an engine has: 37 ms for a single run, 42 ms beside eleven
 * others. A step ends with its longest sample, about 187 events, so starting the short
 * items of three trainers all at once delays each step by 0.9 s without a benefit, as
 * short items have seconds of slack. Deferrable items are therefore spread as thinly
 * as possible over the time until the next steps are expected. Together with the order
 * of items, samples of 120 events and more end 0.2 s earlier (median of 390 samples
 * that take 7 s). Pure functions.
 */

/** The properties of an item that determine how long its start can be deferred. */
export interface DeferrableItem {
  /** When the longest sample of its batch is expected to end; its trainer waits until then anyway. */
  longestEndsAtMs: number
  /** Events still to be generated, by the submitter's estimate. */
  remainingEventsCount: number
}

/** Hints are right at the median. With a spread of 0.5, as in the known deployments, 29 of 30 samples should be shorter than this many times their hint (calculated). */
const HINT_ERROR_FACTOR = 2.5
/** Events added to the product of hint and factor, for hints of a few events; an item that starts too late delays its whole group. */
const HINT_ERROR_EVENTS_COUNT = 40

/** The time until which the start of an item can be deferred without delaying its batch, allowing for errors of its hint. */
export function deferrableUntilMs ({ longestEndsAtMs, remainingEventsCount }: DeferrableItem, gapMs: number): number {
  return longestEndsAtMs - (HINT_ERROR_FACTOR * remainingEventsCount + HINT_ERROR_EVENTS_COUNT) * gapMs
}

export interface OpenWork {
  /** Total time that all open items need for their events. */
  workMs: number
  /** Time until the next steps are expected. */
  horizonMs: number
  /** Engines that may run the waiting items. */
  enginesCount: number
  slotsCount: number
}

/**
 * Runs of each engine up to which deferrable items start: as many as are needed to
 * finish all open work by the horizon, and at least one more than half the slots,
 * because up to there an engine loses little speed (0.4 ms per event for each further
 * run, from 37 and 42 ms for one run and twelve).
 */
export function slotsForDeferrable ({ workMs, horizonMs, enginesCount, slotsCount }: OpenWork): number {
  const neededCount = Math.ceil(workMs / Math.max(1, horizonMs) / Math.max(1, enginesCount))
  const minCount = Math.floor(slotsCount / 2) + 1
  return Math.min(slotsCount, Math.max(minCount, neededCount))
}
