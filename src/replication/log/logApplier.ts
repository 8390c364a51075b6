/**
 * Applies committed entries to the replicated state, in order, and takes a
 * snapshot of it when the log has grown enough.
 */
import { Decoder } from 'cbor-x'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { invariant } from '../../utils/errors.js'
import type { Scope } from '../../utils/scope.js'
import { Signal } from '../../utils/signal.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { ReplicatedState } from '../replicatedState.js'
import { encodeSnapshot, type Snapshot } from '../storage/snapshotFile.js'
import { EntryKind, entryBytes, type LogEntry } from './logEntry.js'
import type { Proposals } from './proposals.js'
import type { ReplicaCore } from './replicaCore.js'

/** Entries applied before other tasks get their turn. */
const MAX_TURN_COUNT = 256

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
  private readonly _decoder = new Decoder({ useRecords: false, copyBuffers: true })
  private _appliedIndex: number
  private _entriesCount = 0
  private _bytes = 0

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
      this._applyTurn()
      this.applied.notify()
      if (this._isSnapshotDue()) this._takeSnapshot()
      if (this._appliedIndex < this._core.commitIndex) await scope.race(nextTurn())
    }
  }

  /** Replaces the state by a leader's snapshot. */
  restore (snapshot: Snapshot): void {
    this._state.restore(snapshot.state)
    this._appliedIndex = snapshot.lastIndex
    this._entriesCount = 0
    this._bytes = 0
    this._proposals.forgetUpTo(snapshot.lastIndex)
    this.applied.notify()
  }

  private _applyTurn (): void {
    const lastIndex = Math.min(this._core.commitIndex, this._appliedIndex + MAX_TURN_COUNT)
    while (this._appliedIndex < lastIndex) {
      const entry = this._core.state.log.get(this._appliedIndex + 1)
      invariant(entry, `committed entry ${this._appliedIndex + 1} is not held`)
      this._apply(entry)
    }
  }

  private _apply (entry: LogEntry): void {
    const result = entry.kind === EntryKind.Command ? this._state.apply(this._decoder.decode(entry.payload), entry) : undefined
    this._appliedIndex = entry.index
    this._entriesCount++
    this._bytes += entryBytes(entry)
    this._observer?.(entry, result)
    this._proposals.settle(entry, result)
  }

  private _isSnapshotDue (): boolean {
    return this._entriesCount >= this._policy.everyEntriesCount || this._bytes >= this._policy.everyBytes
  }

  private _takeSnapshot (): void {
    const begunAtMs = this._core.parts.clock.nowMs()
    const { log, members } = this._core.state
    const lastIndex = this._appliedIndex
    const last = log.get(lastIndex)
    invariant(last, 'the last applied entry is not held')
    const snapshot = { lastIndex, lastTerm: last.term, lastAtMs: last.atMs, members: members.at(lastIndex), state: this._state.snapshot() }
    const bytes = encodeSnapshot(snapshot)
    this._core.state.compact(snapshot, bytes, this._policy.keptEntriesCount)
    this._entriesCount = 0
    this._bytes = 0
    this._core.parts.logger.event(ReplicationEvent.SnapshotTaken, { lastIndex, bytesCount: bytes.length, tookMs: this._core.snapshots.noteTaken(bytes.length, begunAtMs) })
  }
}
