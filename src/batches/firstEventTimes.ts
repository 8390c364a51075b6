/**
 * How long the engines of a service take to the first event of a run, and how long
 * a run waits for it. A prompt is processed in milliseconds but may wait behind
 * others, so the timeout is several times the longest of the latest times. A run that
 * is accepted and never begun by its engine is then repeated elsewhere within a
 * second, together with the loss of a host before it.
 */

/** Timeout while no run has begun, and upper bound. */
export const MAX_FIRST_EVENT_TIMEOUT_MS = 900
/** Lower bound: a lost packet is retransmitted twice within it. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 600
/** Timeout as a multiple of the longest time of the latest runs. */
const TIMEOUT_FACTOR = 4
/** Runs that count: a burst of steps begins more, and then shows how long prompts wait for each other. */
const LATEST_RUNS_COUNT = 32

export class FirstEventTimes {
  private readonly _latestMs: number[] = []

  /** Records the time from the start of a run to its first event. */
  record (tookMs: number): void {
    this._latestMs.push(tookMs)
    if (this._latestMs.length > LATEST_RUNS_COUNT) this._latestMs.shift()
  }

  get timeoutMs (): number {
    if (this._latestMs.length === 0) return MAX_FIRST_EVENT_TIMEOUT_MS
    const usualMs = TIMEOUT_FACTOR * Math.max(...this._latestMs)
    return Math.min(MAX_FIRST_EVENT_TIMEOUT_MS, Math.max(MIN_FIRST_EVENT_TIMEOUT_MS, usualMs))
  }
}
