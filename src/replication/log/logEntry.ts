/**
 * Entries of the replicated log. The payload stays encoded from the leader to
 * every disk, and is decoded only to be applied.
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
  /** The leader's wall clock when it took the entry; never goes back along the log. */
  atMs: number
  payload: Uint8Array
}

/** What a replica must remember of elections. */
export interface HardState {
  term: number
  /** Replica that got this one's vote in the term. */
  votedFor: string | null
}

/** Bytes that an entry counts for in limits, on the wire and on disk. */
export function entryBytes (entry: LogEntry): number {
  return entry.payload.length + ENTRY_OVERHEAD_BYTES
}

const ENTRY_OVERHEAD_BYTES = 48
