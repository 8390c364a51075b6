/**
 * How a run of an item at an engine can end, and what that says of the engine.
 */
import type { ItemOutcome } from '../endpoints/endpointClient.js'
import { FailureReason } from '../endpoints/endpointHealth.js'
import type { FailureAccount } from '../endpoints/failureAccount.js'
import { unreachable } from '../utils/errors.js'
import type { Engine } from './engineFleet.js'

export type RunOutcome =
  | ItemOutcome
  /** It goes on at a faster engine. */
  | { kind: 'moved' }
  /** Nothing came of it, though the engine took it: it is not known whether it began. */
  | { kind: 'notBegun', reason: string }
  /** It was ended here for what it gave: the engine did what it can. */
  | { kind: 'unusable', reason: string }

export interface EndedRun {
  engine: Engine
  startedAtMs: number
  /** What its item has met at all engines. */
  failures: FailureAccount
  /** Another endpoint has an engine's address. */
  markRemoved: (endpointId: string) => void
}

/** Notes in what is known of the engine how a run there has ended. */
export function recordOutcome (outcome: RunOutcome, { engine, startedAtMs, failures, markRemoved }: EndedRun): void {
  const { health } = engine
  switch (outcome.kind) {
    case 'finished':
    case 'impossible':
    case 'moved':
    case 'unusable':
      return
    case 'failed':
      health.worked()
      failures.note(engine.id, health, startedAtMs, outcome.status)
      return
    case 'notBegun':
      // That others go on there says nothing of whether it begins what it takes.
      health.failed(FailureReason.Broken, startedAtMs)
      failures.noteUnbegun(engine.id, health, startedAtMs)
      return
    case 'notExecuted':
      health.wasFull(undefined)
      return
    case 'misdirected':
      markRemoved(engine.id)
      return
    case 'unreached':
      if (outcome.isRefused === true) health.refused(startedAtMs)
      else health.failed(FailureReason.Unreached, startedAtMs)
      return
    case 'broken':
      health.failed(FailureReason.Broken, startedAtMs)
      return
    default:
      unreachable(outcome)
  }
}
