/**
 * Applies committed entries to the replicated state in order, and takes a
 * snapshot of the state once the log has grown enough. Entries go on arriving while a
 * snapshot is written; a bound on them keeps a host with a slow disk within its memory.
 */
import { Decoder } from 'cbor-x'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { sleepUntil } from '../../utils/clock.js'
import { DiskFullError, invariant } from '../../utils/errors.js'
import type { Scope } from '../../utils/scope.js'
import { Signal, type WaitLimit } from '../../utils/signal.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { ReplicatedState, SnapshotPieces } from '../replicatedState.js'
import type { Snapshot, SnapshotHeader, WrittenSnapshot } from '../storage/snapshotFile.js'
import { EntryKind, entryBytes, type LogEntry } from './logEntry.js'
import type { Proposals } from './proposals.js'
import type { ReplicaCore } from './replicaCore.js'

/** Entries applied before the task yields to the event loop. */
const MAX_ENTRIES_PER_TURN = 256
/** Size at which the log is full, in sizes at which a snapshot is taken: one that is being written, and two that arrive meanwhile. */
const FULL_LOG_SNAPSHOTS_COUNT = 3
/** The same for large entries, which would fill the log before others notice. */
const SPARE_LOG_SNAPSHOTS_COUNT = 1.5
/** Pause before a snapshot is taken again after the disk was full. */
const DISK_FULL_RETRY_MS = 1_000

export interface SnapshotPolicy {
  /** A snapshot is taken after this many entries, or after `everyBytes` bytes of entries. */
  everyEntriesCount: number
  everyBytes: number
  /** Entries before the snapshot that stay in memory for followers that lag slightly. */
  keptEntriesCount: number
  /** Bytes of these entries at most; without it, there is no limit. */
  keptBytes?: number
}

export const defaultSnapshotPolicy: SnapshotPolicy = {
  everyEntriesCount: 4096,
  everyBytes: 8 * 1024 * 1024,
  keptEntriesCount: 1024
}

/** Called for every applied entry; for tests that compare replicas. */
export type ApplyObserver = (entry: LogEntry, result: unknown) => void

export class LogApplier {
  /** Notified after every batch of applied entries, and after a snapshot is restored. */
  readonly applied = new Signal()
  private readonly _core: ReplicaCore
  private readonly _state: ReplicatedState<unknown, unknown>
  private readonly _proposals: Proposals
  private readonly _policy: SnapshotPolicy
  private readonly _observer: ApplyObserver | undefined
  /** Byte arrays in a decoded command are views into the entry's payload, which the log also holds. */
  private readonly _decoder = new Decoder({ useRecords: false })
  private _appliedIndex: number
  /** Entries applied since the latest snapshot. */
  private _entriesSinceSnapshotCount = 0
  private _bytesSinceSnapshot = 0
  /** Number of restores; a snapshot that was started before a restore is obsolete. */
  private _restoresCount = 0
  private readonly _snapshotDue = new Signal()
  /** Notified when a snapshot has taken the place of the entries that it covers. */
  private readonly _compacted = new Signal()
  private _isFullLogged = false

  constructor (core: ReplicaCore, state: ReplicatedState<unknown, unknown>, proposals: Proposals, policy: SnapshotPolicy, observer?: ApplyObserver) {
    this._core = core
    this._state = state
    this._proposals = proposals
    this._policy = policy
    this._observer = observer
    this._appliedIndex = core.commitIndex
  }

  get appliedIndex (): number {
    return this._appliedIndex
  }

  /** Waits until an entry is applied to the state. */
  async whenApplied (index: number, scope: Scope): Promise<void> {
    while (this._appliedIndex < index) await this.applied.wait(scope)
  }

  /** Whether so many bytes of entries follow the latest snapshot that further ones have to wait for the next snapshot. */
  get isLogFull (): boolean {
    return this._core.state.log.uncoveredBytes >= FULL_LOG_SNAPSHOTS_COUNT * this._policy.everyBytes
  }

  /** Waits until the log has room for further entries; false when the deadline passed first. */
  async whenLogHasRoom (scope: Scope, limit: WaitLimit): Promise<boolean> {
    this._logIfFull()
    return await this._whenLogIsBelow(FULL_LOG_SNAPSHOTS_COUNT, scope, limit)
  }

  /** Waits until the log has room for a large entry, and for others beside it; false when the deadline passed first. */
  async whenLogHasSpareRoom (scope: Scope, limit: WaitLimit): Promise<boolean> {
    return await this._whenLogIsBelow(SPARE_LOG_SNAPSHOTS_COUNT, scope, limit)
  }

  private async _whenLogIsBelow (snapshotsCount: number, scope: Scope, limit: WaitLimit): Promise<boolean> {
    while (this._core.state.log.uncoveredBytes >= snapshotsCount * this._policy.everyBytes) {
      if (!(await this._compacted.wait(scope, limit))) return false
    }
    return true
  }

  async run (scope: Scope): Promise<void> {
    for (;;) {
      while (this._appliedIndex >= this._core.commitIndex) await this._core.committed.wait(scope)
      this._applyBatch()
      this.applied.notify()
      if (this._isSnapshotDue()) this._snapshotDue.notify()
      if (this._appliedIndex < this._core.commitIndex) await scope.race(nextTurn())
    }
  }

  /**
   * Takes snapshots as they become due, one at a time, while entries continue
   * to be applied: a leader that wrote a snapshot in a single event-loop turn
   * was blocked for longer than its followers wait for a heartbeat.
   */
  async runSnapshots (scope: Scope): Promise<void> {
    for (;;) {
      while (!this._isSnapshotDue()) await this._snapshotDue.wait(scope)
      await this._takeSnapshot(scope)
    }
  }

  /** Returns a piece of a leader's snapshot in which parts that the state already holds are shared with the state. */
  reuse (piece: unknown): unknown {
    return this._state.reuse(piece)
  }

  /** Replaces the state with a leader's snapshot. */
  restore (snapshot: Snapshot): void {
    this._state.restore(snapshot.pieces)
    this._appliedIndex = snapshot.lastIndex
    this._restoresCount++
    this._entriesSinceSnapshotCount = 0
    this._bytesSinceSnapshot = 0
    this._proposals.resolveCovered(snapshot.lastIndex)
    this.applied.notify()
    this._noteCompacted()
  }

  private _noteCompacted (): void {
    this._isFullLogged &&= this.isLogFull
    this._compacted.notify()
  }

  private _logIfFull (): void {
    if (!this.isLogFull || this._isFullLogged) return
    this._isFullLogged = true
    this._core.options.logger.event(ReplicationEvent.LogFull, { bytesCount: this._core.state.log.uncoveredBytes, appliedIndex: this._appliedIndex, commitIndex: this._core.commitIndex })
  }

  private _applyBatch (): void {
    const lastIndex = Math.min(this._core.commitIndex, this._appliedIndex + MAX_ENTRIES_PER_TURN)
    while (this._appliedIndex < lastIndex) {
      const entry = this._core.state.log.get(this._appliedIndex + 1)
      invariant(entry, `committed entry ${this._appliedIndex + 1} is not in the log`)
      this._apply(entry)
    }
  }

  private _apply (entry: LogEntry): void {
    const result = entry.kind === EntryKind.Command ? this._state.apply(this._decoder.decode(entry.payload), entry) : undefined
    this._appliedIndex = entry.index
    this._entriesSinceSnapshotCount++
    this._bytesSinceSnapshot += entryBytes(entry)
    this._observer?.(entry, result)
    this._proposals.settle(entry, result)
  }

  private _isSnapshotDue (): boolean {
    return this._entriesSinceSnapshotCount >= this._policy.everyEntriesCount || this._bytesSinceSnapshot >= this._policy.everyBytes
  }

  private async _takeSnapshot (scope: Scope): Promise<void> {
    const { state, snapshotStats, options: { clock, storage, logger } } = this._core
    const startedAtMs = clock.nowMs()
    const restoresCount = this._restoresCount
    const header = this._snapshotHeader()
    const pieces = this._state.snapshot()
    this._entriesSinceSnapshotCount = 0
    this._bytesSinceSnapshot = 0
    const written = await this._write(header, pieces, scope)
    if (!written) return await this._retryLater(restoresCount, scope)
    // A later snapshot from the leader was installed in the meantime.
    if (restoresCount !== this._restoresCount) return await scope.race(storage.discardSnapshot(written))
    state.compact(written, this._policy)
    this._noteCompacted()
    logger.event(ReplicationEvent.SnapshotTaken, { lastIndex: written.lastIndex, bytesCount: written.lengthBytes, tookMs: snapshotStats.recordTaken(written.lengthBytes, startedAtMs) })
  }

  private _snapshotHeader (): SnapshotHeader {
    const { log, members } = this._core.state
    const lastIndex = this._appliedIndex
    const last = log.get(lastIndex)
    invariant(last, `the last applied entry ${lastIndex} is not in the log`)
    return { lastIndex, lastTerm: last.term, lastAtMs: last.atMs, members: members.at(lastIndex) }
  }

  /** Returns undefined if the disk is full or another snapshot at the same entry is already pending. The log is then not compacted, and the next attempt captures a later state. */
  private async _write (header: SnapshotHeader, pieces: SnapshotPieces, scope: Scope): Promise<WrittenSnapshot | undefined> {
    const { logger, storage } = this._core.options
    try {
      return await scope.race(storage.writeSnapshot(header, pieces))
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error
      logger.event(ReplicationEvent.DiskFull, { error: error.message })
      return undefined
    }
  }

  private async _retryLater (restoresCount: number, scope: Scope): Promise<void> {
    const { clock } = this._core.options
    await sleepUntil(clock, scope, clock.nowMs() + DISK_FULL_RETRY_MS)
    if (restoresCount === this._restoresCount) this._entriesSinceSnapshotCount = this._policy.everyEntriesCount
  }
}
