/** How an endpoint leaves: it stays for a grace time, then until nothing runs. */
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import type { Scope } from '../src/utils/scope.js'

const POLL_MS = 20

export async function untilIdle (clock: Clock, scope: Scope, graceMs: number, busyCount: () => number): Promise<void> {
  const graceEndsAtMs = clock.nowMs() + graceMs
  while (clock.nowMs() < graceEndsAtMs || busyCount() > 0) {
    await sleepUntil(clock, scope, clock.nowMs() + POLL_MS)
  }
}
