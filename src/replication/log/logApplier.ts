/**
 * Applies committed entries to the replicated state, in order, and takes a
 * snapshot of it when the log has grown enough.
 */
import { Decoder } from 'cbor-x'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { sleepUntil } from '../../utils/clock.js'
import { DiskFullError, invariant } from '../../utils/errors.js'
import type { Scope } from '../../utils/scope.js'
import { Signal } from '../../utils/signal.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { ReplicatedState, SnapshotPieces } from '../replicatedState.js'
import type { Snapshot, SnapshotHeader, WrittenSnapshot } from '../storage/snapshotFile.js'
import { EntryKind, entryBytes, type LogEntry } from './logEntry.js'
import type { Proposals } from './proposals.js'
import type { ReplicaCore } from './replicaCore.js'

/** Entries applied before other tasks get their turn. */
const MAX_ENTRIES_PER_TURN = 256
/** Pause before a snapshot that a full disk has refused is taken anew. */
const DISK_FULL_RETRY_MS = 1_000

export interface SnapshotPolicy {
  /** A snapshot is taken after so many entries, or so many bytes of them. */
  everyEntriesCount: number
  everyBytes: number
  /** Entries kept behind the snapshot for followers that lag a little. */
  keptEntriesCount: number
}

export const defaultSnapshotPolicy: SnapshotPolicy = {
  everyEntriesCount: 4096,
  everyBytes: 8 * 1024 * 1024,
  keptEntriesCount: 1024
}

/** Called for every entry applied; for tests that compare replicas. */
export type ApplyObserver = (entry: LogEntry, result: unknown) => void

export class LogApplier {
  /** Notified after every turn of applying, and after a restored snapshot. */
  readonly applied = new Signal()
  private readonly _core: ReplicaCore
  private readonly _state: ReplicatedState<unknown, unknown>
  private readonly _proposals: Proposals
  private readonly _policy: SnapshotPolicy
  private readonly _observer: ApplyObserver | undefined
  /** Byte arrays of a command are views into the entry's payload, which the log holds as well. */
  private readonly _decoder = new Decoder({ useRecords: false })
  private _appliedIndex: number
  /** Since the state that the latest snapshot shows. */
  private _entriesSinceSnapshotCount = 0
  private _bytesSinceSnapshot = 0
  /** Counts the states that were replaced as a whole: a snapshot of an earlier one is worth nothing. */
  private _restoresCount = 0
  private readonly _snapshotDue = new Signal()

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

  /** Waits until the state holds an entry. */
  async whenApplied (index: number, scope: Scope): Promise<void> {
    while (this._appliedIndex < index) await this.applied.wait(scope)
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
   * Takes snapshots as they become due, one after the other, while entries go
   * on being applied: a leader that wrote one in a single turn was held up for
   * longer than its followers wait for a heartbeat.
   */
  async runSnapshots (scope: Scope): Promise<void> {
    for (;;) {
      while (!this._isSnapshotDue()) await this._snapshotDue.wait(scope)
      await this._takeSnapshot(scope)
    }
  }

  /** A piece of a leader's snapshot, with what the state holds already. */
  reuse (piece: unknown): unknown {
    return this._state.reuse(piece)
  }

  /** Replaces the state by a leader's snapshot. */
  restore (snapshot: Snapshot): void {
    this._state.restore(snapshot.pieces)
    this._appliedIndex = snapshot.lastIndex
    this._restoresCount++
    this._entriesSinceSnapshotCount = 0
    this._bytesSinceSnapshot = 0
    this._proposals.resolveCovered(snapshot.lastIndex)
    this.applied.notify()
  }

  private _applyBatch (): void {
    const lastIndex = Math.min(this._core.commitIndex, this._appliedIndex + MAX_ENTRIES_PER_TURN)
    while (this._appliedIndex < lastIndex) {
      const entry = this._core.state.log.get(this._appliedIndex + 1)
      invariant(entry, `committed entry ${this._appliedIndex + 1} is not held`)
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
    const { state, snapshotStats: snapshots, options: { clock, storage, logger } } = this._core
    const startedAtMs = clock.nowMs()
    const restoresCount = this._restoresCount
    const header = this._snapshotHeader()
    const pieces = this._state.snapshot()
    this._entriesSinceSnapshotCount = 0
    this._bytesSinceSnapshot = 0
    const written = await this._write(header, pieces, scope)
    if (!written) return await this._retryLater(restoresCount, scope)
    // A leader's snapshot, which is later, has come meanwhile.
    if (restoresCount !== this._restoresCount) return await scope.race(storage.discardSnapshot(written))
    state.compact(written, this._policy.keptEntriesCount)
    logger.event(ReplicationEvent.SnapshotTaken, { lastIndex: written.lastIndex, bytesCount: written.lengthBytes, tookMs: snapshots.recordTaken(written.lengthBytes, startedAtMs) })
  }

  private _snapshotHeader (): SnapshotHeader {
    const { log, members } = this._core.state
    const lastIndex = this._appliedIndex
    const last = log.get(lastIndex)
    invariant(last, 'the last applied entry is not held')
    return { lastIndex, lastTerm: last.term, lastAtMs: last.atMs, members: members.at(lastIndex) }
  }

  /** Undefined when the disk is full, or another snapshot of the entry is on its way: the log stays as it is, and the next try shows a later state. */
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
