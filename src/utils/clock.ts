/**
 * Injectable clock. Deadlines are points in time of the monotonic clock, in
 * milliseconds. Messages between hosts carry the remaining time instead, because
 * the clocks of hosts are not synchronized.
 */
import type { Scope } from './scope.js'
import { SuspensionDetector } from './suspension.js'

export interface Clock {
  /** Monotonic, in milliseconds from an arbitrary origin. */
  nowMs (): number
  /**
   * Like nowMs, advanced by the time that the machine may have been suspended; a wall
   * clock that is set forward looks the same. Meant for leases and the messages that
   * renew leases, where ending a lease too early loses nothing. Never for request deadlines.
   */
  leaseNowMs (): number
  /** Milliseconds since the Unix epoch, for timestamps in records and logs. */
  wallMs (): number
  /**
   * Calls back at the deadline; the returned function cancels the timer. A process that
   * was busy or suspended at the deadline reads what has arrived meanwhile first, so
   * that it does not take its own delay for the silence of others.
   */
  callAt (deadlineMs: number, callback: () => void): () => void
}

/** Value of `systemClock.nowMs()` when this process started: performance.now() counts from there. */
export const PROCESS_STARTED_AT_MS = 0

/** A timer later than this shows that the process was held up. */
const LATE_TIMER_MS = 20

const suspensionDetector = new SuspensionDetector(() => performance.now(), () => Date.now())

export const systemClock: Clock = {
  nowMs: () => performance.now(),
  leaseNowMs: () => suspensionDetector.leaseNowMs(),
  wallMs: () => Date.now(),
  callAt (deadlineMs, callback) {
    const nowMs = performance.now()
    const dueAtMs = Math.max(nowMs, deadlineMs)
    let deferred: NodeJS.Immediate | undefined
    const timer = setTimeout(() => {
      if (performance.now() - dueAtMs > LATE_TIMER_MS) deferred = setImmediate(callback)
      else callback()
    }, dueAtMs - nowMs)
    return () => {
      clearTimeout(timer)
      clearImmediate(deferred)
    }
  }
}

/**
 * Waits until `deadlineMs` of the monotonic clock.
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
