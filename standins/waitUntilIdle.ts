/** Drains an endpoint: waits for a grace period, and then until no request is running. */
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import type { Scope } from '../src/utils/scope.js'

const POLL_MS = 20

export async function waitUntilIdle (clock: Clock, scope: Scope, graceMs: number, busyCount: () => number): Promise<void> {
  const graceEndsAtMs = clock.nowMs() + graceMs
  while (clock.nowMs() < graceEndsAtMs || busyCount() > 0) {
    await sleepUntil(clock, scope, clock.nowMs() + POLL_MS)
  }
}
