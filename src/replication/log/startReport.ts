/**
 * Logs the progress of a replica's startup: what it loaded, how long that took,
 * and when it had applied its own log.
 */
import type { Scope } from '../../utils/scope.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { LoadedReplica } from '../storage/storageLoader.js'
import { MemberRole, votersOf } from './members.js'
import type { Replica } from './replica.js'

/** Polling interval: a leader may become known without an entry being applied, which would notify the wait. The log line is late by at most this. */
const REVIEW_INTERVAL_MS = 250

export interface LoadDurations {
  /** Time taken to open and read the data folder; undefined if it was not measured. */
  readMs: number | undefined
  /** Time taken to restore the state from the snapshot. */
  restoreMs: number
}

export class StartReport {
  private readonly _replica: Replica
  private readonly _loaded: { snapshotBytesCount: number, logBytesCount: number, entriesCount: number }
  private readonly _durations: LoadDurations
  private readonly _firstAppliedIndex: number
  private readonly _lastOwnIndex: number

  constructor (replica: Replica, { snapshotLengthBytes, logBytes, tornBytes }: LoadedReplica, durations: LoadDurations) {
    const { log } = replica.core.state
    this._replica = replica
    this._loaded = { snapshotBytesCount: snapshotLengthBytes, logBytesCount: logBytes + tornBytes, entriesCount: log.lastIndex - log.baseIndex }
    this._durations = durations
    this._firstAppliedIndex = replica.appliedIndex
    this._lastOwnIndex = log.lastIndex
  }

  /** Logs that the replica has loaded its data and answers other replicas from now on. */
  logLoaded (): void {
    const { core, appliedIndex } = this._replica
    core.options.logger.event(ReplicationEvent.Loaded, {
      ...this._loaded,
      ...this._durations,
      sinceStartMs: this._sinceStartMs(),
      appliedIndex,
      voters: votersOf(core.members).map(({ hostId }) => hostId),
      learners: core.members.filter(({ role }) => role === MemberRole.Learner).map(({ hostId }) => hostId)
    })
  }

  /** Waits until the replica knows a leader and has applied its own log, then logs it. */
  async logApplied (scope: Scope): Promise<void> {
    const { core } = this._replica
    const { clock } = core.options
    while (!core.leader || !this._hasAppliedOwnLog()) await this._replica.applied.wait(scope, { clock, deadlineMs: clock.nowMs() + REVIEW_INTERVAL_MS })
    const { appliedIndex } = this._replica
    const entriesAppliedCount = appliedIndex - this._firstAppliedIndex
    core.options.logger.event(ReplicationEvent.OwnLogApplied, {
      appliedIndex, entriesAppliedCount, leaderHostId: core.leader?.hostId, sinceStartMs: this._sinceStartMs()
    })
  }

  /** Compares with the current end of the log, because a leader may truncate uncommitted entries. */
  private _hasAppliedOwnLog (): boolean {
    return this._replica.appliedIndex >= Math.min(this._lastOwnIndex, this._replica.core.state.log.lastIndex)
  }

  private _sinceStartMs (): number {
    const { clock, startedAtMs } = this._replica.core.options
    return clock.nowMs() - startedAtMs
  }
}
