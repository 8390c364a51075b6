/**
 * The contract of everything that is state of the replicated log: applying a
 * command is deterministic, because every control host does it by itself.
 */
export interface ApplyContext {
  /** Index of the entry in the log. */
  index: number
  /** The leader's clock when it took the command; never goes back. Milliseconds of the Unix epoch. */
  atMs: number
}

/**
 * A state at one entry, as a sequence of plain values that the codec can carry.
 * It is iterated while later commands are applied, and again should a write of
 * it have to be repeated; each time it gives the state as of the call that made
 * it. No piece grows with the whole state: one is held at a time.
 */
export type SnapshotPieces = Iterable<unknown>

/** A part of a replicated state, which gives its share of a snapshot as one small value. */
export interface StatePart<Command, Result> {
  apply (command: Command, context: ApplyContext): Result
  /** Holds everything apply depends on. */
  snapshot (): unknown
  /** Replaces everything by an earlier snapshot. */
  restore (snapshot: unknown): void
}

export interface ReplicatedState<Command, Result> {
  apply (command: Command, context: ApplyContext): Result
  /** Holds everything apply depends on. */
  snapshot (): SnapshotPieces
  /**
   * A piece of a leader's snapshot, with what this state holds already in the
   * place of its equal: until it is restored, both are held.
   */
  reuse (piece: unknown): unknown
  /** Replaces everything by the pieces of an earlier snapshot, which belong to the state from then on. */
  restore (pieces: readonly unknown[]): void
}
