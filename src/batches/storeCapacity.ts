/**
 * Whether the batch store has room for another batch. Room is reserved for what
 * open batches are still expected to make, so that nothing accepted has to be
 * dropped later, and for submissions that are under way to the disks.
 */
import type { BatchSubmission } from '../protocol/batches.js'
import type { Clock } from '../utils/clock.js'
import type { BatchState } from './batchState.js'
import { heldBytesOfSubmission, RESULT_OVERHEAD_BYTES } from './heldBytes.js'

/** Bytes that results are counted for by expected token, before any has completed: 400 tokens of 24 parts made 15.6 KB by bench/batchMemory, KIND `part`. */
const ASSUMED_BYTES_PER_TOKEN = 39
/** The assumed figure weighs as much as so many tokens that were seen: those of one small step (a choice). */
const ASSUMED_TOKENS_COUNT = 10_000
/** A submission whose fate is not known keeps its room for so long: no call waits longer for a quorum. */
const UNKNOWN_FATE_MS = 10_000
const MB = 1024 * 1024

interface Pending {
  bytes: number
  untilMs: number
}

export class StoreCapacity {
  private readonly _state: BatchState
  private readonly _clock: Clock
  private readonly _capacityBytes: number | undefined
  private readonly _pending = new Map<string, Pending>()

  /** @param capacityBytes none: there is always room */
  constructor (state: BatchState, clock: Clock, capacityBytes: number | undefined) {
    this._state = state
    this._clock = clock
    this._capacityBytes = capacityBytes
  }

  /** Takes room for a batch that is not known yet; the reason if there is none. */
  reserve (submission: BatchSubmission): string | undefined {
    if (this._capacityBytes === undefined || this._isHeld(submission.batchId)) return undefined
    this._forgetPending()
    const takenBytes = this._state.heldBytesAt(this._clock.wallMs()) + this._expectedBytes() + this._pendingBytes(submission.batchId)
    const neededBytes = this._neededBytes(submission)
    if (takenBytes + neededBytes > this._capacityBytes) return reasonOf(takenBytes, neededBytes, this._capacityBytes)
    this._pending.set(submission.batchId, { bytes: neededBytes, untilMs: this._clock.nowMs() + UNKNOWN_FATE_MS })
    return undefined
  }

  /** The submission is in the state now, or will never be. */
  settle (batchId: string): void {
    this._pending.delete(batchId)
  }

  private _isHeld (batchId: string): boolean {
    return this._state.get(batchId)?.isOutdated(this._clock.wallMs()) === false
  }

  private _neededBytes (submission: BatchSubmission): number {
    const bytesPerToken = this._bytesPerToken()
    return submission.items.reduce((sum, { expectedTokensCount }) => sum + outputBytesOf(expectedTokensCount, bytesPerToken), heldBytesOfSubmission(submission))
  }

  /** What open items are still expected to make. */
  private _expectedBytes (): number {
    const bytesPerToken = this._bytesPerToken()
    let bytes = 0
    for (const batch of this._state.openAt(this._clock.wallMs())) {
      for (const { itemId, expectedTokensCount } of batch.openItems()) {
        bytes += Math.max(0, outputBytesOf(expectedTokensCount, bytesPerToken) - this._state.unfinishedBytes(itemId, batch.submission.account))
      }
    }
    return bytes
  }

  /** Of the batches that are kept, by what their submitters expected. */
  private _bytesPerToken (): number {
    let bytes = ASSUMED_BYTES_PER_TOKEN * ASSUMED_TOKENS_COUNT
    let tokensCount = ASSUMED_TOKENS_COUNT
    for (const { resultsBytes, completedTokensCount } of this._state.batches()) {
      bytes += resultsBytes
      tokensCount += completedTokensCount
    }
    return bytes / tokensCount
  }

  private _pendingBytes (exceptBatchId: string): number {
    let sum = 0
    for (const [batchId, { bytes }] of this._pending) sum += batchId === exceptBatchId ? 0 : bytes
    return sum
  }

  private _forgetPending (): void {
    for (const [batchId, { untilMs }] of this._pending) {
      if (this._isHeld(batchId) || this._clock.nowMs() >= untilMs) this._pending.delete(batchId)
    }
  }
}

function outputBytesOf (tokensCount: number, bytesPerToken: number): number {
  return RESULT_OVERHEAD_BYTES + tokensCount * bytesPerToken
}

function reasonOf (takenBytes: number, neededBytes: number, capacityBytes: number): string {
  const [taken, needed, capacity] = [takenBytes, neededBytes, capacityBytes].map(bytes => (bytes / MB).toFixed(1))
  return `the batch store is full: ${taken} of ${capacity} MB are held or reserved, and the batch needs ${needed} MB`
}
