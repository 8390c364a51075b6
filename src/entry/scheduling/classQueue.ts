/**
 * The queue of one priority class at one pool. It is ordered by arrival, except
 * that all members of a group are placed at the position of its first member,
 * so that the samples of one rollout group run close together.
 */
import { LRUCache } from 'lru-cache'
import type { Progress } from '../../utils/progress.js'
import type { PrefixHomes } from './prefixHomes.js'
import type { AssignOutcome, WorkItem } from './scheduler.js'

const MAX_GROUPS = 4096
/** If the first member of a group arrived longer ago than this, the group gets a new position at the tail of the queue. */
const GROUP_WINDOW_MS = 30_000

/** One queued request. */
export interface QueuedWork {
  readonly item: WorkItem
  readonly progress: Progress
  readonly enqueuedAtMs: number
  /** Sort key, shared by a group; the smallest is first. `sequence` breaks ties. */
  readonly order: number
  readonly sequence: number
  /** Until this instant the request waits for free capacity at a home of its prefix. */
  readonly affinityWaitEndsAtMs: number
  /** Homes of the prompt's prefix; undefined when the request has no endpoint affinity. */
  readonly homes: PrefixHomes | undefined
  /** How often later requests were dispatched before this request. */
  skippedCount: number
  /** Resolves the promise of the waiting caller. Must be called at most once. */
  settle (outcome: AssignOutcome): void
  /** Must be called once, when the request is neither queued nor running any more. */
  release (): void
}

interface GroupPosition {
  order: number
  startedAtMs: number
}

/** Assigns the sort keys of queued requests. */
export class QueueOrder {
  private _sequence = 0
  private readonly _groups = new LRUCache<string, GroupPosition>({ max: MAX_GROUPS })

  next (item: WorkItem, nowMs: number): { order: number, sequence: number } {
    const sequence = ++this._sequence
    if (item.groupKey === undefined) return { order: sequence, sequence }
    const known = this._groups.get(item.groupKey)
    if (known && nowMs - known.startedAtMs < GROUP_WINDOW_MS) return { order: known.order, sequence }
    this._groups.set(item.groupKey, { order: sequence, startedAtMs: nowMs })
    return { order: sequence, sequence }
  }
}

export class ClassQueue {
  readonly className: string
  private readonly _waiting: QueuedWork[] = []
  private _bytes = 0
  private _tokensCount = 0

  constructor (className: string) {
    this.className = className
  }

  get count (): number {
    return this._waiting.length
  }

  get bytes (): number {
    return this._bytes
  }

  /** Sum of the expected tokens of all queued requests. */
  get tokensCount (): number {
    return this._tokensCount
  }

  /** The first requests in queue order, at most `limitCount`. */
  first (limitCount: number): QueuedWork[] {
    return this._waiting.slice(0, limitCount)
  }

  all (): QueuedWork[] {
    return [...this._waiting]
  }

  last (): QueuedWork | undefined {
    return this._waiting[this._waiting.length - 1]
  }

  add (work: QueuedWork): void {
    this._waiting.splice(this._insertionIndexOf(work), 0, work)
    this._bytes += work.item.bodyBytes
    this._tokensCount += work.item.expectedTokensCount
  }

  /** @returns false if the request is no longer in this queue */
  remove (work: QueuedWork): boolean {
    const index = this._insertionIndexOf(work) - 1
    if (this._waiting[index] !== work) return false
    this._waiting.splice(index, 1)
    this._bytes -= work.item.bodyBytes
    this._tokensCount -= work.item.expectedTokensCount
    return true
  }

  /** Index after all requests that don't sort after `work`. */
  private _insertionIndexOf (work: QueuedWork): number {
    let low = 0
    let high = this._waiting.length
    while (low < high) {
      const middle = (low + high) >>> 1
      const other = this._waiting[middle] as QueuedWork
      if (isLater(other, work)) high = middle
      else low = middle + 1
    }
    return low
  }
}

function isLater (a: QueuedWork, b: QueuedWork): boolean {
  return a.order !== b.order ? a.order > b.order : a.sequence > b.sequence
}
