/**
 * Ends an exchange with an endpoint at its deadline. Nothing that the endpoint sends and
 * nothing that the HTTP client makes of it has a say: the scope of the exchange closes,
 * and with it all that the exchange holds.
 */
import type { Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import type { Broken } from './endpointClient.js'

/** Longer than any exchange, and within what a timer of Node.js can wait for. */
const LONGEST_EXCHANGE_MS = 24 * 60 * 60 * 1_000

/** What becomes of an exchange at its deadline. */
export const OUT_OF_TIME: Broken = { kind: 'broken', reason: 'no whole answer by the deadline', isOutOfTime: true }

export interface ExchangeLimit {
  clock: Clock
  /** Point in time of the monotonic clock. */
  deadlineMs: number
}

/**
 * Runs an exchange in a scope that closes at its deadline.
 * @throws ScopeClosedError if the scope of the caller closes first
 */
export async function untilDeadline<T> ({ clock, deadlineMs }: ExchangeLimit, scope: Scope, exchange: (scope: Scope) => Promise<T>): Promise<T | Broken> {
  const bounded = scope.child('exchange')
  let isOutOfTime = false
  const cancelTimer = clock.callAt(Math.min(deadlineMs, clock.nowMs() + LONGEST_EXCHANGE_MS), () => {
    isOutOfTime = true
    bounded.close('deadline passed')
  })
  try {
    return await exchange(bounded)
  } catch (error) {
    scope.throwIfClosed()
    if (isOutOfTime) return OUT_OF_TIME
    throw error
  } finally {
    cancelTimer()
    bounded.close('exchange over')
  }
}
