/**
 * Executes runs of items and reward calls. Implemented by `LocalExecutor` on the
 * host itself and by `RunnerPool` on other store hosts.
 */
import type { RewardCall } from '../protocol/batches.js'
import type { ItemRunRequest, RewardScore, RunOutcome, RunProgress } from '../protocol/runnerTasks.js'
import type { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'

/** @param ageMs time since the last event was received; a run passes on the rest of its events when it ends, also one that has stalled */
export type ProgressListener = (progress: RunProgress, ageMs: number) => void

export interface StartedRun {
  /** The store host that executes the run; absent for this host. */
  readonly runnerId?: string
  /**
   * Resolves once the run has ended and all its events were passed on.
   * @throws ScopeClosedError when the scope of the run closes first.
   */
  readonly outcome: Promise<RunOutcome>
  /** Ends the run with the outcome `moved`. */
  stop (): void
  /** The same at once, without waiting for what the host of the run has received. */
  giveUp (): void
}

export interface ItemExecutor {
  /** @param abandonAtMs time from which the output is of no use */
  run (request: ItemRunRequest, abandonAtMs: number, scope: Scope, onProgress: ProgressListener): StartedRun
  /**
   * @param abandonAtMs time from which the item may be abandoned; hosts of a former build stop to repeat a quarantined call then
   * @param holdsLease whether no other host may make the call; always without it
   */
  score (reward: RewardCall, abandonAtMs: number, scope: Scope, holdsLease?: () => boolean): Promise<RewardScore>
  /** Passes on all events that the runs have received so far. */
  flush (progress: Progress): Promise<void>
}
