/**
 * Lets a task wait for an event or an instant, whichever comes first. An event
 * that occurs while the task isn't waiting ends its next wait.
 */
import { sleepUntil, type Clock } from '../../utils/clock.js'
import type { Scope } from '../../utils/scope.js'

export class WakeSignal {
  private _isSet = false
  private readonly _waiters = new Set<() => void>()

  wake (): void {
    this._isSet = true
    for (const resolve of [...this._waiters]) resolve()
    this._waiters.clear()
  }

  /**
   * Waits for an event until `untilMs`; returns immediately if one occurred since the last wait.
   * @throws ScopeClosedError when the scope closes first.
   */
  async wait (clock: Clock, scope: Scope, untilMs: number): Promise<void> {
    if (!this._isSet) await this._waitForEvent(clock, scope, untilMs)
    scope.throwIfClosed()
    this._isSet = false
  }

  private async _waitForEvent (clock: Clock, scope: Scope, untilMs: number): Promise<void> {
    const waitScope = scope.child('wait')
    let resolveEvent = (): void => {}
    const event = new Promise<void>(resolve => { resolveEvent = resolve })
    this._waiters.add(resolveEvent)
    const instant = sleepUntil(clock, waitScope, untilMs)
    instant.catch(() => {})
    try {
      await scope.race(Promise.race([event, instant]))
    } finally {
      this._waiters.delete(resolveEvent)
      waitScope.close('woken')
    }
  }
}
