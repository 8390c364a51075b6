/**
 * Classifies a try that got no answer, and records the failure in the health of
 * its endpoint. Used for plain and for streamed requests.
 */
import type { EndpointOutcome } from '../endpoints/endpointClient.js'
import { FailureReason } from '../endpoints/endpointHealth.js'
import type { EndpointPool } from '../endpoints/endpointPool.js'
import type { FleetView } from '../fleet/fleetView.js'
import { RetryReason } from '../protocol/refusals.js'
import { unreachable } from '../utils/errors.js'

export type FailedOutcome = Exclude<EndpointOutcome, { kind: 'answered' }>

export interface FailedTry {
  reason: RetryReason
  detail: string
  /** Whether the endpoint may have run the request. */
  mayHaveRun: boolean
  /** The endpoint only lacked a free slot: this endpoint may be tried again after all the others. */
  wasFull: boolean
}

/**
 * Records the failure in the health of the endpoint.
 * @param startedAtMs when the try was started
 */
export function recordFailedTry (endpointId: string, startedAtMs: number, outcome: FailedOutcome, { pool, view }: { pool: EndpointPool, view: FleetView }): FailedTry {
  const health = pool.health(endpointId)
  const failed = { mayHaveRun: false, wasFull: false }
  switch (outcome.kind) {
    case 'notExecuted':
      health.rejectedAsFull(outcome.load)
      return { ...failed, wasFull: true, reason: RetryReason.EndpointRefused, detail: `status ${outcome.status}` }
    case 'misdirected':
      view.markRemoved(endpointId)
      return { ...failed, reason: RetryReason.EndpointRefused, detail: 'another endpoint has the address' }
    case 'unreached':
      if (outcome.isUnsendable === true) return { ...failed, reason: RetryReason.ConnectFailed, detail: outcome.reason }
      if (outcome.isRefused === true) health.refusedConnection(startedAtMs)
      else health.failed(FailureReason.Unreached, startedAtMs)
      return { ...failed, reason: RetryReason.ConnectFailed, detail: outcome.reason }
    case 'broken':
      // The endpoint may be at work on it still.
      if (outcome.isOutOfTime !== true) health.failed(FailureReason.Broken, startedAtMs)
      return { ...failed, mayHaveRun: true, reason: RetryReason.ConnectionLost, detail: outcome.reason }
    default:
      return unreachable(outcome)
  }
}
