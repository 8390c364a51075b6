/**
 * The right to use one endpoint for one attempt. It is finished exactly once:
 * by its user or, when the request's scope has closed and the user doesn't
 * call `finish` within a grace period, by expiry.
 */
import type { Clock } from '../../utils/clock.js'
import { invariant } from '../../utils/errors.js'
import type { Scope } from '../../utils/scope.js'
import type { EndpointRecord } from '../directory/endpointRecord.js'
import type { Assignment, AttemptResult } from './scheduler.js'

/** The user of an assignment has this long to call `finish` after the request's scope closes. */
const FINISH_GRACE_MS = 1_000

export interface AssignmentOptions {
  endpoint: EndpointRecord
  clock: Clock
  scope: Scope
  onFinish: (result: AttemptResult) => void
}

export function createAssignment ({ endpoint, clock, scope, onFinish }: AssignmentOptions): Assignment {
  let state: 'running' | 'finished' | 'expired' = 'running'
  let cancelExpiry = (): void => {}
  const removeCloseListener = scope.onClose(() => {
    cancelExpiry = clock.callAt(clock.nowMs() + FINISH_GRACE_MS, () => end('expired', { kind: 'cancelled' }))
  })
  function end (endState: 'finished' | 'expired', result: AttemptResult): void {
    state = endState
    cancelExpiry()
    removeCloseListener()
    onFinish(result)
  }
  return {
    endpoint,
    finish (result) {
      invariant(state !== 'finished', `the assignment of endpoint ${endpoint.announcement.endpointId} was finished twice`)
      if (state === 'running') end('finished', result)
    }
  }
}
