/**
 * A condition variable. A waiting task checks its condition before it waits and
 * after every wake-up. A waiter that times out or is cancelled is removed.
 */
import type { Clock } from './clock.js'
import type { Scope } from './scope.js'

export interface WaitLimit {
  clock: Clock
  /** Point in time of the monotonic clock. */
  deadlineMs: number
}

export class Signal {
  private readonly _waiters = new Set<() => void>()

  notify (): void {
    const waiters = [...this._waiters]
    this._waiters.clear()
    for (const wake of waiters) wake()
  }

  /**
   * Waits for the next notification; false when the deadline passed first.
   * @throws ScopeClosedError when the scope closes first.
   */
  async wait (scope: Scope, limit?: WaitLimit): Promise<boolean> {
    let wake = (): void => {}
    let cancelTimer = (): void => {}
    const notified = new Promise<boolean>(resolve => {
      wake = () => resolve(true)
      if (limit) cancelTimer = limit.clock.callAt(limit.deadlineMs, () => resolve(false))
    })
    this._waiters.add(wake)
    try {
      return await scope.race(notified)
    } finally {
      this._waiters.delete(wake)
      cancelTimer()
    }
  }
}
