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

export interface ReplicatedState<Command, Result> {
  apply (command: Command, context: ApplyContext): Result
  /** A plain value that the codec can carry; holds everything apply depends on. */
  snapshot (): unknown
  /** Replaces everything by an earlier snapshot. */
  restore (snapshot: unknown): void
}
