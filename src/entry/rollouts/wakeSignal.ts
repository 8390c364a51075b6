/**
 * Wakes a task that waits for an event or for an instant, whichever is first.
 * An event that comes while the task is at work is not lost.
 */
import { sleepUntil, type Clock } from '../../utils/clock.js'
import type { Scope } from '../../utils/scope.js'

export class WakeSignal {
  private _isSet = false
  private readonly _waiting = new Set<() => void>()

  wake (): void {
    this._isSet = true
    for (const resolve of [...this._waiting]) resolve()
    this._waiting.clear()
  }

  /**
   * Waits until the next event, or the instant; an event since the last wait counts.
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
    this._waiting.add(resolveEvent)
    const instant = sleepUntil(clock, waitScope, untilMs)
    instant.catch(() => {})
    try {
      await scope.race(Promise.race([event, instant]))
    } finally {
      this._waiting.delete(resolveEvent)
      waitScope.close('woken')
    }
  }
}
