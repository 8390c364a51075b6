/**
 * What a try that brought no answer says of its endpoint, for plain and for
 * streamed requests alike.
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
  /** The endpoint may have run the request. */
  mayHaveRun: boolean
  /** It was only full: worth asking again once all the others were. */
  wasFull: boolean
}

/**
 * Notes the failure in what is known of the endpoint.
 * @param beganAtMs when the try began
 */
export function recordFailedTry (endpointId: string, beganAtMs: number, outcome: FailedOutcome, { pool, view }: { pool: EndpointPool, view: FleetView }): FailedTry {
  const health = pool.health(endpointId)
  const failed = { mayHaveRun: false, wasFull: false }
  switch (outcome.kind) {
    case 'notExecuted':
      health.wasFull(outcome.load)
      return { ...failed, wasFull: true, reason: RetryReason.EndpointRefused, detail: `status ${outcome.status}` }
    case 'misdirected':
      view.markGone(endpointId)
      return { ...failed, reason: RetryReason.EndpointRefused, detail: 'another endpoint has the address' }
    case 'unreached':
      if (outcome.isRefused === true) health.refused(beganAtMs)
      else health.failed(FailureReason.Unreached, beganAtMs)
      return { ...failed, reason: RetryReason.ConnectFailed, detail: outcome.reason }
    case 'broken':
      health.failed(FailureReason.Broken, beganAtMs)
      return { ...failed, mayHaveRun: true, reason: RetryReason.ConnectionLost, detail: outcome.reason }
    default:
      return unreachable(outcome)
  }
}
