/**
 * Proposals that wait for their entry to be applied.
 */
import type { LogEntry } from './logEntry.js'

export type ProposalOutcome =
  | { kind: 'committed', index: number, result: unknown }
  /** The entry's place in the log belongs to another one for good. */
  | { kind: 'notCommitted', reason: string }
  | { kind: 'unknown', reason: string }

interface Waiting {
  term: number
  settle: (outcome: ProposalOutcome) => void
}

export class Proposals {
  private readonly _waiting = new Map<number, Waiting>()

  get count (): number {
    return this._waiting.size
  }

  /** The outcome of an entry; call `abandon` when nobody waits for it any more. */
  outcomeOf (index: number, term: number): Promise<ProposalOutcome> {
    // What stood in this place was cut off here, but another replica may still bring it back.
    this._waiting.get(index)?.settle({ kind: 'unknown', reason: 'cut off by a later leader' })
    return new Promise(resolve => this._waiting.set(index, { term, settle: resolve }))
  }

  abandon (index: number, term: number): void {
    if (this._waiting.get(index)?.term === term) this._waiting.delete(index)
  }

  settle (entry: LogEntry, result: unknown): void {
    const waiting = this._waiting.get(entry.index)
    if (!waiting) return
    this._waiting.delete(entry.index)
    if (waiting.term === entry.term) waiting.settle({ kind: 'committed', index: entry.index, result })
    else waiting.settle({ kind: 'notCommitted', reason: 'another entry took its place' })
  }

  /** A snapshot has covered these entries; their results are not known here. */
  forgetUpTo (index: number): void {
    for (const [waitingIndex, waiting] of this._waiting) {
      if (waitingIndex > index) continue
      this._waiting.delete(waitingIndex)
      waiting.settle({ kind: 'unknown', reason: 'covered by a snapshot' })
    }
  }
}
