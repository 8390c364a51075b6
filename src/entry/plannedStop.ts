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

export interface PlannedStopParts {
  clock: Clock
  logger: Logger
  adviceValidMs: number
  maxStopMs: number
  /** Resolves with the instant by which the last advice that named this host was given. */
  leaveAdvice: (scope: Scope) => Promise<number>
  refuseNewWork: () => void
  /** Requests and tries that have not ended. */
  runningCount: () => number
}

export async function stopAsPlanned (parts: PlannedStopParts, scope: Scope): Promise<void> {
  const { clock, logger } = parts
  const cutOffAtMs = clock.nowMs() + parts.maxStopMs
  logger.event(EntryEvent.StopBegun)
  const lastAdviceAtMs = await parts.leaveAdvice(scope)
  await sleepUntil(clock, scope, lastAdviceAtMs + parts.adviceValidMs)
  parts.refuseNewWork()
  logger.event(EntryEvent.StopServing, { runningCount: parts.runningCount() })
  while (parts.runningCount() > 0 && clock.nowMs() < cutOffAtMs) {
    await sleepUntil(clock, scope, clock.nowMs() + IDLE_CHECK_MS)
  }
  logger.event(EntryEvent.StopEnded, { cutOffCount: parts.runningCount() })
}
