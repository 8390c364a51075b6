/**
 * Forecasts the length of an item from the submitter's hint, from the events made so
 * far, and from what the finished items of the model have shown. Hints are right at the
 * median and often far off, and lengths have heavy tails: the length is taken for
 * log-normal about the hint, so that a run that has passed its hint is expected to go on
 * for the longer the further it has come.
 */

/** Spread of the logarithm of length and hint, assumed until finished items show it. */
const ASSUMED_SPREAD = 0.5
/** Finished items that the assumed spread counts for: short items finish first, and say little of the long ones. */
const ASSUMED_SPREAD_ITEMS_COUNT = 50
/** A model whose hints are exact or useless for a while is still forecast with a spread within these bounds. */
const MIN_SPREAD = 0.2
const MAX_SPREAD = 1
/** Standard normal quantile of 0.9. */
const TAIL_DEVIATIONS = 1.28
/** Beyond this many standard deviations the ratio of two tails is taken from its asymptote. */
const MAX_DEVIATIONS = 3
/** Shortest hint, in events, so that its logarithm is finite. */
const MIN_HINT_EVENTS_COUNT = 1

/** What the forecast rests on, in events. */
export interface LengthEvidence {
  /** Whole length by the submitter's hint. */
  hintedCount: number
  generatedCount: number
  /** The longest output seen of the model; 0 before the first. */
  longestCount: number
  /** Spread of the model, from `LengthSpread`. */
  spread: number
}

/** The spread of lengths about their hints, from the finished items of a model. */
export class LengthSpread {
  private _itemsCount = ASSUMED_SPREAD_ITEMS_COUNT
  private _squaresSum = ASSUMED_SPREAD_ITEMS_COUNT * ASSUMED_SPREAD ** 2

  record (hintedCount: number, eventsCount: number): void {
    if (eventsCount <= 0) return
    this._itemsCount++
    this._squaresSum += Math.log(eventsCount / Math.max(MIN_HINT_EVENTS_COUNT, hintedCount)) ** 2
  }

  get value (): number {
    return Math.min(MAX_SPREAD, Math.max(MIN_SPREAD, Math.sqrt(this._squaresSum / this._itemsCount)))
  }
}

/** Expected number of events that an item will still generate. */
export function expectedRestCount (evidence: LengthEvidence): number {
  const { generatedCount, longestCount } = evidence
  const restCount = unboundedRestCount(evidence)
  return generatedCount < longestCount ? Math.min(restCount, longestCount - generatedCount) : restCount
}

/** Number of events to which the rest of nine of ten such items is limited. */
export function tailRestCount (evidence: LengthEvidence): number {
  const { hintedCount, generatedCount, longestCount, spread } = evidence
  const quantileCount = Math.max(MIN_HINT_EVENTS_COUNT, hintedCount) * Math.exp(TAIL_DEVIATIONS * spread)
  const restCount = Math.max(expectedRestCount(evidence), quantileCount - generatedCount)
  return generatedCount < longestCount ? Math.min(restCount, longestCount - generatedCount) : restCount
}

/** Mean excess of a log-normal length over what was generated. */
function unboundedRestCount ({ hintedCount, generatedCount, spread }: LengthEvidence): number {
  const medianCount = Math.max(MIN_HINT_EVENTS_COUNT, hintedCount)
  const meanCount = medianCount * Math.exp(spread ** 2 / 2)
  if (generatedCount <= 0) return meanCount
  const deviations = Math.log(generatedCount / medianCount) / spread
  if (deviations > MAX_DEVIATIONS) return generatedCount * spread / deviations
  return Math.max(0, meanCount * upperTail(deviations - spread) / upperTail(deviations) - generatedCount)
}

/** Probability that a standard normal variable exceeds a value, within 1e-7 (Abramowitz and Stegun, 26.2.17). */
function upperTail (deviations: number): number {
  if (deviations < 0) return 1 - upperTail(-deviations)
  const t = 1 / (1 + 0.2316419 * deviations)
  const polynomial = t * (0.319381530 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))))
  return polynomial * Math.exp(-(deviations ** 2) / 2) / Math.sqrt(2 * Math.PI)
}
