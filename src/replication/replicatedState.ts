/**
 * Interfaces of a replicated state machine. Applying a command must be
 * deterministic, because every host applies the log on its own.
 */
export interface ApplyContext {
  /** Index of the entry in the log. */
  index: number
  /** The leader's wall clock when it accepted the command, in milliseconds since the Unix epoch; never decreases along the log. */
  atMs: number
}

/**
 * The state at one log entry, as a sequence of plain values that the codec can
 * encode. It is iterated while later commands are applied, and again if writing
 * it has to be retried; every iteration yields the state as of the call to
 * `snapshot`. The size of a piece must not grow with the size of the state,
 * because one piece is held in memory at a time.
 */
export type SnapshotPieces = Iterable<unknown>

/** A part of a replicated state; contributes one small value to the snapshot. */
export interface StatePart<Command, Result> {
  apply (command: Command, context: ApplyContext): Result
  /** Contains everything that `apply` depends on. */
  snapshot (): unknown
  /** Replaces the whole part with an earlier snapshot. */
  restore (snapshot: unknown): void
}

export interface ReplicatedState<Command, Result> {
  apply (command: Command, context: ApplyContext): Result
  /** Contains everything that `apply` depends on. */
  snapshot (): SnapshotPieces
  /**
   * Returns a piece of a leader's snapshot in which parts equal to what this
   * state already holds are replaced with the existing objects. This saves
   * memory: both states are held until the snapshot is restored.
   */
  reuse (piece: unknown): unknown
  /** Replaces the whole state with the pieces of an earlier snapshot, and takes ownership of them. */
  restore (pieces: readonly unknown[]): void
}
