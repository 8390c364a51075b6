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
  beganAtMs: number
  /** What its item has met at all engines. */
  failures: FailureAccount
  /** Another endpoint has an engine's address. */
  markGone: (endpointId: string) => void
}

/** Notes in what is known of the engine how a run there has ended. */
export function noteOutcome (outcome: RunOutcome, { engine, beganAtMs, failures, markGone }: EndedRun): void {
  const { health } = engine
  switch (outcome.kind) {
    case 'finished':
    case 'impossible':
    case 'moved':
    case 'unusable':
      return
    case 'failed':
      health.worked()
      failures.note(engine.id, health, beganAtMs, outcome.status)
      return
    case 'notBegun':
      // That others go on there says nothing of whether it begins what it takes.
      health.failed(FailureReason.Broken, beganAtMs)
      failures.noteUnbegun(engine.id, health, beganAtMs)
      return
    case 'notExecuted':
      health.wasFull(undefined)
      return
    case 'misdirected':
      markGone(engine.id)
      return
    case 'unreached':
      if (outcome.isRefused === true) health.refused(beganAtMs)
      else health.failed(FailureReason.Unreached, beganAtMs)
      return
    case 'broken':
      health.failed(FailureReason.Broken, beganAtMs)
      return
    default:
      unreachable(outcome)
  }
}
