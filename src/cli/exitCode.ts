/** Exit codes of the commands, for scripts. docs/OPERATORS.md lists them too. */
export enum ExitCode {
  Done = 0,
  /** Refused, or failed for another reason that the message names. */
  Refused = 1,
  /** The command line, a settings file or a resource file is invalid. */
  Usage = 2,
  /** Another change was made first: the expected revision is not the current one. */
  Conflict = 3,
  /** Not finished before the timeout; it may still finish later. */
  Timeout = 4,
  /** No control host answered. */
  Unreachable = 5,
  /** There is no such resource, host, request or sample. */
  NotFound = 6,
  /** The revision to watch from has been compacted: list the resources again. */
  Compacted = 7
}
