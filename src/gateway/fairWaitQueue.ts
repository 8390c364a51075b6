/**
 * Queues the requests of one host that found every endpoint of their service
 * full, and decides which requests may try again. The queue is needed when a service gets
 * more requests than it has slots, from accounts of different priorities: if requests
 * were tried again in any order, an urgent request would be as likely to wait as
 * the others.
 */
import { StrideScheduler } from '../accounts/strideScheduler.js'

/** The place of a request in the queue. */
export interface QueueEntry {
  service: string
  priority: number
}

interface ServiceQueue {
  scheduler: StrideScheduler
  /** Waiting requests by priority, the earliest first. */
  waiting: Map<number, Set<QueueEntry>>
}

export class FairWaitQueue {
  private readonly _queues = new Map<string, ServiceQueue>()

  /** Adds a request that found no free slot; a request that is queued already keeps its place. */
  enqueue (entry: QueueEntry): void {
    const queue = this._queues.get(entry.service) ?? { scheduler: new StrideScheduler(), waiting: new Map<number, Set<QueueEntry>>() }
    const samePriority = queue.waiting.get(entry.priority) ?? new Set<QueueEntry>()
    samePriority.add(entry)
    queue.waiting.set(entry.priority, samePriority)
    this._queues.set(entry.service, queue)
  }

  /** Removes a waiting request that got a slot and charges it to its priority. */
  served (entry: QueueEntry): void {
    const queue = this._queues.get(entry.service)
    const samePriority = queue?.waiting.get(entry.priority)
    if (!queue || samePriority?.has(entry) !== true) return
    queue.scheduler.served(entry.priority, samePriority.size)
    this.leave(entry)
  }

  /** Removes a request that has stopped waiting. */
  leave (entry: QueueEntry): void {
    this._queues.get(entry.service)?.waiting.get(entry.priority)?.delete(entry)
  }

  /** Whether a request may try now, given the slots that remain after the requests ahead of it. */
  mayTry (entry: QueueEntry, availableSlotsCount: number): boolean {
    const queue = this._queues.get(entry.service)
    const counts = new Map([...queue?.waiting ?? []].map(([priority, { size }]) => [priority, size]))
    const allCount = [...counts.values()].reduce((sum, count) => sum + count, 0)
    if (!queue || allCount < availableSlotsCount) return true
    if (queue.scheduler.next(counts) !== entry.priority) return allCount === 0
    const samePriority = [...queue.waiting.get(entry.priority) ?? []]
    const position = samePriority.indexOf(entry)
    return (position < 0 ? samePriority.length : position) < Math.max(1, availableSlotsCount)
  }
}
