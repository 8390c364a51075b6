/**
 * The pace of gauges: one task of a process sets them, however often what they
 * show changes.
 */
import { sleepUntil, type Clock } from './clock.js'
import type { Scope } from './scope.js'

/** Whoever collects metrics asks far less often; a host under load takes minutes, not seconds, to use up its memory. */
export const GAUGE_INTERVAL_MS = 1_000

/** Calls at once and then each second, until the scope closes. */
export async function everySecond (clock: Clock, scope: Scope, set: () => void): Promise<void> {
  for (;;) {
    set()
    await sleepUntil(clock, scope, clock.nowMs() + GAUGE_INTERVAL_MS)
  }
}
