/**
 * Admission control of the batch store by size. Capacity is reserved for the
 * output that open batches are still expected to produce, so that nothing accepted
 * has to be dropped later, and for submissions that are not committed yet.
 */
import type { BatchItem, BatchSubmission } from '../protocol/batches.js'
import type { Clock } from '../utils/clock.js'
import type { BatchReference } from './batchClient.js'
import type { BatchState } from './batchState.js'
import { heldBytesOfSubmission, RESULT_OVERHEAD_BYTES } from './heldBytes.js'
import type { StagedSubmission } from './stagedSubmissions.js'

/** Result bytes per expected token, before any result is complete: 400 tokens in 24 parts take 15.6 KB in bench/batchMemory, KIND `part`. */
const ASSUMED_BYTES_PER_TOKEN = 39
/** The assumed ratio weighs as much as this number of observed tokens: the tokens of one small step. */
const ASSUMED_RATIO_WEIGHT_TOKENS = 10_000
/** A submission with an unknown outcome, or one that does not go on to arrive, keeps its reservation this long: no call waits longer for a quorum. */
const UNKNOWN_OUTCOME_TTL_MS = 10_000
/** Submissions in parts use this share of the capacity; the rest is for those of ordinary size. */
const PARTS_SHARE = 0.9
/** One of which nothing has come for this long waits for its client, not for the store: no host waits longer for the store to take a part. */
const STILL_AFTER_MS = 2_000
const MB = 1024 * 1024

interface Reservation {
  bytes: number
  expiresAtMs: number
  /** For what is to arrive in parts: from when on it gives way to others. */
  stillAtMs: number
}

export class StoreCapacity {
  private readonly _state: BatchState
  private readonly _clock: Clock
  private readonly _capacityBytes: number | undefined
  private readonly _reservations = new Map<string, Reservation>()

  /** @param capacityBytes undefined for no limit */
  constructor (state: BatchState, clock: Clock, capacityBytes: number | undefined) {
    this._state = state
    this._clock = clock
    this._capacityBytes = capacityBytes
  }

  /** Reserves capacity for a batch that is not stored yet; returns the reason if the batch does not fit. */
  reserve (submission: BatchSubmission): string | undefined {
    if (this._capacityBytes === undefined || this._isStored(submission.batchId)) return undefined
    return this._reserve(submission.batchId, heldBytesOfSubmission(submission) + this._outputBytes(submission.items))
  }

  private _reserve (batchId: string, neededBytes: number, share = 1, stillAtMs = Infinity): string | undefined {
    this._dropExpiredReservations()
    const capacityBytes = (this._capacityBytes ?? Number.POSITIVE_INFINITY) * share
    const otherBytes = this._state.heldBytesAt(this._clock.wallMs()) + this._expectedBytes()
    this._makeRoom(capacityBytes - otherBytes - neededBytes, batchId)
    const usedBytes = otherBytes + this._reservedBytes(batchId)
    if (usedBytes + neededBytes > capacityBytes) return refusalReason(usedBytes, neededBytes, capacityBytes)
    this._reservations.set(batchId, { bytes: neededBytes, expiresAtMs: this._clock.nowMs() + UNKNOWN_OUTCOME_TTL_MS, stillAtMs })
    return undefined
  }

  /** Lets go of reservations for what does not come, the oldest first, until the others have this many bytes at most. */
  private _makeRoom (maxReservedBytes: number, exceptBatchId: string): void {
    const nowMs = this._clock.nowMs()
    const still = [...this._reservations].filter(([batchId, { stillAtMs }]) => batchId !== exceptBatchId && stillAtMs <= nowMs)
    still.sort(([, left], [, right]) => left.stillAtMs - right.stillAtMs)
    for (const [batchId] of still) {
      if (this._reservedBytes(exceptBatchId) <= maxReservedBytes) return
      this._reservations.delete(batchId)
    }
  }

  /** The submission in parts that has stood still longest; undefined if none has for long enough to give way. */
  longestStillParts (exceptBatchId: string): StagedSubmission | undefined {
    return this._state.staged.longestStill(this._clock.wallMs() - STILL_AFTER_MS, exceptBatchId)
  }

  /**
   * Reserves capacity for a submission that is to arrive in parts, before the first of them
   * is taken; returns the reason if it does not fit. Repeated with each part.
   * @param totalBytes size of the whole submission as its sender has it, an upper bound of what its items will hold
   */
  reserveParts (reference: BatchReference, totalBytes: number): string | undefined {
    const { batchId } = reference
    if (this._capacityBytes === undefined || this._isStored(batchId)) return undefined
    return this._reserve(batchId, Math.max(0, totalBytes - this._state.staged.bytesOf(reference)), PARTS_SHARE, this._clock.nowMs() + STILL_AFTER_MS)
  }

  /** The same for the output of a submission whose items have all arrived. */
  reserveOutput (submission: BatchSubmission, items: readonly BatchItem[]): string | undefined {
    if (this._capacityBytes === undefined || this._isStored(submission.batchId)) return undefined
    return this._reserve(submission.batchId, heldBytesOfSubmission(submission) + this._outputBytes(items))
  }

  /** Releases the reservation of a submission that was applied, or that never will be. */
  release (batchId: string): void {
    this._reservations.delete(batchId)
  }

  private _isStored (batchId: string): boolean {
    return this._state.get(batchId)?.isExpired(this._clock.wallMs()) === false
  }

  private _outputBytes (items: readonly BatchItem[]): number {
    const bytesPerToken = this._bytesPerToken()
    return items.reduce((sum, { expectedTokensCount }) => sum + expectedOutputBytes(expectedTokensCount, bytesPerToken), 0)
  }

  /** Output that open items are still expected to produce. */
  private _expectedBytes (): number {
    const bytesPerToken = this._bytesPerToken()
    let bytes = 0
    for (const batch of this._state.openBatchesAt(this._clock.wallMs())) {
      for (const { itemId, expectedTokensCount } of batch.openItems()) {
        bytes += Math.max(0, expectedOutputBytes(expectedTokensCount, bytesPerToken) - this._state.unfinishedBytes(itemId, batch.submission.account))
      }
    }
    return bytes
  }

  /** Result bytes per expected token, over the stored batches. */
  private _bytesPerToken (): number {
    let bytes = ASSUMED_BYTES_PER_TOKEN * ASSUMED_RATIO_WEIGHT_TOKENS
    let tokensCount = ASSUMED_RATIO_WEIGHT_TOKENS
    for (const { resultsBytes, completedTokensCount } of this._state.batches()) {
      bytes += resultsBytes
      tokensCount += completedTokensCount
    }
    return bytes / tokensCount
  }

  private _reservedBytes (exceptBatchId: string): number {
    let sum = 0
    for (const [batchId, { bytes }] of this._reservations) sum += batchId === exceptBatchId ? 0 : bytes
    return sum
  }

  private _dropExpiredReservations (): void {
    for (const [batchId, { expiresAtMs }] of this._reservations) {
      if (this._isStored(batchId) || this._clock.nowMs() >= expiresAtMs) this._reservations.delete(batchId)
    }
  }
}

function expectedOutputBytes (tokensCount: number, bytesPerToken: number): number {
  return RESULT_OVERHEAD_BYTES + tokensCount * bytesPerToken
}

function refusalReason (usedBytes: number, neededBytes: number, capacityBytes: number): string {
  const [used, needed, capacity] = [usedBytes, neededBytes, capacityBytes].map(bytes => (bytes / MB).toFixed(1))
  return `the batch store is full: ${used} of ${capacity} MB are held or reserved, and the batch needs ${needed} MB`
}
