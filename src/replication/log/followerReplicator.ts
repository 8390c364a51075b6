/**
 * The leader's two tasks for each follower. One task sends entries and snapshots,
 * one message at a time. The other sends heartbeats; a follower answers heartbeats
 * without waiting for its disk, so the answers show whether it still follows the leader.
 */
import { invariant } from '../../utils/errors.js'
import { sleepUntil } from '../../utils/clock.js'
import { MetricName } from '../../utils/metricNames.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { FollowerProgress, SentAt } from './followerProgress.js'
import type { PeerLinks } from './peerLinks.js'
import { appendMethod, heartbeatMethod, snapshotMethod, type AppendReply, type SnapshotReply } from './raftMethods.js'
import type { ReplicaCore } from './replicaCore.js'

/** Size limit for the entries of one message; a single larger entry is still sent. */
const MAX_APPEND_BYTES = 1024 * 1024
/** Chunks are read from disk and sent one by one; the leader holds one chunk in memory per follower that needs a snapshot. */
const SNAPSHOT_CHUNK_BYTES = 512 * 1024

/** Kinds of calls to a follower, as named in metrics. */
enum LogCall {
  Append = 'append',
  Heartbeat = 'heartbeat',
  Snapshot = 'snapshot'
}

/** Callbacks from the replication tasks to the leadership. */
export interface ReplicationListener {
  /** Numbers requests, so that an answer also confirms everything requested before it. */
  nextRound (): number
  /** Highest round whose confirmation is awaited. */
  readonly requestedRound: number
  /** Commit index that followers are to be notified of. */
  readonly noticeCommitIndex: number
  onAcknowledged (): void
  onMatched (): void
}

export class FollowerReplicator {
  private readonly _core: ReplicaCore
  private readonly _links: PeerLinks
  private readonly _follower: FollowerProgress
  private readonly _listener: ReplicationListener
  private readonly _term: number

  constructor (core: ReplicaCore, links: PeerLinks, follower: FollowerProgress, listener: ReplicationListener) {
    this._core = core
    this._links = links
    this._follower = follower
    this._listener = listener
    this._term = core.term
  }

  /** Sends entries as they are appended, until the scope closes. */
  async sendEntries (scope: Scope): Promise<void> {
    const { clock, timings } = this._core.options
    const { log } = this._core.state
    for (;;) {
      while (this._follower.nextIndex > log.lastIndex) await this._follower.wanted.wait(scope)
      const nextAtMs = clock.nowMs() + timings.appendIntervalMs
      const isHeld = this._follower.nextIndex > log.baseIndex
      const succeeded = isHeld ? await this._append(scope) : await this._sendSnapshot(scope)
      if (!succeeded) await this._pause(scope)
      else if (clock.nowMs() < nextAtMs) await sleepUntil(clock, scope, nextAtMs)
    }
  }

  /** Sends a heartbeat in every interval, and at once when a confirmation is requested. */
  async sendHeartbeats (scope: Scope): Promise<void> {
    const { clock, timings } = this._core.options
    for (;;) {
      const nextAtMs = clock.nowMs() + timings.heartbeatMs
      await this._heartbeat(scope)
      while (this._follower.lastHeartbeatRound >= this._listener.requestedRound && !this._isNoticeDue()) {
        if (!(await this._follower.wanted.wait(scope, { clock, deadlineMs: nextAtMs }))) break
      }
    }
  }

  /** Whether the follower lacks a commit that no message with entries has told it of. */
  private _isNoticeDue (): boolean {
    const { matchIndex, sentCommitIndex } = this._follower
    return sentCommitIndex < Math.min(this._listener.noticeCommitIndex, matchIndex)
  }

  private async _append (scope: Scope): Promise<boolean> {
    scope.throwIfClosed()
    const { clock, timings } = this._core.options
    const { log } = this._core.state
    const prevIndex = this._follower.nextIndex - 1
    const prevTerm = log.termAt(prevIndex)
    invariant(prevTerm !== undefined, `entry ${prevIndex} is not in the log: it was compacted away`)
    const entries = log.slice(this._follower.nextIndex, MAX_APPEND_BYTES)
    const request = { ...this._address(), prevIndex, prevTerm, commitIndex: this._core.commitIndex, entries }
    this._follower.sentCommitIndex = Math.max(this._follower.sentCommitIndex, Math.min(request.commitIndex, prevIndex + entries.length))
    const sentAt = this._sentAt()
    const round = this._listener.nextRound()
    const progress = new Progress(clock, scope, sentAt.sentAtMs + timings.callTimeoutMs)
    const outcome = await this._links.to(this._follower.member).call(appendMethod, request, progress)
    if (outcome.kind !== 'replied') return this._recordLost(LogCall.Append)
    return this._onAppendReply(outcome.body, round, sentAt)
  }

  private _onAppendReply (reply: AppendReply, round: number, sentAt: SentAt): boolean {
    switch (reply.kind) {
      case 'matched':
        this._follower.recordMatch(reply.matchIndex)
        this._acknowledge(round, sentAt)
        this._listener.onMatched()
        return true
      case 'mismatch':
        this._follower.nextIndex = Math.max(this._follower.matchIndex + 1, Math.min(reply.retryFromIndex, this._follower.nextIndex - 1))
        this._acknowledge(round, sentAt)
        return true
      case 'staleTerm':
        this._core.observeTerm(reply.term)
        return false
      case 'wrongReplica':
        return false
    }
  }

  private async _heartbeat (scope: Scope): Promise<void> {
    scope.throwIfClosed()
    const { clock, timings } = this._core.options
    const commitIndex = Math.min(this._core.commitIndex, this._follower.matchIndex)
    const sentAt = this._sentAt()
    const round = this._listener.nextRound()
    this._follower.lastHeartbeatRound = round
    this._follower.sentCommitIndex = Math.max(this._follower.sentCommitIndex, commitIndex)
    const progress = new Progress(clock, scope, sentAt.sentAtMs + 2 * timings.heartbeatMs)
    const outcome = await this._links.to(this._follower.member).call(heartbeatMethod, { ...this._address(), commitIndex }, progress)
    if (outcome.kind !== 'replied') {
      this._recordLost(LogCall.Heartbeat)
      return
    }
    if (outcome.body.kind === 'following') this._acknowledge(round, sentAt)
    if (outcome.body.kind === 'staleTerm') this._core.observeTerm(outcome.body.term)
  }

  private async _sendSnapshot (scope: Scope): Promise<boolean> {
    const { storage } = this._core.options
    const { snapshot } = storage
    if (!snapshot) return false
    const { lastIndex, lastTerm, lengthBytes: totalBytes } = snapshot
    let offsetBytes = 0
    for (;;) {
      const bytes = await scope.race(storage.readSnapshotChunk(snapshot, offsetBytes, SNAPSHOT_CHUNK_BYTES))
      // A later snapshot has replaced this snapshot on disk.
      if (!bytes) return false
      const chunk = { lastIndex, lastTerm, offsetBytes, totalBytes, bytes }
      const reply = await this._sendSnapshotChunk(chunk, scope)
      if (reply?.kind === 'installed') {
        this._follower.recordMatch(reply.matchIndex)
        this._listener.onMatched()
        // The in-memory log may already be compacted to a later snapshot that is still being written. Then entries before the log's base are missing and the later snapshot is needed.
        return this._follower.nextIndex > this._core.state.log.baseIndex
      }
      if (reply?.kind !== 'expecting') return false
      offsetBytes = reply.offsetBytes
    }
  }

  private async _sendSnapshotChunk (chunk: { lastIndex: number, lastTerm: number, offsetBytes: number, totalBytes: number, bytes: Uint8Array }, scope: Scope): Promise<SnapshotReply | undefined> {
    scope.throwIfClosed()
    const { clock, timings } = this._core.options
    const sentAt = this._sentAt()
    const round = this._listener.nextRound()
    const progress = new Progress(clock, scope, sentAt.sentAtMs + timings.callTimeoutMs)
    const outcome = await this._links.to(this._follower.member).call(snapshotMethod, { ...this._address(), ...chunk }, progress)
    if (outcome.kind !== 'replied') {
      this._recordLost(LogCall.Snapshot)
      return undefined
    }
    if (outcome.body.kind === 'staleTerm') this._core.observeTerm(outcome.body.term)
    else if (outcome.body.kind !== 'wrongReplica') this._acknowledge(round, sentAt)
    return outcome.body
  }

  /** Records a call without a timely reply; returns false, as the call did not succeed. */
  private _recordLost (call: LogCall): false {
    this._core.options.metrics.count(MetricName.LogCallLost, { call })
    this._core.replicationStats.recordLostCall()
    this._follower.sentCommitIndex = 0
    return false
  }

  private _address () {
    return {
      clusterId: this._core.clusterId ?? '',
      fromReplicaId: this._core.replicaId,
      toReplicaId: this._follower.member.replicaId,
      term: this._term
    }
  }

  private _sentAt (): SentAt {
    const { clock } = this._core.options
    return { sentAtMs: clock.nowMs(), leaseMs: clock.leaseNowMs() }
  }

  private _acknowledge (round: number, sentAt: SentAt): void {
    this._follower.acknowledge(round, sentAt)
    this._listener.onAcknowledged()
  }

  private async _pause (scope: Scope): Promise<void> {
    const { clock, timings } = this._core.options
    await sleepUntil(clock, scope, clock.nowMs() + timings.retryPauseMs)
  }
}
