/**
 * Which host last announced an order to each engine, and when this replica
 * learned of it, by its own clock. An order is announced in the replicated log
 * before it is sent, so whoever leads next knows of every order that may be on
 * its way, and has to wait only at the engines that were ordered lately. Engines
 * are known by the name that they keep over their starts.
 */
import type { Clock } from '../utils/clock.js'

export interface AnnouncedOrder {
  holder: string
  /** When this replica learned of it: no earlier than the announcement itself. */
  learnedAtMs: number
}

export class OrderHistory {
  private readonly _clock: Clock
  private readonly _announced = new Map<string, AnnouncedOrder>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** The replicated state holds this announcement, and none before it any more. */
  learn (name: string, holder: string): void {
    this._announced.set(name, { holder, learnedAtMs: this._clock.nowMs() })
  }

  /** The latest order to an engine that was announced. */
  latest (name: string): AnnouncedOrder | undefined {
    return this._announced.get(name)
  }
}
