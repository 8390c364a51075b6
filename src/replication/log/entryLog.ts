/**
 * The in-memory log: the entries after a base index, up to which a snapshot
 * covers the log. `DurableWriter` tracks which of them are on disk.
 */
import { invariant } from '../../utils/errors.js'
import { entryBytes, type LogEntry } from './logEntry.js'

/** The last entry that has been compacted away. */
export interface LogBase {
  index: number
  term: number
  atMs: number
}

export class EntryLog {
  private _base: LogBase
  private _entries: LogEntry[]
  private _bytes: number
  /** The last entry that a snapshot covers; entries before it are kept for followers that lag slightly. */
  private _coveredIndex: number
  private _uncoveredBytes: number

  constructor (base: LogBase, entries: LogEntry[]) {
    this._base = base
    this._entries = entries
    this._bytes = sumBytes(entries)
    this._coveredIndex = base.index
    this._uncoveredBytes = this._bytes
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

  /** Leader's wall clock of the last entry. */
  get lastAtMs (): number {
    return this._entries.at(-1)?.atMs ?? this._base.atMs
  }

  /** Total size of the entries in memory. */
  get bytes (): number {
    return this._bytes
  }

  /** Total size of the entries that no snapshot covers. */
  get uncoveredBytes (): number {
    return this._uncoveredBytes
  }

  get (index: number): LogEntry | undefined {
    return this._entries[index - this._base.index - 1]
  }

  /** Term of an entry; undefined if the entry was compacted away or does not exist yet. */
  termAt (index: number): number | undefined {
    if (index === this._base.index) return this._base.term
    return this.get(index)?.term
  }

  append (entry: LogEntry): void {
    invariant(entry.index === this.lastIndex + 1, `log gap: entry ${entry.index} appended after entry ${this.lastIndex}`)
    this._entries.push(entry)
    this._bytes += entryBytes(entry)
    this._uncoveredBytes += entryBytes(entry)
  }

  /** Removes the entry at an index and all later ones. */
  truncateFrom (index: number): void {
    invariant(index > this._coveredIndex, `cannot truncate from entry ${index}: a snapshot covers it`)
    const droppedBytes = sumBytes(this._entries.splice(index - this._base.index - 1))
    this._bytes -= droppedBytes
    this._uncoveredBytes -= droppedBytes
  }

  /** Entries from an index on, up to a total size; at least one entry, if any exists. */
  slice (fromIndex: number, maxBytes: number): LogEntry[] {
    const chosen: LogEntry[] = []
    let bytes = 0
    for (let index = fromIndex; index <= this.lastIndex; index++) {
      const entry = this.get(index)
      invariant(entry, `entry ${index} is not in the log: it was compacted away`)
      bytes += entryBytes(entry)
      if (chosen.length > 0 && bytes > maxBytes) break
      chosen.push(entry)
    }
    return chosen
  }

  /** All entries after an index. */
  after (index: number): LogEntry[] {
    return this._entries.slice(Math.max(0, index - this._base.index))
  }

  /** The index behind which entries stay, of those up to `lastIndex`: the latest ones within both limits. */
  keptFrom (lastIndex: number, maxCount: number, maxBytes: number): number {
    let keptFromIndex = lastIndex
    let bytes = 0
    while (keptFromIndex > this._base.index && lastIndex - keptFromIndex < maxCount) {
      const entry = this.get(keptFromIndex)
      bytes += entry ? entryBytes(entry) : 0
      if (bytes > maxBytes) break
      keptFromIndex--
    }
    return keptFromIndex
  }

  /** Drops the entries up to and including an index. */
  compactTo (index: number): void {
    const last = this.get(index)
    if (!last) return
    const dropped = this._entries.splice(0, index - this._base.index)
    this._bytes -= sumBytes(dropped)
    this._base = { index, term: last.term, atMs: last.atMs }
  }

  /** Marks the entries up to and including an index as covered by a snapshot. */
  coverTo (index: number): void {
    this._coveredIndex = Math.max(this._coveredIndex, index)
    this._uncoveredBytes = sumBytes(this.after(this._coveredIndex))
  }

  /** Makes a snapshot the base of the log. Entries after it are kept only if the log holds the snapshot's last entry with the same term. */
  rebase (base: LogBase): void {
    if (this.termAt(base.index) === base.term) {
      this.compactTo(base.index)
    } else {
      this._base = base
      this._entries = []
      this._bytes = 0
    }
    this.coverTo(base.index)
  }

  /** First index in memory of the term to which the entry at an index belongs. */
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
