/**
 * A leader's term: appends proposals, commits what a quorum has synced, and
 * confirms for reads that this replica still leads. The term ends when a later term
 * starts or when a quorum has not answered for an election timeout.
 */
import { sleepUntil } from '../../utils/clock.js'
import { ScopeClosedError } from '../../utils/errors.js'
import type { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import { Signal } from '../../utils/signal.js'
import type { Supervisor } from '../../utils/supervisor.js'
import { FollowerProgress } from './followerProgress.js'
import { EntryKind } from './logEntry.js'
import { encodeMembership } from './membershipHistory.js'
import { isVoter, quorumValue, type Member } from './members.js'
import type { PeerLinks } from './peerLinks.js'
import { FollowerReplicator, type ReplicationListener } from './followerReplicator.js'
import type { ReplicaCore } from './replicaCore.js'

interface FollowerTasks {
  progress: FollowerProgress
  supervisor: Supervisor
}

const NO_PAYLOAD = new Uint8Array()

export class Leadership implements ReplicationListener {
  readonly term: number
  readonly scope: Scope
  /** Notified whenever a follower answers. */
  readonly acknowledged = new Signal()
  requestedRound = 0
  noticeCommitIndex = 0
  /** The leadership is being handed over: no further proposals are accepted, so that a follower can catch up completely. */
  isHandingOver = false
  private readonly _core: ReplicaCore
  private readonly _links: PeerLinks
  private readonly _supervisor: Supervisor
  private readonly _followers = new Map<string, FollowerTasks>()
  private readonly _startedAtMs: number
  private _round = 0
  private _isCommitNoticeScheduled = false
  private _firstIndex = 0
  /** Ticket of this term's first entry; until it is durable, the writer's progress concerns entries of earlier leaders. */
  private _firstTicket = 0

  constructor (core: ReplicaCore, links: PeerLinks, supervisor: Supervisor) {
    this._core = core
    this._links = links
    this._supervisor = supervisor
    this.scope = supervisor.scope
    this.term = core.term
    this._startedAtMs = core.options.clock.nowMs()
  }

  /** Runs until the leadership ends. */
  async run (): Promise<void> {
    this._firstTicket = this._append(EntryKind.Empty, NO_PAYLOAD)
    this._firstIndex = this._core.state.log.lastIndex
    this._updateFollowers()
    this._supervisor.spawn('own progress', scope => this._watchWriter(scope))
    try {
      await this._checkQuorum()
    } catch (error) {
      if (!(error instanceof ScopeClosedError)) throw error
    }
  }

  /** Appends a command to the log; returns its index. */
  propose (payload: Uint8Array): number {
    this._append(EntryKind.Command, payload)
    return this._core.state.log.lastIndex
  }

  /** True when both the latest change of members and this term's first entry are committed, and no handover is in progress. */
  mayChangeMembers (): boolean {
    return !this.isHandingOver && this._core.commitIndex >= this._firstIndex && this._core.commitIndex >= this._core.state.members.latestIndex
  }

  /** Appends new members to the log; they take effect at once. Returns the index of the entry. */
  changeMembers (members: Member[]): number {
    this._append(EntryKind.Membership, encodeMembership({ clusterId: this._core.clusterId ?? '', members }))
    this._updateFollowers()
    return this._core.state.log.lastIndex
  }

  progressOf (replicaId: string): FollowerProgress | undefined {
    return this._followers.get(replicaId)?.progress
  }

  /** Whether a replica has answered within the last election timeout. */
  isLive (replicaId: string): boolean {
    if (replicaId === this._core.replicaId) return true
    const { clock, timings } = this._core.options
    const progress = this.progressOf(replicaId)
    return progress !== undefined && progress.ackedRound > 0 && progress.ackedSentAtMs >= clock.nowMs() - timings.electionMaxMs
  }

  /** When the latest request that a replica answered was sent; the start of the leadership if it has answered none. */
  lastSeenAtMs (replicaId: string): number {
    if (replicaId === this._core.replicaId) return Number.POSITIVE_INFINITY
    return this.progressOf(replicaId)?.ackedSentAtMs ?? this._startedAtMs
  }

  /** Time until which no other leader can have been elected, on this host's clock that includes suspensions. */
  get leaseEndsAtMs (): number {
    return this._quorumValue(progress => progress.ackedLeaseMs) + this._core.options.timings.leaderLeaseMs
  }

  holdsLease (): boolean {
    return !this.scope.isClosed && this._core.options.clock.leaseNowMs() < this.leaseEndsAtMs
  }

  /**
   * Returns the index that must be applied for a read to be linearizable, once
   * a quorum has confirmed that this host led after the call started; undefined
   * if the confirmation does not arrive in time.
   */
  async readIndex (progress: Progress): Promise<number | undefined> {
    while (this._core.commitIndex < this._firstIndex) {
      if (!(await this._core.committed.wait(this.scope, progress))) return undefined
    }
    const index = this._core.commitIndex
    const round = this._round
    this.requestedRound = round + 1
    for (const { progress: follower } of this._followers.values()) follower.wanted.notify()
    while (this._quorumValue(follower => follower.ackedRound) <= round) {
      if (!(await this.acknowledged.wait(this.scope, progress))) return undefined
    }
    return this.scope.isClosed ? undefined : index
  }

  /** Index that a read under the leader's lease has to wait for; undefined without a valid lease. */
  leaseReadIndex (): number | undefined {
    const isCurrent = this._core.commitIndex >= this._firstIndex
    return isCurrent && this.holdsLease() ? this._core.commitIndex : undefined
  }

  nextRound (): number {
    return ++this._round
  }

  onAcknowledged (): void {
    this.acknowledged.notify()
  }

  onMatched (): void {
    this._advanceCommit()
  }

  private _append (kind: EntryKind, payload: Uint8Array): number {
    const { log } = this._core.state
    const atMs = Math.max(log.lastAtMs, this._core.options.clock.wallMs())
    const ticket = this._core.state.append([{ index: log.lastIndex + 1, term: this.term, kind, atMs, payload }])
    for (const { progress } of this._followers.values()) progress.wanted.notify()
    return ticket
  }

  /** Starts and stops replication tasks to match the current members. */
  private _updateFollowers (): void {
    const others = this._core.members.filter(member => member.replicaId !== this._core.replicaId)
    for (const [replicaId, tasks] of this._followers) {
      if (others.some(member => member.replicaId === replicaId)) continue
      tasks.supervisor.scope.close('no longer a member')
      this._followers.delete(replicaId)
    }
    for (const member of others) {
      if (!this._followers.has(member.replicaId)) this._startFollower(member)
    }
  }

  private _startFollower (member: Member): void {
    const progress = new FollowerProgress(member, this._core.state.log.lastIndex, this._startedAtMs, this._core.options.clock.nowMs())
    const supervisor = this._supervisor.child(`replication to ${member.hostId}`)
    const replication = new FollowerReplicator(this._core, this._links, progress, this)
    this._followers.set(member.replicaId, { progress, supervisor })
    supervisor.spawn('entries', scope => replication.sendEntries(scope))
    supervisor.spawn('heartbeats', scope => replication.sendHeartbeats(scope))
  }

  private async _watchWriter (scope: Scope): Promise<void> {
    for (;;) {
      await this._core.state.writer.written.wait(scope)
      this._advanceCommit()
    }
  }

  private _advanceCommit (): void {
    if (this.scope.isClosed) return
    const { log, writer } = this._core.state
    const ownIndex = writer.isDurable(this._firstTicket) ? writer.lastEntryIndex : 0
    const index = quorumValue(this._core.members, replicaId => (
      replicaId === this._core.replicaId ? ownIndex : this.progressOf(replicaId)?.matchIndex ?? 0
    ))
    // Only entries of the current term are committed by counting replicas; earlier entries are committed along with them.
    if (index <= this._core.commitIndex || log.termAt(index) !== this.term) return
    this._core.commitTo(index)
    this._scheduleCommitNotice()
    this._stepDownIfRemoved()
  }

  /** Schedules a notice of the commit to followers that no further entries have told of it until then, because followers answer reads. */
  private _scheduleCommitNotice (): void {
    if (this._isCommitNoticeScheduled) return
    this._isCommitNoticeScheduled = true
    const { clock, timings } = this._core.options
    clock.callAt(clock.nowMs() + timings.commitNoticeMs, () => {
      this._isCommitNoticeScheduled = false
      if (this.scope.isClosed) return
      this.noticeCommitIndex = this._core.commitIndex
      for (const { progress } of this._followers.values()) progress.wanted.notify()
    })
  }

  private _stepDownIfRemoved (): void {
    if (this.mayChangeMembers() && !isVoter(this._core.members, this._core.replicaId)) this._core.stepDown('removed from the members')
  }

  private async _checkQuorum (): Promise<void> {
    const { clock, timings } = this._core.options
    for (;;) {
      await sleepUntil(clock, this.scope, clock.nowMs() + timings.heartbeatMs)
      const confirmedAtMs = this._quorumValue(progress => progress.ackedSentAtMs)
      if (clock.nowMs() - confirmedAtMs <= timings.electionMaxMs * this._core.electionTimeoutFactor) continue
      return this._core.stepDown('a quorum did not answer within the election timeout')
    }
  }

  /** The highest value that a quorum has reached; the leader itself counts as having reached any value. */
  private _quorumValue (valueOf: (progress: FollowerProgress) => number): number {
    return quorumValue(this._core.members, replicaId => {
      if (replicaId === this._core.replicaId) return Number.POSITIVE_INFINITY
      const progress = this.progressOf(replicaId)
      return progress ? valueOf(progress) : Number.NEGATIVE_INFINITY
    })
  }
}
