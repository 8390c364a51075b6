/**
 * Estimated memory in bytes of the components of the batch store's state. The estimate
 * depends on the values alone, so that all replicas agree on it: bytes of bodies and
 * outputs, characters of strings, and a fixed overhead for the objects around them.
 * The overheads come from `node --expose-gc dist/bench/batchMemory/main.js KIND` on
 * Node.js 20: heap and array buffers per object for 20,000 objects decoded from
 * commands, less the bytes of their strings.
 */
import type { BatchItem, BatchSubmission, ItemResult, OutputPart } from '../protocol/batches.js'

/** An open item with its reward call and six header strings: 1,248 bytes measured per item with KIND `item`. */
export const ITEM_OVERHEAD_BYTES = 1_250
/** A result with its entry in the list, without its parts: 483 bytes measured per result with KIND `result`. */
export const RESULT_OVERHEAD_BYTES = 500
/** A part of an output: 312 bytes measured per part with KIND `part`, which gives 7,973 bytes for a result of 24 parts. */
export const PART_OVERHEAD_BYTES = 310
/** A batch without items: 1,003 bytes measured per batch with KIND `batch`. */
export const BATCH_OVERHEAD_BYTES = 1_000

export function heldBytesOfItem ({ itemId, path, headers, body, groupId, model, reward }: BatchItem): number {
  const texts = [itemId, path, groupId, model, ...headers]
  const rewardBytes = reward ? textBytes([reward.rewardId, reward.host, reward.path]) + reward.body.length : 0
  return ITEM_OVERHEAD_BYTES + textBytes(texts) + body.length + rewardBytes
}

export function heldBytesOfItems (items: readonly BatchItem[]): number {
  return items.reduce((sum, item) => sum + heldBytesOfItem(item), 0)
}

export function heldBytesOfResult ({ itemId, state, score, parts }: ItemResult, rewardId: string | undefined): number {
  return RESULT_OVERHEAD_BYTES + textBytes([itemId, state, score ?? '', rewardId ?? '']) + heldBytesOfParts(parts)
}

/** Items without a result of a batch that has ended. */
export function heldBytesOfIds (itemIds: Iterable<string>): number {
  return textBytes([...itemIds])
}

/** Stored output of an item that is not listed yet. */
export function heldBytesOfUnfinished (itemId: string, parts: readonly OutputPart[], model = ''): number {
  return RESULT_OVERHEAD_BYTES + textBytes([itemId, model]) + heldBytesOfParts(parts)
}

/** A batch without its items and results. */
export function heldBytesOfHead ({ batchId, account = '', host, path, model }: Pick<BatchSubmission, 'batchId' | 'account' | 'host' | 'path' | 'model'>): number {
  return BATCH_OVERHEAD_BYTES + textBytes([batchId, account, host, path, model])
}

export function heldBytesOfSubmission (submission: BatchSubmission): number {
  return heldBytesOfHead(submission) + heldBytesOfItems(submission.items)
}

function heldBytesOfParts (parts: readonly OutputPart[]): number {
  return parts.reduce((sum, { deflatedText }) => sum + PART_OVERHEAD_BYTES + deflatedText.length, 0)
}

function textBytes (texts: readonly string[]): number {
  return texts.reduce((sum, { length }) => sum + length, 0)
}
