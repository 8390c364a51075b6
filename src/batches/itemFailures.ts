/**
 * The failures of one item at engines, and what follows from them: how long it pauses
 * before its next run, and when it has been tried often enough.
 */
import { FailureAttribution } from '../endpoints/failureAttribution.js'

/** Pause after a failed run, so that a broken engine is not called in a tight loop; the pause doubles after each further failure that an engine answered. */
export const RETRY_PAUSE_MS = 30
const MAX_RETRY_PAUSE_MS = 1_000
/** An item that too few different engines have tried is abandoned after this many times the failures that its route allows. */
const MAX_FAILURES_FACTOR = 2

export class ItemFailures {
  readonly attribution: FailureAttribution

  constructor (itemId: string) {
    this.attribution = new FailureAttribution(() => itemId)
  }

  get retryPauseMs (): number {
    return Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2 ** Math.max(0, this.attribution.failuresCount - 1))
  }

  /**
   * Whether the item has failed as often as its route allows, at different engines if there are enough.
   * @param enginesCount engines of the item's service that accept new runs
   */
  haveExhausted (maxAttemptsCount: number, enginesCount: number): boolean {
    const { failuresCount, endpointsCount } = this.attribution
    if (failuresCount < maxAttemptsCount) return false
    return endpointsCount >= Math.min(maxAttemptsCount, enginesCount) || failuresCount >= MAX_FAILURES_FACTOR * maxAttemptsCount
  }
}
