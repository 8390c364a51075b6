/**
 * Large submissions that arrive in parts: their items wait here until the submission is
 * complete, so that neither a message nor an entry of the log is as large as a
 * submission. Part of the replicated state.
 */
import type { BatchItem } from '../protocol/batches.js'
import { heldBytesOfItem, heldBytesOfItems } from './heldBytes.js'

/** An incomplete submission that has not grown for this long is dropped; its sender has given it up. */
export const STAGED_RETENTION_MS = 15_000

export interface StagedSubmission {
  batchId: string
  /** The client account; absent for none. */
  account?: string | undefined
  items: BatchItem[]
  /** Leader's wall clock of the latest part. */
  grownAtMs: number
}

/** A part of a submission. */
export interface SubmissionPart {
  batchId: string
  account?: string | undefined
  /** Number of items before it. */
  fromPosition: number
  items: BatchItem[]
}

type Reference = Pick<StagedSubmission, 'batchId' | 'account'>

export class StagedSubmissions {
  private readonly _submissions = new Map<string, StagedSubmission>()
  private readonly _heldBytes = new WeakMap<StagedSubmission, number>()

  get (reference: Reference): StagedSubmission | undefined {
    return this._submissions.get(keyOf(reference))
  }

  /** Estimated memory of a submission in bytes. */
  bytesOf (reference: Reference): number {
    const staged = this.get(reference)
    return staged ? this._heldBytes.get(staged) ?? 0 : 0
  }

  /** Estimated memory in bytes of the submissions that have not expired at an instant. */
  heldBytesAt (atMs: number): number {
    let bytes = 0
    for (const staged of this._submissions.values()) bytes += isExpired(staged, atMs) ? 0 : this._heldBytes.get(staged) ?? 0
    return bytes
  }

  /** Whether the items of a part are here already, as after a call that was repeated. */
  holds ({ fromPosition, items, ...reference }: SubmissionPart): boolean {
    const held = this.get(reference)?.items.slice(fromPosition, fromPosition + items.length) ?? []
    return held.length === items.length && held.every(({ itemId }, position) => itemId === items[position]?.itemId)
  }

  /** Adds a part; returns whether its items follow those that are here. */
  add (part: SubmissionPart, atMs: number): boolean {
    const { batchId, account, fromPosition, items } = part
    if (this.holds(part)) return true
    const held = this.get(part)?.items ?? []
    if (held.length !== fromPosition) return false
    this._put({ batchId, account, items: [...held, ...items], grownAtMs: atMs })
    return true
  }

  /** Removes a submission, unless it has grown since. */
  drop (reference: Reference, grownAtMs: number): void {
    if (this.get(reference)?.grownAtMs === grownAtMs) this.remove(reference)
  }

  /** The submission that has not grown for longest, of those that have not since an instant. */
  longestStill (sinceMs: number, exceptBatchId: string): StagedSubmission | undefined {
    let longest: StagedSubmission | undefined
    for (const staged of this._submissions.values()) {
      if (staged.batchId === exceptBatchId || staged.grownAtMs > (longest?.grownAtMs ?? sinceMs)) continue
      longest = staged
    }
    return longest
  }

  remove (reference: Reference): void {
    this._submissions.delete(keyOf(reference))
  }

  removeExpired (atMs: number): void {
    for (const [key, staged] of this._submissions) if (isExpired(staged, atMs)) this._submissions.delete(key)
  }

  clear (): void {
    this._submissions.clear()
  }

  all (): StagedSubmission[] {
    return [...this._submissions.values()]
  }

  /** Adds items from a snapshot. */
  restore ({ items, ...staged }: StagedSubmission): void {
    this._put({ ...staged, items: [...this.get(staged)?.items ?? [], ...items] })
  }

  private _put (staged: StagedSubmission): void {
    this._submissions.set(keyOf(staged), staged)
    this._heldBytes.set(staged, heldBytesOfItems(staged.items))
  }
}

function keyOf ({ batchId, account }: Reference): string {
  return account === undefined ? batchId : `${account} ${batchId}`
}

function isExpired ({ grownAtMs }: StagedSubmission, atMs: number): boolean {
  return atMs - grownAtMs > STAGED_RETENTION_MS
}

/** Divides items into slices whose bodies have this many bytes at most; one item at least. */
export function * slicesOf (items: readonly BatchItem[], maxBytes: number): Generator<BatchItem[]> {
  let slice: BatchItem[] = []
  let bytes = 0
  for (const item of items) {
    const itemBytes = heldBytesOfItem(item)
    if (slice.length > 0 && bytes + itemBytes > maxBytes) {
      yield slice
      slice = []
      bytes = 0
    }
    slice.push(item)
    bytes += itemBytes
  }
  if (slice.length > 0) yield slice
}
