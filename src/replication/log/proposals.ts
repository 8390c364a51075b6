/**
 * Proposals that are waiting for their entry to be applied.
 */
import type { LogEntry } from './logEntry.js'

export type ProposalOutcome =
  | { kind: 'committed', index: number, result: unknown }
  /** Another entry has been committed at the proposal's index, or one of a later term before it. */
  | { kind: 'notCommitted', reason: string }
  | { kind: 'unknown', reason: string }

interface PendingProposal {
  term: number
  settle: (outcome: ProposalOutcome) => void
}

export class Proposals {
  private readonly _pending = new Map<number, PendingProposal>()
  private _appliedTerm = 0

  get count (): number {
    return this._pending.size
  }

  /** Resolves with the outcome of an entry; call `abandon` when it is no longer awaited. */
  outcomeOf (index: number, term: number): Promise<ProposalOutcome> {
    // The earlier entry at this index was truncated here, but another replica may still commit it.
    this._pending.get(index)?.settle({ kind: 'unknown', reason: `entry ${index} was truncated by a later leader` })
    return new Promise(resolve => this._pending.set(index, { term, settle: resolve }))
  }

  abandon (index: number, term: number): void {
    if (this._pending.get(index)?.term === term) this._pending.delete(index)
  }

  /** Settles the proposal of an applied entry, and the proposals that this entry rules out. */
  settle (entry: LogEntry, result: unknown): void {
    if (entry.term > this._appliedTerm) this._settleSuperseded(entry)
    const pending = this._pending.get(entry.index)
    if (!pending) return
    this._pending.delete(entry.index)
    if (pending.term === entry.term) pending.settle({ kind: 'committed', index: entry.index, result })
    else pending.settle({ kind: 'notCommitted', reason: `another entry was committed at index ${entry.index}` })
  }

  /** Terms never decrease along the log, so no entry of an earlier term can be committed after this one. */
  private _settleSuperseded ({ index, term }: LogEntry): void {
    this._appliedTerm = term
    for (const [pendingIndex, pending] of this._pending) {
      if (pendingIndex <= index || pending.term >= term) continue
      this._pending.delete(pendingIndex)
      pending.settle({ kind: 'notCommitted', reason: `an entry of term ${term} was committed at index ${index}` })
    }
  }

  /** Settles proposals up to an index that a snapshot covers: they may be committed, but their results are not known here. */
  resolveCovered (index: number): void {
    for (const [pendingIndex, pending] of this._pending) {
      if (pendingIndex > index) continue
      this._pending.delete(pendingIndex)
      pending.settle({ kind: 'unknown', reason: `entry ${pendingIndex} is covered by a snapshot` })
    }
  }
}
