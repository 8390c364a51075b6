/**
 * The effect of the end of a run on the health of its engine and on the failures of its item.
 */
import { FailureReason } from '../endpoints/endpointHealth.js'
import type { FailureAttribution } from '../endpoints/failureAttribution.js'
import { isEndedByHost, type HostOutcome, type RunOutcome } from '../protocol/runnerTasks.js'
import { unreachable } from '../utils/errors.js'
import type { Engine } from '../batchScheduling/engineFleet.js'

export interface EndedRun {
  engine: Engine
  startedAtMs: number
  /** Failures of the item of the run at all engines. */
  failures: FailureAttribution
  /** Called when another endpoint answers at the address of the engine. */
  markRemoved: (endpointId: string) => void
}

/** Records the outcome of a run in the health of the engine and in the failures of the item. */
export function recordOutcome (outcome: RunOutcome, ended: EndedRun): void {
  if (isEndedByHost(outcome)) return recordHostOutcome(outcome, ended)
  const { engine, startedAtMs, failures, markRemoved } = ended
  const { health } = engine
  switch (outcome.kind) {
    case 'finished':
    case 'impossible':
      return
    case 'failed':
      // The answer may be reported late; it came after the start of the run.
      health.responded(startedAtMs)
      failures.note(engine.id, health, startedAtMs, outcome.status)
      return
    case 'notExecuted':
      health.rejectedAsFull(undefined)
      return
    case 'misdirected':
      markRemoved(engine.id)
      return
    case 'unreached':
      if (outcome.isUnsendable === true) return
      if (outcome.isRefused === true) health.refusedConnection(startedAtMs)
      else health.failed(FailureReason.Unreached, startedAtMs)
      return
    case 'broken':
      if (outcome.isOutOfTime !== true) health.failed(FailureReason.Broken, startedAtMs)
      return
    default:
      unreachable(outcome)
  }
}

function recordHostOutcome ({ kind }: HostOutcome, { engine, startedAtMs, failures }: EndedRun): void {
  if (kind !== 'notBegun') return
  // Progress of other runs does not show that the engine starts every run that it accepts.
  engine.health.failed(FailureReason.Broken, startedAtMs)
  failures.notStarted(engine.id, engine.health, startedAtMs)
}
