/**
 * The planned stop of an entry host. It leaves the advice first, serves until
 * the last advice that named it has expired, then refuses new work and lets
 * what runs come to its end.
 */
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import type { Scope } from '../utils/scope.js'
import { EntryEvent } from './entryEvents.js'

const IDLE_CHECK_MS = 20

export interface PlannedStopOptions {
  clock: Clock
  logger: Logger
  adviceValidMs: number
  maxStopMs: number
  /** Resolves with the instant by which the last advice that named this host was given. */
  withdrawFromAdvice: (scope: Scope) => Promise<number>
  refuseNewWork: () => void
  /** Requests and tries that have not ended. */
  runningCount: () => number
}

export async function runPlannedStop (options: PlannedStopOptions, scope: Scope): Promise<void> {
  const { clock, logger } = options
  const stopDeadlineMs = clock.nowMs() + options.maxStopMs
  logger.event(EntryEvent.StopStarted)
  const lastAdviceAtMs = await options.withdrawFromAdvice(scope)
  await sleepUntil(clock, scope, lastAdviceAtMs + options.adviceValidMs)
  options.refuseNewWork()
  logger.event(EntryEvent.StopServing, { runningCount: options.runningCount() })
  while (options.runningCount() > 0 && clock.nowMs() < stopDeadlineMs) {
    await sleepUntil(clock, scope, clock.nowMs() + IDLE_CHECK_MS)
  }
  logger.event(EntryEvent.StopEnded, { cutOffCount: options.runningCount() })
}
