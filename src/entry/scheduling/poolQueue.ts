/**
 * The queues of all priority classes of one pool, bounded in total count and
 * bytes. When they are full, the last request of the class that most exceeds its
 * share is evicted, so that a flood of one class doesn't block the others.
 */
import type { EndpointPoolSpec } from '../../protocol/resources.js'
import { ClassQueue, type QueuedWork } from './classQueue.js'
import type { FairShare } from './fairShare.js'
import type { WorkItem } from './scheduler.js'

/** Work for idle endpoints has a queue of its own, which is served after all classes. */
const IDLE_QUEUE_NAME = ''

export type MakeRoomOutcome = { kind: 'fits', evicted: QueuedWork[] } | { kind: 'full', message: string }

export class PoolQueue {
  private readonly _fairShare: FairShare
  private readonly _queues = new Map<string, ClassQueue>()
  private readonly _idle = new ClassQueue(IDLE_QUEUE_NAME)
  private _count = 0
  private _bytes = 0

  constructor (fairShare: FairShare) {
    this._fairShare = fairShare
  }

  get count (): number {
    return this._count
  }

  get bytes (): number {
    return this._bytes
  }

  get idle (): ClassQueue {
    return this._idle
  }

  /** Queue length by class, without work for idle endpoints. */
  counts (): Array<[string, number]> {
    return [...this._queues.values()].map(queue => [queue.className, queue.count])
  }

  tokensOf (className: string): number {
    return this._queues.get(className)?.tokensCount ?? 0
  }

  /** Names of the classes with queued work, without work for idle endpoints. */
  backloggedClasses (): string[] {
    return [...this._queues.values()].filter(queue => queue.count > 0).map(queue => queue.className)
  }

  first (className: string, limitCount: number): QueuedWork[] {
    return this._queues.get(className)?.first(limitCount) ?? []
  }

  all (): QueuedWork[] {
    return [...this._queues.values(), this._idle].flatMap(queue => queue.all())
  }

  add (work: QueuedWork): void {
    const queue = this._queueOf(work.item)
    if (queue.count === 0 && queue !== this._idle) this._fairShare.activate(queue.className, this.backloggedClasses())
    queue.add(work)
    this._count += 1
    this._bytes += work.item.bodyBytes
  }

  /** @returns false if the request is no longer queued */
  remove (work: QueuedWork): boolean {
    if (!this._queueOf(work.item).remove(work)) return false
    this._count -= 1
    this._bytes -= work.item.bodyBytes
    return true
  }

  /** Removes requests that have to be evicted for the item, or reports that the item doesn't fit. */
  makeRoomFor (item: WorkItem, pool: EndpointPoolSpec, classMaxCount: number): MakeRoomOutcome {
    const ownCount = this._queueOf(item).count
    if (ownCount >= classMaxCount) return { kind: 'full', message: `${ownCount} requests of class ${item.priorityClass} are queued, which is its limit` }
    if (item.bodyBytes > pool.maxQueuedBytes) return { kind: 'full', message: `a body of ${item.bodyBytes} bytes exceeds the queue's limit of ${pool.maxQueuedBytes} bytes` }
    const victims = this._victimsFor(item, pool)
    if (!victims) return { kind: 'full', message: `the queue is full with ${this._count} requests of ${this._bytes} bytes in total` }
    for (const victim of victims) this.remove(victim)
    return { kind: 'fits', evicted: victims }
  }

  /** @returns undefined if evicting requests of other classes can't make room */
  private _victimsFor (item: WorkItem, pool: EndpointPoolSpec): QueuedWork[] | undefined {
    const victims: QueuedWork[] = []
    let count = this._count + 1
    let bytes = this._bytes + item.bodyBytes
    if (count <= pool.maxQueuedCount && bytes <= pool.maxQueuedBytes) return victims
    const candidates = this._furthestOverShare(item)
    for (const victim of candidates) {
      if (count <= pool.maxQueuedCount && bytes <= pool.maxQueuedBytes) break
      victims.push(victim)
      count -= 1
      bytes -= victim.item.bodyBytes
    }
    return count <= pool.maxQueuedCount && bytes <= pool.maxQueuedBytes ? victims : undefined
  }

  /** Requests of the queue that most exceeds its share, last first; empty if that queue is the item's own. */
  private _furthestOverShare (item: WorkItem): QueuedWork[] {
    const own = this._queueOf(item)
    if (this._idle.count > 0 && own !== this._idle) return this._idle.all().reverse()
    if (own === this._idle) return []
    const overShare = (queue: ClassQueue): number => queue.count / this._fairShare.shareOf(queue.className)
    const furthest = [...this._queues.values()].reduce((a, b) => overShare(a) >= overShare(b) ? a : b, own)
    return furthest === own ? [] : furthest.all().reverse()
  }

  private _queueOf (item: WorkItem): ClassQueue {
    if (item.onlyWhenIdle) return this._idle
    const known = this._queues.get(item.priorityClass)
    if (known) return known
    const queue = new ClassQueue(item.priorityClass)
    this._queues.set(item.priorityClass, queue)
    return queue
  }
}
