/**
 * The planned stop of an entry host. The host first withdraws from advice,
 * serves until all advice that names this host has expired, then refuses new work and
 * waits until the running requests have ended.
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
  /** Resolves with the time after which no host names this host in advice. */
  withdrawFromAdvice: (scope: Scope) => Promise<number>
  refuseNewWork: () => void
  /** Number of requests and attempts that have not ended. */
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
