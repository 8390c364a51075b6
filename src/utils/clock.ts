/**
 * Time as an argument. Deadlines are instants of the monotonic clock, in
 * milliseconds; what crosses the wire is the time that remains, because the
 * clocks of hosts are not in step.
 */
import type { Scope } from './scope.js'
import { SuspensionSense } from './suspension.js'

export interface Clock {
  /** Monotonic, in milliseconds from an arbitrary origin. */
  nowMs (): number
  /**
   * Like nowMs, and on by whatever this host may have missed while its machine was
   * suspended; a clock that is set ahead looks the same. For leases and what proves
   * them: nothing that is ended by it is lost. Never for the deadline of a request.
   */
  leaseNowMs (): number
  /** Milliseconds since the Unix epoch, for records that people read. */
  wallMs (): number
  /** Calls back at the instant; the returned function cancels. */
  callAt (deadlineMs: number, callback: () => void): () => void
}

/** The start of this process by the system clock, which counts from there. */
export const PROCESS_STARTED_AT_MS = 0

const suspensions = new SuspensionSense(() => performance.now(), () => Date.now())

export const systemClock: Clock = {
  nowMs: () => performance.now(),
  leaseNowMs: () => suspensions.leaseNowMs(),
  wallMs: () => Date.now(),
  callAt (deadlineMs, callback) {
    const delayMs = Math.max(0, deadlineMs - performance.now())
    const timer = setTimeout(callback, delayMs)
    return () => clearTimeout(timer)
  }
}

/**
 * Waits until an instant.
 * @throws ScopeClosedError when the scope closes first.
 */
export async function sleepUntil (clock: Clock, scope: Scope, deadlineMs: number): Promise<void> {
  let cancel = (): void => {}
  const elapsed = new Promise<void>(resolve => {
    cancel = clock.callAt(deadlineMs, resolve)
  })
  try {
    await scope.race(elapsed)
  } finally {
    cancel()
  }
}
