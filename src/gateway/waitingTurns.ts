/**
 * The requests of one host that found every endpoint of their service full, and
 * which of them may try again. The pattern it answers: more requests than a
 * service has room for, from accounts of different priorities; tried again in any
 * order, an urgent one would be as likely to wait as the others.
 */
import { StrideScheduler } from '../accounts/priorityShare.js'

/** A request's place among those that wait. */
export interface QueueEntry {
  service: string
  priority: number
}

interface ServiceQueue {
  scheduler: StrideScheduler
  /** By priority, the earliest first. */
  waiting: Map<number, Set<QueueEntry>>
}

export class FairWaitQueue {
  private readonly _queues = new Map<string, ServiceQueue>()

  /** The request found no room; it keeps the place that it has. */
  enqueue (entry: QueueEntry): void {
    const queue = this._queues.get(entry.service) ?? { scheduler: new StrideScheduler(), waiting: new Map<number, Set<QueueEntry>>() }
    const samePriority = queue.waiting.get(entry.priority) ?? new Set<QueueEntry>()
    samePriority.add(entry)
    queue.waiting.set(entry.priority, samePriority)
    this._queues.set(entry.service, queue)
  }

  /** The request has got room. */
  served (entry: QueueEntry): void {
    const queue = this._queues.get(entry.service)
    const samePriority = queue?.waiting.get(entry.priority)
    if (!queue || samePriority?.has(entry) !== true) return
    queue.scheduler.served(entry.priority, samePriority.size)
    this.leave(entry)
  }

  /** The request waits no longer. */
  leave (entry: QueueEntry): void {
    this._queues.get(entry.service)?.waiting.get(entry.priority)?.delete(entry)
  }

  /** Whether a request may try now, as far as those that go before it leave room. */
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
