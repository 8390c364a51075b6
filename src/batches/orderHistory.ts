/**
 * Which host last announced a load order to each engine, and when this replica
 * applied the announcement, by its own clock. An order is announced in the
 * replicated log before it is sent, so the next leader knows every order that may
 * still be in flight, and has to wait only for engines that were ordered recently.
 * Engines are identified by the name that they keep across restarts.
 */
import type { Clock } from '../utils/clock.js'

export interface AnnouncedOrder {
  holder: string
  /** When this replica applied the announcement: no earlier than the announcement was made. */
  recordedAtMs: number
}

export class OrderHistory {
  private readonly _clock: Clock
  private readonly _latestOrders = new Map<string, AnnouncedOrder>()
  private _sustainedLoadsCount: number | undefined

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Replaces the engine's earlier announcement. */
  record (name: string, holder: string, lanesCount: number | undefined): void {
    this._sustainedLoadsCount = lanesCount ?? this._sustainedLoadsCount
    this._latestOrders.set(name, { holder, recordedAtMs: this._clock.nowMs() })
  }

  /** Concurrent loads that the weight store sustained under the leader that announced last; undefined when no announcement carries this number. */
  get lanesCount (): number | undefined {
    return this._sustainedLoadsCount
  }

  /** The latest announced order to an engine. */
  latest (name: string): AnnouncedOrder | undefined {
    return this._latestOrders.get(name)
  }
}
