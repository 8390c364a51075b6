/**
 * Opening the replica of a host when its program starts. A data folder that cannot be used
 * now (not there yet, not writable, full) is waited for: nothing runs on it yet, and no
 * confirmed data is at stake.
 */
import { sleepUntil, type Clock } from '../utils/clock.js'
import { DiskFullError, DiskUnusableError } from '../utils/errors.js'
import type { Logger } from '../utils/logger.js'
import { LogThrottle } from '../utils/logThrottle.js'
import type { Scope } from '../utils/scope.js'
import { ReplicationEvent } from './replicationEvents.js'
import type { Disk } from './storage/disk.js'
import { ReplicaStorage, type OpenedReplica } from './storage/replicaStorage.js'

/** As after a write to a full disk; an attempt lists the folder. */
const OPEN_RETRY_MS = 100

export interface OpenReplicaOptions {
  /** Its name in logs. */
  folder: string
  openDisk: () => Promise<Disk>
  hostId: string
  newId: () => string
  clock: Clock
  logger: Logger
  /** Ends the wait. */
  scope: Scope
}

export interface OpenedFolder {
  opened: OpenedReplica
  /** What reading took, without the wait. */
  readMs: number
}

/**
 * @throws StorageError if the folder can never be used, as it belongs to another host.
 * @throws ScopeClosedError when the scope closes first.
 */
export async function openReplica (options: OpenReplicaOptions): Promise<OpenedFolder> {
  const { folder, clock, logger, scope } = options
  const throttle = new LogThrottle(clock)
  const startedAtMs = clock.nowMs()
  for (let attemptsCount = 1; ; attemptsCount++) {
    const attempt = await scope.race(tryToOpen(options))
    const fields = { folder, attemptsCount, waitedMs: Math.round(clock.nowMs() - startedAtMs) }
    if (attempt.kind === 'opened') {
      if (attemptsCount > 1) logger.event(ReplicationEvent.FolderUsable, fields)
      return attempt
    }
    if (throttle.shouldLog(attempt.reason)) logger.event(ReplicationEvent.FolderUnusable, { ...fields, error: attempt.reason })
    await sleepUntil(clock, scope, clock.nowMs() + OPEN_RETRY_MS)
  }
}

type Attempt = { kind: 'opened' } & OpenedFolder | { kind: 'unusable', reason: string }

async function tryToOpen ({ openDisk, hostId, newId, clock, logger }: OpenReplicaOptions): Promise<Attempt> {
  const readFromMs = clock.nowMs()
  const onDamaged = (reason: string): void => logger.event(ReplicationEvent.StorageDamaged, { reason })
  try {
    const opened = await ReplicaStorage.open(await openDisk(), hostId, newId, { syncs: true, onDamaged })
    const { tornBytes } = opened.loaded
    if (tornBytes > 0) logger.event(ReplicationEvent.TornTailTruncated, { bytesCount: tornBytes })
    return { kind: 'opened', opened, readMs: clock.nowMs() - readFromMs }
  } catch (error) {
    if (error instanceof DiskFullError || error instanceof DiskUnusableError) return { kind: 'unusable', reason: error.message }
    throw error
  }
}
