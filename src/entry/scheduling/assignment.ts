/**
 * The right to use one endpoint once. Finished exactly once: by its holder or,
 * when the request's scope has closed and the holder stays silent, by itself.
 */
import type { Clock } from '../../utils/clock.js'
import { invariant } from '../../utils/errors.js'
import type { Scope } from '../../utils/scope.js'
import type { EndpointRecord } from '../directory/endpointRecord.js'
import type { Assignment, AttemptResult } from './scheduler.js'

/** Time to call finish after the request's scope has closed. */
const GRACE_AFTER_CLOSE_MS = 1_000

export interface AssignmentParts {
  endpoint: EndpointRecord
  clock: Clock
  scope: Scope
  onFinish: (result: AttemptResult) => void
}

export function createAssignment ({ endpoint, clock, scope, onFinish }: AssignmentParts): Assignment {
  let state: 'running' | 'finished' | 'expired' = 'running'
  let cancelGrace = (): void => {}
  const forgetScope = scope.onClose(() => {
    cancelGrace = clock.callAt(clock.nowMs() + GRACE_AFTER_CLOSE_MS, () => end('expired', { kind: 'cancelled' }))
  })
  function end (endState: 'finished' | 'expired', result: AttemptResult): void {
    state = endState
    cancelGrace()
    forgetScope()
    onFinish(result)
  }
  return {
    endpoint,
    finish (result) {
      invariant(state !== 'finished', `the assignment of ${endpoint.announcement.endpointId} was finished twice`)
      if (state === 'running') end('finished', result)
    }
  }
}
