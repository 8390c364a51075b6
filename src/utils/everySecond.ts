/**
 * The interval at which gauges are updated: one task of the process sets them,
 * however often their values change.
 */
import { sleepUntil, type Clock } from './clock.js'
import type { Scope } from './scope.js'

/** Metrics are scraped far less often, and a host under load takes minutes, not seconds, to exhaust its memory. */
export const GAUGE_INTERVAL_MS = 1_000

/** Calls `update` immediately and then every second, until the scope closes. */
export async function everySecond (clock: Clock, scope: Scope, update: () => void): Promise<void> {
  for (;;) {
    update()
    await sleepUntil(clock, scope, clock.nowMs() + GAUGE_INTERVAL_MS)
  }
}
