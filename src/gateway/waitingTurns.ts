/**
 * The requests of one host that found every endpoint of their service full, and
 * which of them may try again. The pattern it answers: more requests than a
 * service has room for, from accounts of different priorities; tried again in any
 * order, an urgent one would be as likely to wait as the others.
 */
import { PriorityShare } from '../accounts/priorityShare.js'

/** A request's place among those that wait. */
export interface WaitingTurn {
  service: string
  priority: number
}

interface ServiceQueue {
  share: PriorityShare
  /** By priority, the earliest first. */
  waiting: Map<number, Set<WaitingTurn>>
}

export class WaitingTurns {
  private readonly _queues = new Map<string, ServiceQueue>()

  /** The request found no room; it keeps the place that it has. */
  wait (turn: WaitingTurn): void {
    const queue = this._queues.get(turn.service) ?? { share: new PriorityShare(), waiting: new Map<number, Set<WaitingTurn>>() }
    const equals = queue.waiting.get(turn.priority) ?? new Set<WaitingTurn>()
    equals.add(turn)
    queue.waiting.set(turn.priority, equals)
    this._queues.set(turn.service, queue)
  }

  /** The request has got room. */
  served (turn: WaitingTurn): void {
    const queue = this._queues.get(turn.service)
    const equals = queue?.waiting.get(turn.priority)
    if (!queue || equals?.has(turn) !== true) return
    queue.share.served(turn.priority, equals.size)
    this.leave(turn)
  }

  /** The request waits no longer. */
  leave (turn: WaitingTurn): void {
    this._queues.get(turn.service)?.waiting.get(turn.priority)?.delete(turn)
  }

  /** Whether a request may try now, as far as those that go before it leave room. */
  mayTry (turn: WaitingTurn, roomCount: number): boolean {
    const queue = this._queues.get(turn.service)
    const counts = new Map([...queue?.waiting ?? []].map(([priority, { size }]) => [priority, size]))
    const allCount = [...counts.values()].reduce((sum, count) => sum + count, 0)
    if (!queue || allCount < roomCount) return true
    if (queue.share.next(counts) !== turn.priority) return allCount === 0
    const equals = [...queue.waiting.get(turn.priority) ?? []]
    const position = equals.indexOf(turn)
    return (position < 0 ? equals.length : position) < Math.max(1, roomCount)
  }
}
