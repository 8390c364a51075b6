/**
 * A batch in the state of the batch store: the submission without its items, the
 * open items and the results. Data that can no longer be requested is dropped: a
 * listed item keeps only its result and the id of its reward call, an ended batch
 * keeps only its results.
 */
import { ResultState, type BatchItem, type BatchSubmission, type ItemResult, type SubmissionHead } from '../protocol/batches.js'
import { heldBytesOfHead, heldBytesOfIds, heldBytesOfItem, heldBytesOfResult } from './heldBytes.js'

/** A batch that its submitter never ends expires after this many times its retention time. */
const MAX_OPEN_FACTOR = 2

/** Plain data of a batch, as stored in snapshots. Neither its arrays nor their elements are mutated. */
export interface BatchRecord {
  submission: SubmissionHead
  /** Wall clock time of the leader when the leader accepted the batch. */
  acceptedAtMs: number
  keepMs: number
  isEnded: boolean
  /** In the order of the submission. */
  openItems: BatchItem[]
  results: ItemResult[]
  /** Id of the reward call of each result. */
  rewardIds: (string | undefined)[]
  /** Sum of the tokens that the submitter expected of the completed items. */
  completedTokensCount: number
  /** Number of groups of all items; absent in snapshots that were written without it. */
  groupsCount?: number | undefined
  /** Items of an ended batch without a result; absent in snapshots that were written without it. */
  unlistedItemIds?: string[]
}

export class Batch {
  readonly submission: SubmissionHead
  /** Wall clock time of the leader when the leader accepted the batch. */
  readonly acceptedAtMs: number
  /** Number of groups of all items; undefined if the batch comes from a snapshot without it. */
  readonly groupsCount: number | undefined
  private readonly _keepMs: number
  private readonly _openItems: Map<string, BatchItem>
  private readonly _results: ItemResult[]
  private readonly _rewardIds: (string | undefined)[]
  private readonly _listed: Set<string>
  private _isEnded: boolean
  private _itemsBytes = 0
  private _resultsBytes = 0
  private _completedTokensCount: number
  /** Items that had no result when the batch ended; they may return in a later batch. */
  private _unlistedItemIds: Set<string>

  constructor ({ submission, acceptedAtMs, keepMs, isEnded, openItems, results, rewardIds, completedTokensCount, groupsCount, unlistedItemIds = [] }: BatchRecord) {
    this.submission = submission
    this.acceptedAtMs = acceptedAtMs
    this._keepMs = keepMs
    this._isEnded = isEnded
    this._openItems = new Map(openItems.map(item => [item.itemId, item]))
    this._results = [...results]
    this._rewardIds = [...rewardIds]
    this._listed = new Set(results.map(({ itemId }) => itemId))
    this._completedTokensCount = completedTokensCount
    this.groupsCount = groupsCount
    this._unlistedItemIds = new Set(unlistedItemIds)
    this._itemsBytes = heldBytesOfIds(unlistedItemIds)
    for (const item of this._openItems.values()) this._itemsBytes += heldBytesOfItem(item)
    for (const [position, result] of results.entries()) this._resultsBytes += heldBytesOfResult(result, rewardIds[position])
  }

  static accepted ({ items, ...head }: BatchSubmission, acceptedAtMs: number, keepMs: number): Batch {
    const submission = { ...head, itemsCount: items.length }
    return new Batch({ submission, acceptedAtMs, keepMs, isEnded: false, openItems: items.map(withCopiedBodies), results: [], rewardIds: [], completedTokensCount: 0, groupsCount: new Set(items.map(({ groupId }) => groupId)).size })
  }

  get batchId (): string {
    return this.submission.batchId
  }

  /** Whether a client account may access the batch; a batch without an account is accessible to all. */
  isAccessibleBy (account: string | undefined): boolean {
    return this.submission.account === undefined || this.submission.account === account
  }

  get results (): readonly ItemResult[] {
    return this._results
  }

  get isEnded (): boolean {
    return this._isEnded
  }

  /** Estimated memory of the batch in bytes. */
  get heldBytes (): number {
    return heldBytesOfHead(this.submission) + this._itemsBytes + this._resultsBytes
  }

  /** Estimated memory of the results of the batch in bytes. */
  get resultsBytes (): number {
    return this._resultsBytes
  }

  /** Sum of the tokens that the submitter expected of the completed items. */
  get completedTokensCount (): number {
    return this._completedTokensCount
  }

  isListed (itemId: string): boolean {
    return this._listed.has(itemId)
  }

  /** An item without a listed result; undefined once the batch has ended. */
  openItem (itemId: string): BatchItem | undefined {
    return this._openItems.get(itemId)
  }

  /** Whether the batch ended before the item had a result. */
  hasUnlisted (itemId: string): boolean {
    return this._unlistedItemIds.has(itemId)
  }

  openItems (): BatchItem[] {
    return [...this._openItems.values()]
  }

  /** Id of the reward call of the result at a position. */
  rewardIdAt (position: number): string | undefined {
    return this._rewardIds[position]
  }

  /** Appends a result and returns its position; undefined if the item is listed already or does not belong to the batch. */
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

  /** Adds an open item read from a snapshot, behind those that were read before it. */
  restoreItem (item: BatchItem): void {
    this._openItems.set(item.itemId, item)
    this._itemsBytes += heldBytesOfItem(item)
  }

  /** Appends a result read from a snapshot and returns its position. */
  restore (result: ItemResult, rewardId: string | undefined): number {
    this._listed.add(result.itemId)
    this._resultsBytes += heldBytesOfResult(result, rewardId)
    this._rewardIds.push(rewardId)
    return this._results.push(result) - 1
  }

  end (): void {
    if (this._isEnded) return
    this._isEnded = true
    this._unlistedItemIds = new Set(this._openItems.keys())
    this._itemsBytes = heldBytesOfIds(this._unlistedItemIds)
    this._openItems.clear()
  }

  /** Retention time, counted from the acceptance. */
  get keptMs (): number {
    return this._isEnded ? this._keepMs : MAX_OPEN_FACTOR * this._keepMs
  }

  isExpired (atMs: number): boolean {
    return atMs - this.acceptedAtMs > this.keptMs
  }

  /** A copy of the present state, which later changes to the batch do not affect. */
  record (): BatchRecord {
    return {
      submission: this.submission,
      acceptedAtMs: this.acceptedAtMs,
      keepMs: this._keepMs,
      isEnded: this._isEnded,
      openItems: this.openItems(),
      results: [...this._results],
      rewardIds: [...this._rewardIds],
      completedTokensCount: this._completedTokensCount,
      ...(this.groupsCount === undefined ? {} : { groupsCount: this.groupsCount }),
      ...(this._unlistedItemIds.size === 0 ? {} : { unlistedItemIds: [...this._unlistedItemIds] })
    }
  }
}

/**
 * Copies the bodies of an item. Views into the submit command would keep all bodies
 * of the batch in memory until its last item is listed: 25 MB instead of 1 MB for a
 * hundred batches of 190 items with one open item each.
 */
export function withCopiedBodies ({ reward, ...item }: BatchItem): BatchItem {
  const copy = { ...item, body: Uint8Array.from(item.body) }
  return reward ? { ...copy, reward: { ...reward, body: Uint8Array.from(reward.body) } } : copy
}
