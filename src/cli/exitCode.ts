/** How the commands end, for scripts. docs/OPERATORS.md lists the same. */
export enum ExitCode {
  Done = 0,
  /** Refused, or failed for another reason that the message names. */
  Refused = 1,
  /** The command line, a settings file or a resource file is wrong. */
  Usage = 2,
  /** Another change came first: the expected revision is not the present one. */
  Conflict = 3,
  /** Not finished in the time allowed; it may still be finished later. */
  Timeout = 4,
  /** No control host answered. */
  Unreachable = 5,
  /** There is no such resource, host, request or sample. */
  NotFound = 6,
  /** The revision to watch from has been compacted away: list again. */
  Compacted = 7
}
