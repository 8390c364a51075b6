/**
 * Which host last announced an order to each engine, and when this replica
 * learned of it, by its own clock. An order is announced in the replicated log
 * before it is sent, so whoever leads next knows of every order that may be on
 * its way, and has to wait only at the engines that were ordered lately.
 */
import type { Clock } from '../utils/clock.js'

interface Announced {
  holder: string
  /** No earlier than the announcement itself. */
  learnedAtMs: number
}

export class OrderHistory {
  private readonly _clock: Clock
  private readonly _announced = new Map<string, Announced>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** The replicated state holds this announcement, and none before it any more. */
  learn (endpointId: string, holder: string): void {
    this._announced.set(endpointId, { holder, learnedAtMs: this._clock.nowMs() })
  }

  /** When the latest order to an engine was announced, if it was another host's. */
  foreignOrderAtMs (endpointId: string, holder: string): number {
    const announced = this._announced.get(endpointId)
    return announced && announced.holder !== holder ? announced.learnedAtMs : Number.NEGATIVE_INFINITY
  }
}
