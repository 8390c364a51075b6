/**
 * What log lines say of how the run of an item ended.
 */
import type { EnginePace } from '../batchScheduling/enginePace.js'
import type { Move } from '../batchScheduling/movePolicy.js'
import type { RunOutcome } from '../protocol/runnerTasks.js'
import type { LogFields } from '../utils/logger.js'

export function reasonOf (outcome: RunOutcome): string {
  if ('reason' in outcome) return outcome.reason
  return 'status' in outcome ? `status ${outcome.status}` : ''
}

/** Why a run was moved, and what the decision rested on. */
export function moveFields (pace: EnginePace, move: Move | undefined): LogFields {
  const { reason = '', restCount = 0, gainMs } = move ?? {}
  return {
    meanGapMs: Math.round(pace.currentGapMs ?? 0),
    baselineGapMs: Math.round(pace.baselineGapMs ?? 0),
    reason,
    restEventsCount: Math.round(restCount),
    ...(gainMs === undefined ? {} : { gainMs: Math.round(gainMs) })
  }
}
