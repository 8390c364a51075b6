/**
 * When the results of a batch are due and when its items may be given up, the same
 * for whoever runs it: reckoned from its acceptance, not from the moment at which a
 * host begins to run it. A successor would take batches that are late for fresh ones.
 */
import type { BatchPromise } from '../protocol/routing.js'
import type { Clock } from '../utils/clock.js'
import type { Batch } from './batch.js'
import { ASSUMED_TOKEN_MS } from './itemOrder.js'

/** For a batch whose route is not known any more. */
const DEFAULT_DUE_MS = 10_000

/** Instants that are the same for all items of a batch, by this host's clock. */
export interface BatchTimes {
  /** When the results are due, or are last of use if that has passed. */
  dueAtMs: number
  /** From then on an item may be given up. */
  abandonAtMs: number
  /** When its longest sample is expected to end, if that begins at once. */
  longestEndsAtMs: number
}

export class BatchAges {
  private readonly _clock: Clock
  private readonly _addedAtMs = new WeakMap<Batch, number>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** This replica holds the batch from now on. */
  taken (batch: Batch): void {
    this._addedAtMs.set(batch, this._clock.nowMs())
  }

  /** Time that a batch is accepted for at least: what this replica's own clock has seen of it. */
  private _observedAgeMs (batch: Batch): number {
    const nowMs = this._clock.nowMs()
    return nowMs - (this._addedAtMs.get(batch) ?? nowMs)
  }

  /**
   * The times of a batch that this host begins to run. What is only ordered by
   * them goes by the wall clocks of two leaders, which may differ; nothing is given
   * up before this host's own clock says so.
   */
  timesOf (batch: Batch, batchPromise: BatchPromise | undefined): BatchTimes {
    const nowMs = this._clock.nowMs()
    const dueMs = batchPromise?.dueMs ?? DEFAULT_DUE_MS
    const maxQueueMs = batchPromise?.maxQueueMs ?? DEFAULT_DUE_MS
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
