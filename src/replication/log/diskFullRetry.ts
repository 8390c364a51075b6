/**
 * Waiting for room on a full disk: the same write is tried again until it succeeds.
 */
import { sleepUntil, type Clock } from '../../utils/clock.js'
import { DiskFullError } from '../../utils/errors.js'
import type { Logger } from '../../utils/logger.js'
import type { Scope } from '../../utils/scope.js'
import { ReplicationEvent } from '../replicationEvents.js'

/** Pause before a write is retried after the disk was full. */
const DISK_FULL_RETRY_MS = 100

/** @throws ScopeClosedError when the scope closes first. */
export async function retryWhileDiskFull (clock: Clock, logger: Logger, scope: Scope, write: () => Promise<void>): Promise<void> {
  let isLogged = false
  for (;;) {
    try {
      return await scope.race(write())
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error
      if (!isLogged) logger.event(ReplicationEvent.DiskFull, { error: error.message })
      isLogged = true
    }
    await sleepUntil(clock, scope, clock.nowMs() + DISK_FULL_RETRY_MS)
  }
}
