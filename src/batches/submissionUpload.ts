/**
 * Sends a submission to the store while its items arrive. A small one goes in one call;
 * the items of a large one go ahead in parts of bounded size, one part at a time, so
 * that neither this host nor the store ever holds a message of the size of the whole.
 */
import type { BatchItem, BatchSubmission } from '../protocol/batches.js'
import { RefusalReason } from '../protocol/refusals.js'
import type { SubmitBatchReply, SubmitPartReply } from '../transport/batchMethods.js'
import type { Progress } from '../utils/progress.js'
import type { BatchClient, BatchReference } from './batchClient.js'
import { heldBytesOfItem } from './heldBytes.js'

/** Items of one part: far below what a connection between hosts carries in the interval of a heartbeat. */
export const PART_BYTES = 384 * 1024

/** Why a submission does not go on; undefined while it does. */
export type UploadEnd = Exclude<SubmitBatchReply, { kind: 'accepted' | 'notLeader' }> | undefined

export interface SubmissionUploadOptions {
  client: Pick<BatchClient, 'submit' | 'submitPart'>
  batch: BatchReference
  /** Size of the whole submission as its sender states it; 0 if it does not. */
  statedBytes: number
  /** The time for one call to the store, from now on. */
  progressOfCall: () => Progress
  /** Whether the store's answer to the whole submission can still be passed on; always if absent. */
  hasTime?: () => boolean
  /** Called when the whole goes to the store. */
  onSent?: () => void
}

export class SubmissionUpload {
  private readonly _options: SubmissionUploadOptions
  private _items: BatchItem[] = []
  private _itemsBytes = 0
  private _stagedItemsCount = 0
  private _stagedBytes = 0

  constructor (options: SubmissionUploadOptions) {
    this._options = options
  }

  /** Number of items that were added so far. */
  get itemsCount (): number {
    return this._stagedItemsCount + this._items.length
  }

  /** Asks whether the store has room, before anything of the submission is read. */
  async begin (): Promise<UploadEnd> {
    return await this._sendPart([])
  }

  async add (item: BatchItem): Promise<UploadEnd> {
    this._items.push(item)
    this._itemsBytes += heldBytesOfItem(item)
    return this._itemsBytes >= PART_BYTES ? await this._flush() : undefined
  }

  /** @param head the submission without its items */
  async finish (head: BatchSubmission): Promise<SubmitBatchReply> {
    if (this._stagedItemsCount === 0) return await this._submit({ ...head, items: this._items })
    return await this._flush() ?? await this._submit(head, this._stagedItemsCount)
  }

  private async _submit (submission: BatchSubmission, stagedItemsCount?: number): Promise<SubmitBatchReply> {
    const { client, progressOfCall, hasTime, onSent } = this._options
    if (hasTime?.() === false) return { kind: 'refused', reason: RefusalReason.HostStopping }
    onSent?.()
    return await client.submit(submission, progressOfCall(), stagedItemsCount)
  }

  private async _flush (): Promise<UploadEnd> {
    const items = this._items
    if (items.length === 0) return undefined
    this._items = []
    const end = await this._sendPart(items)
    this._stagedItemsCount += items.length
    this._stagedBytes += this._itemsBytes
    this._itemsBytes = 0
    return end
  }

  private async _sendPart (items: BatchItem[]): Promise<UploadEnd> {
    const { client, batch, statedBytes, progressOfCall } = this._options
    const totalBytes = Math.max(statedBytes, this._stagedBytes + this._itemsBytes)
    return endOf(await client.submitPart({ ...batch, fromPosition: this._stagedItemsCount, items, totalBytes }, progressOfCall()))
  }
}

/** A part never runs by itself: as long as the submission does not follow, none of it does. */
function endOf (reply: SubmitPartReply): UploadEnd {
  switch (reply.kind) {
    case 'staged':
      return undefined
    case 'refused':
      return reply
    case 'incomplete':
      return { kind: 'refused', reason: 'parts of the submission are missing' }
    case 'unknown':
    case 'notLeader':
      return { kind: 'refused', reason: 'the store did not take a part of the submission in time' }
  }
}
