/**
 * The persistent state of a replica: term, vote, log and members. Changes take
 * effect in memory at once and are queued for the disk in the same order. A
 * reply that relies on a change must wait until the ticket of the change is
 * durable.
 */
import { invariant } from '../../utils/errors.js'
import type { Snapshot, WrittenSnapshot } from '../storage/snapshotFile.js'
import type { LoadedReplica } from '../storage/storageLoader.js'
import type { DurableWriter } from './durableWriter.js'
import { EntryLog } from './entryLog.js'
import type { HardState, LogEntry } from './logEntry.js'
import { MembershipHistory } from './membershipHistory.js'
import type { AppendRequest } from './raftMethods.js'

export type MergeOutcome =
  | { kind: 'merged', matchIndex: number }
  | { kind: 'mismatch', retryFromIndex: number }

/** What stays in memory of the entries that a snapshot covers. */
export interface KeptEntries {
  keptEntriesCount: number
  keptBytes?: number
}

export class PersistentState {
  readonly log: EntryLog
  readonly members: MembershipHistory
  readonly writer: DurableWriter
  private _hardState: HardState

  constructor (loaded: LoadedReplica, writer: DurableWriter) {
    const { snapshot, entries } = loaded
    const base = { index: snapshot?.lastIndex ?? 0, term: snapshot?.lastTerm ?? 0, atMs: snapshot?.lastAtMs ?? 0 }
    this.log = new EntryLog(base, entries.filter(entry => entry.index > base.index))
    this.members = new MembershipHistory(base.index, snapshot?.members ?? [])
    for (const entry of this.log.after(base.index)) this.members.record(entry)
    this._hardState = loaded.hardState
    this.writer = writer
  }

  get term (): number {
    return this._hardState.term
  }

  get votedFor (): string | null {
    return this._hardState.votedFor
  }

  setHardState (hardState: HardState): number {
    invariant(hardState.term >= this.term, `term ${hardState.term} is lower than the current term ${this.term}`)
    this._hardState = hardState
    return this.writer.enqueue([{ kind: 'hardState', hardState }])
  }

  append (entries: LogEntry[]): number {
    for (const entry of entries) {
      this.log.append(entry)
      this.members.record(entry)
    }
    return this.writer.enqueue(entries.map(entry => ({ kind: 'entry', entry })))
  }

  /**
   * Merges a leader's entries that follow an entry which both logs contain.
   * @param commitIndex entries up to this index never change
   */
  merge (request: AppendRequest, commitIndex: number): MergeOutcome {
    const { prevIndex, prevTerm } = request
    if (prevIndex > this.log.lastIndex) return { kind: 'mismatch', retryFromIndex: this.log.lastIndex + 1 }
    const isCovered = prevIndex < this.log.baseIndex
    if (!isCovered && this.log.termAt(prevIndex) !== prevTerm) {
      const retryFromIndex = Math.max(this.log.firstIndexOfTerm(prevIndex), commitIndex + 1)
      return { kind: 'mismatch', retryFromIndex }
    }
    const newEntries = this._dropKnown(request.entries, commitIndex)
    if (newEntries.length > 0) this.append(newEntries)
    return { kind: 'merged', matchIndex: prevIndex + request.entries.length }
  }

  /** Replaces the log up to a snapshot's last entry with the snapshot, except for the entries to keep in memory. */
  compact (snapshot: WrittenSnapshot, { keptEntriesCount, keptBytes = Number.POSITIVE_INFINITY }: KeptEntries): number {
    const keptFromIndex = this.log.keptFrom(snapshot.lastIndex, keptEntriesCount, keptBytes)
    this.log.compactTo(keptFromIndex)
    this.log.coverTo(snapshot.lastIndex)
    this.members.compactTo(keptFromIndex)
    return this._enqueueCompaction(snapshot)
  }

  /** Installs a leader's snapshot. */
  install (snapshot: Snapshot): number {
    const { lastIndex, lastTerm, lastAtMs, lengthBytes } = snapshot
    const keepsTail = this.log.termAt(lastIndex) === lastTerm
    this.log.rebase({ index: lastIndex, term: lastTerm, atMs: lastAtMs })
    if (keepsTail) this.members.compactTo(lastIndex)
    else this.members.reset(lastIndex, snapshot.members)
    return this._enqueueCompaction({ lastIndex, lastTerm, lengthBytes })
  }

  private _enqueueCompaction (snapshot: WrittenSnapshot): number {
    return this.writer.enqueueCompaction({
      snapshot,
      hardState: this._hardState,
      entries: this.log.after(snapshot.lastIndex)
    })
  }

  /** Truncates the log where it conflicts with the entries; returns the entries that it does not contain yet. */
  private _dropKnown (entries: LogEntry[], commitIndex: number): LogEntry[] {
    const firstUnknown = entries.findIndex(entry => entry.index > this.log.baseIndex && this.log.termAt(entry.index) !== entry.term)
    const first = entries[firstUnknown]
    if (!first) return []
    if (first.index <= this.log.lastIndex) {
      invariant(first.index > commitIndex, `the leader's entry ${first.index} conflicts with a committed entry`)
      this.log.truncateFrom(first.index)
      this.members.truncateFrom(first.index)
    }
    // Copied, so that no entry keeps the whole message that carried it in memory.
    return entries.slice(firstUnknown).map(entry => ({ ...entry, payload: Uint8Array.from(entry.payload) }))
  }
}
