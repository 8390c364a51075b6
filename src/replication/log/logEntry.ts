/**
 * Entries of the replicated log. The leader encodes the payload once; it is
 * sent and stored in that form and decoded only to be applied.
 */
export enum EntryKind {
  /** The first entry of a leader's term. */
  Empty = 0,
  Command = 1,
  Membership = 2
}

export interface LogEntry {
  index: number
  term: number
  kind: EntryKind
  /** The leader's wall clock when it appended the entry, in milliseconds since the Unix epoch; never decreases along the log. */
  atMs: number
  payload: Uint8Array
}

/** The election state that a replica must persist. */
export interface HardState {
  term: number
  /** Replica that this one voted for in the term; null if it has not voted. */
  votedFor: string | null
}

/** Size that an entry is counted with in limits of messages and writes. */
export function entryBytes (entry: LogEntry): number {
  return entry.payload.length + ENTRY_OVERHEAD_BYTES
}

const ENTRY_OVERHEAD_BYTES = 48
