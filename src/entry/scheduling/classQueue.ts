/**
 * The queue of one priority class at one pool: in order of arrival, but the
 * members of a group stand where its first member stands, so that the samples
 * of one rollout run close together.
 */
import { LRUCache } from 'lru-cache'
import type { Progress } from '../../utils/progress.js'
import type { PrefixHomes } from './prefixHomes.js'
import type { AssignOutcome, WorkItem } from './scheduler.js'

const MAX_GROUPS = 4096
/** A group that began longer ago than this starts again at the tail. */
const GROUP_WINDOW_MS = 30_000

/** One request that waits. */
export interface QueuedWork {
  readonly item: WorkItem
  readonly progress: Progress
  readonly enqueuedAtMs: number
  /** Place of its group, or its own; smaller is earlier. */
  readonly order: number
  readonly sequence: number
  /** Until then it waits for a place where its prefix is kept. */
  readonly patienceEndsAtMs: number
  /** Where its prefix is kept; undefined when that doesn't matter. */
  readonly homes: PrefixHomes | undefined
  /** How often later work of its class went before it. */
  passedCount: number
  /** Gives the waiting caller its outcome; called exactly once. */
  settle (outcome: AssignOutcome): void
  /** To be called once when it neither waits nor runs any more. */
  left (): void
}

interface GroupPlace {
  order: number
  startedAtMs: number
}

/** Hands out places in the queue. */
export class QueueOrder {
  private _sequence = 0
  private readonly _groups = new LRUCache<string, GroupPlace>({ max: MAX_GROUPS })

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

  /** Forecast of the tokens that wait. */
  get tokensCount (): number {
    return this._tokensCount
  }

  /** The first ones in order, at most as many as asked for. */
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
    this._waiting.splice(this._placeOf(work), 0, work)
    this._bytes += work.item.bodyBytes
    this._tokensCount += work.item.expectedTokensCount
  }

  /** False when it did not wait here any more. */
  remove (work: QueuedWork): boolean {
    const place = this._placeOf(work) - 1
    if (this._waiting[place] !== work) return false
    this._waiting.splice(place, 1)
    this._bytes -= work.item.bodyBytes
    this._tokensCount -= work.item.expectedTokensCount
    return true
  }

  /** Index behind everything that is not later than it. */
  private _placeOf (work: QueuedWork): number {
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
