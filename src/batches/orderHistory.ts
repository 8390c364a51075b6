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
  private _lanesCount: number | undefined

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** The replicated state holds this announcement, and none before it any more. */
  learn (name: string, holder: string, lanesCount: number | undefined): void {
    this._lanesCount = lanesCount ?? this._lanesCount
    this._announced.set(name, { holder, learnedAtMs: this._clock.nowMs() })
  }

  /** Loads at a time that the weight store fed under the leader that announced last; undefined when none has told. */
  get lanesCount (): number | undefined {
    return this._lanesCount
  }

  /** The latest order to an engine that was announced. */
  latest (name: string): AnnouncedOrder | undefined {
    return this._announced.get(name)
  }
}
