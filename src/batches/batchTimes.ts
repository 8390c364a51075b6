/**
 * When the results of a batch are due and when its items may be abandoned. Both are
 * computed from the acceptance of the batch and not from the moment at which a host
 * starts to run it; otherwise a new leader would treat late batches as fresh ones.
 */
import type { BatchPolicy } from '../protocol/routing.js'
import type { Clock } from '../utils/clock.js'
import type { Batch } from './batch.js'
import { ASSUMED_TOKEN_MS } from '../batchScheduling/itemOrder.js'
import type { BatchTimes } from '../batchScheduling/schedulableItem.js'

/** Used for a batch whose route no longer exists. */
const DEFAULT_DUE_MS = 10_000

export class BatchAges {
  private readonly _clock: Clock
  private readonly _addedAtMs = new WeakMap<Batch, number>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Records that this replica has received the batch. */
  taken (batch: Batch): void {
    this._addedAtMs.set(batch, this._clock.nowMs())
  }

  /** Lower bound for the age of a batch: the time since this replica received the batch, by the clock of the replica. */
  private _observedAgeMs (batch: Batch): number {
    const nowMs = this._clock.nowMs()
    return nowMs - (this._addedAtMs.get(batch) ?? nowMs)
  }

  /**
   * Times of a batch that this host starts to run. `dueAtMs`, which only affects
   * scheduling, relies on the wall clocks of two leaders, which may differ.
   * `abandonAtMs` relies on this host's own clock alone.
   */
  timesOf (batch: Batch, batchPolicy: BatchPolicy | undefined): BatchTimes {
    const nowMs = this._clock.nowMs()
    const dueMs = batchPolicy?.dueMs ?? DEFAULT_DUE_MS
    const maxQueueMs = batchPolicy?.maxQueueMs ?? DEFAULT_DUE_MS
    const observedAgeMs = this._observedAgeMs(batch)
    const ageMs = Math.max(observedAgeMs, Math.min(maxQueueMs, this._clock.wallMs() - batch.acceptedAtMs))
    const longestMs = Math.max(0, ...batch.openItems().map(({ expectedTokensCount }) => expectedTokensCount * ASSUMED_TOKEN_MS))
    const isLate = ageMs >= dueMs
    return {
      dueAtMs: nowMs - ageMs + (isLate ? Math.max(dueMs, maxQueueMs) : dueMs),
      abandonAtMs: nowMs - observedAgeMs + maxQueueMs,
      longestEndsAtMs: nowMs + longestMs
    }
  }
}
