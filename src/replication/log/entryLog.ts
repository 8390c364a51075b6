/**
 * The log as it stands in memory: the entries after a base, which a snapshot
 * covers. What of it is on disk is the business of the durable writer.
 */
import { invariant } from '../../utils/errors.js'
import { entryBytes, type LogEntry } from './logEntry.js'

/** The last entry that is no longer held. */
export interface LogBase {
  index: number
  term: number
  atMs: number
}

export class EntryLog {
  private _base: LogBase
  private _entries: LogEntry[]
  private _bytes: number

  constructor (base: LogBase, entries: LogEntry[]) {
    this._base = base
    this._entries = entries
    this._bytes = sumBytes(entries)
  }

  get baseIndex (): number {
    return this._base.index
  }

  get lastIndex (): number {
    return this._base.index + this._entries.length
  }

  get lastTerm (): number {
    return this._entries.at(-1)?.term ?? this._base.term
  }

  /** Wall clock of the last entry. */
  get lastAtMs (): number {
    return this._entries.at(-1)?.atMs ?? this._base.atMs
  }

  /** Bytes of all entries held. */
  get bytes (): number {
    return this._bytes
  }

  get (index: number): LogEntry | undefined {
    return this._entries[index - this._base.index - 1]
  }

  /** The term of an entry; undefined for what is not held any more, or not yet. */
  termAt (index: number): number | undefined {
    if (index === this._base.index) return this._base.term
    return this.get(index)?.term
  }

  append (entry: LogEntry): void {
    invariant(entry.index === this.lastIndex + 1, `entry ${entry.index} after ${this.lastIndex}`)
    this._entries.push(entry)
    this._bytes += entryBytes(entry)
  }

  /** Drops an index and all behind it. */
  truncateFrom (index: number): void {
    invariant(index > this._base.index, `entry ${index} is covered by a snapshot`)
    const dropped = this._entries.splice(index - this._base.index - 1)
    this._bytes -= sumBytes(dropped)
  }

  /** Entries from an index on, up to a size; at least one if there is one. */
  slice (fromIndex: number, maxBytes: number): LogEntry[] {
    const chosen: LogEntry[] = []
    let bytes = 0
    for (let index = fromIndex; index <= this.lastIndex; index++) {
      const entry = this.get(index)
      invariant(entry, `entry ${index} is not held`)
      bytes += entryBytes(entry)
      if (chosen.length > 0 && bytes > maxBytes) break
      chosen.push(entry)
    }
    return chosen
  }

  /** All entries behind an index. */
  after (index: number): LogEntry[] {
    return this._entries.slice(Math.max(0, index - this._base.index))
  }

  /** Forgets the entries up to an index. */
  compactTo (index: number): void {
    const last = this.get(index)
    if (!last) return
    const dropped = this._entries.splice(0, index - this._base.index)
    this._bytes -= sumBytes(dropped)
    this._base = { index, term: last.term, atMs: last.atMs }
  }

  /** Starts anew behind a snapshot; entries that provably follow on it are kept. */
  rebase (base: LogBase): void {
    if (this.termAt(base.index) === base.term) return this.compactTo(base.index)
    this._base = base
    this._entries = []
    this._bytes = 0
  }

  /** The first index of the term that the entry at an index has, as far as it is held. */
  firstIndexOfTerm (index: number): number {
    const term = this.termAt(index)
    let first = index
    while (first - 1 > this._base.index && this.termAt(first - 1) === term) first--
    return first
  }
}

function sumBytes (entries: LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + entryBytes(entry), 0)
}
