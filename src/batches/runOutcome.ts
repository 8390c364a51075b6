/**
 * How a run of an item at an engine can end, and the effect on the health of the engine.
 */
import type { ItemOutcome } from '../endpoints/endpointClient.js'
import { FailureReason } from '../endpoints/endpointHealth.js'
import type { FailureAttribution } from '../endpoints/failureAttribution.js'
import { unreachable } from '../utils/errors.js'
import type { Engine } from './engineFleet.js'

export type RunOutcome =
  | ItemOutcome
  /** The item continues at a faster engine. */
  | { kind: 'moved' }
  /** The engine accepted the run but sent no event, so it is unknown whether the run started. */
  | { kind: 'notBegun', reason: string }
  /** This host ended the run because the output does not fit the batch; the engine is not at fault. */
  | { kind: 'unusable', reason: string }

export interface EndedRun {
  engine: Engine
  startedAtMs: number
  /** Failures of the item of the run at all engines. */
  failures: FailureAttribution
  /** Called when another endpoint answers at the address of the engine. */
  markRemoved: (endpointId: string) => void
}

/** Records the outcome of a run in the health of the engine and in the failures of the item. */
export function recordOutcome (outcome: RunOutcome, { engine, startedAtMs, failures, markRemoved }: EndedRun): void {
  const { health } = engine
  switch (outcome.kind) {
    case 'finished':
    case 'impossible':
    case 'moved':
    case 'unusable':
      return
    case 'failed':
      health.responded()
      failures.note(engine.id, health, startedAtMs, outcome.status)
      return
    case 'notBegun':
      // Progress of other runs does not show that the engine starts every run that it accepts.
      health.failed(FailureReason.Broken, startedAtMs)
      failures.notStarted(engine.id, health, startedAtMs)
      return
    case 'notExecuted':
      health.rejectedAsFull(undefined)
      return
    case 'misdirected':
      markRemoved(engine.id)
      return
    case 'unreached':
      if (outcome.isRefused === true) health.refusedConnection(startedAtMs)
      else health.failed(FailureReason.Unreached, startedAtMs)
      return
    case 'broken':
      health.failed(FailureReason.Broken, startedAtMs)
      return
    default:
      unreachable(outcome)
  }
}
