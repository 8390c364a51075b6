/**
 * A batch as the batch store holds it: what was submitted of it as a whole, its
 * items until they are listed, and its results. What nobody can ask for any
 * more is not held: of a listed item only its result and the id of its reward
 * call, of an ended batch only what it listed.
 */
import { ResultState, type BatchItem, type BatchSubmission, type ItemResult } from '../protocol/batches.js'
import { heldBytesOfHead, heldBytesOfItem, heldBytesOfResult } from './heldBytes.js'

/** A batch that nobody ends is kept open no longer than this beyond its time. */
const MAX_OPEN_FACTOR = 2

/** What was submitted, with the number of the items in their stead. */
export interface SubmissionHead extends Omit<BatchSubmission, 'items'> {
  itemsCount: number
}

/** All of a batch as plain values. Its arrays are never changed; what they hold is replaced, never changed. */
export interface BatchRecord {
  submission: SubmissionHead
  /** The leader's wall clock when it took the batch. */
  acceptedAtMs: number
  keepMs: number
  isEnded: boolean
  /** In the order of the submission. */
  openItems: BatchItem[]
  results: ItemResult[]
  /** Reward call of each result. */
  rewardIds: (string | undefined)[]
  /** Tokens that the submitter expected of what has completed. */
  completedTokensCount: number
}

export class Batch {
  readonly submission: SubmissionHead
  /** The leader's wall clock when it took the batch. */
  readonly acceptedAtMs: number
  private readonly _keepMs: number
  private readonly _openItems: Map<string, BatchItem>
  private readonly _results: ItemResult[]
  private readonly _rewardIds: (string | undefined)[]
  private readonly _listed: Set<string>
  private _isEnded: boolean
  private _itemsBytes = 0
  private _resultsBytes = 0
  private _completedTokensCount: number

  constructor ({ submission, acceptedAtMs, keepMs, isEnded, openItems, results, rewardIds, completedTokensCount }: BatchRecord) {
    this.submission = submission
    this.acceptedAtMs = acceptedAtMs
    this._keepMs = keepMs
    this._isEnded = isEnded
    this._openItems = new Map(openItems.map(item => [item.itemId, item]))
    this._results = [...results]
    this._rewardIds = [...rewardIds]
    this._listed = new Set(results.map(({ itemId }) => itemId))
    this._completedTokensCount = completedTokensCount
    for (const item of this._openItems.values()) this._itemsBytes += heldBytesOfItem(item)
    for (const [position, result] of results.entries()) this._resultsBytes += heldBytesOfResult(result, rewardIds[position])
  }

  static accepted ({ items, ...head }: BatchSubmission, acceptedAtMs: number, keepMs: number): Batch {
    const submission = { ...head, itemsCount: items.length }
    return new Batch({ submission, acceptedAtMs, keepMs, isEnded: false, openItems: items.map(withCopiedBodies), results: [], rewardIds: [], completedTokensCount: 0 })
  }

  get batchId (): string {
    return this.submission.batchId
  }

  /** Whether a client account may ask for it; one of no account is anybody's. */
  isAccessibleBy (account: string | undefined): boolean {
    return this.submission.account === undefined || this.submission.account === account
  }

  get results (): readonly ItemResult[] {
    return this._results
  }

  get isEnded (): boolean {
    return this._isEnded
  }

  /** Bytes that it is counted for. */
  get heldBytes (): number {
    return heldBytesOfHead(this.submission) + this._itemsBytes + this._resultsBytes
  }

  /** Bytes that its results are counted for. */
  get resultsBytes (): number {
    return this._resultsBytes
  }

  /** Tokens that the submitter expected of what has completed. */
  get completedTokensCount (): number {
    return this._completedTokensCount
  }

  isListed (itemId: string): boolean {
    return this._listed.has(itemId)
  }

  /** An item that is not listed yet, and of a batch that has not ended. */
  openItem (itemId: string): BatchItem | undefined {
    return this._openItems.get(itemId)
  }

  openItems (): BatchItem[] {
    return [...this._openItems.values()]
  }

  /** The reward call of the result at a position. */
  rewardIdAt (position: number): string | undefined {
    return this._rewardIds[position]
  }

  /** Lists a result; its position, or undefined if the item is listed already, or is not one of the batch. */
  list (result: ItemResult): number | undefined {
    const item = this._openItems.get(result.itemId)
    if (!item) return undefined
    const rewardId = item.reward?.rewardId
    this._openItems.delete(result.itemId)
    this._listed.add(result.itemId)
    this._itemsBytes -= heldBytesOfItem(item)
    this._resultsBytes += heldBytesOfResult(result, rewardId)
    if (result.state === ResultState.Completed) this._completedTokensCount += item.expectedTokensCount
    this._rewardIds.push(rewardId)
    return this._results.push(result) - 1
  }

  /** Takes a result back from a snapshot; its position. */
  restore (result: ItemResult, rewardId: string | undefined): number {
    this._listed.add(result.itemId)
    this._resultsBytes += heldBytesOfResult(result, rewardId)
    this._rewardIds.push(rewardId)
    return this._results.push(result) - 1
  }

  end (): void {
    this._isEnded = true
    this._openItems.clear()
    this._itemsBytes = 0
  }

  /** For how long after its acceptance it is held. */
  get keptMs (): number {
    return this._isEnded ? this._keepMs : MAX_OPEN_FACTOR * this._keepMs
  }

  isOutdated (atMs: number): boolean {
    return atMs - this.acceptedAtMs > this.keptMs
  }

  /** The batch as it is now: nothing that happens to it later changes the record. */
  record (): BatchRecord {
    return {
      submission: this.submission,
      acceptedAtMs: this.acceptedAtMs,
      keepMs: this._keepMs,
      isEnded: this._isEnded,
      openItems: this.openItems(),
      results: [...this._results],
      rewardIds: [...this._rewardIds],
      completedTokensCount: this._completedTokensCount
    }
  }
}

/**
 * The item with bytes of its own: views into the command that brought it would
 * keep all bodies of its batch until the last item is listed (25 MB instead of
 * 1 MB for a hundred batches of 190 items with one open each, one run).
 */
function withCopiedBodies ({ reward, ...item }: BatchItem): BatchItem {
  const copy = { ...item, body: Uint8Array.from(item.body) }
  return reward ? { ...copy, reward: { ...reward, body: Uint8Array.from(reward.body) } } : copy
}
