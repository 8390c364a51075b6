/**
 * State shared by the components of a replica: role, term, leader and commit
 * index, with the transitions that keep them consistent.
 */
import type { Clock } from '../../utils/clock.js'
import { invariant } from '../../utils/errors.js'
import type { Logger } from '../../utils/logger.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import { Signal } from '../../utils/signal.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { ReplicaStorage } from '../storage/replicaStorage.js'
import { retryWhileDiskFull } from './diskFullRetry.js'
import { isVoter, type Member } from './members.js'
import type { PersistentState } from './persistentState.js'
import type { Addressed } from './raftMethods.js'
import { ReplicationStats } from './replicationStats.js'
import { SnapshotStats } from './snapshotStats.js'
import type { LogTimings } from './timings.js'

export enum ReplicaRole {
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader'
}

/**
 * Upper limit for the backoff of election timeouts when leaders change
 * repeatedly although their hosts are up: each new leader has to restart
 * everything that the previous leader ran, and is overloaded by that restart even longer.
 * One election within the window leaves the timeout unchanged, after the second
 * the timeout is doubled, and from the third on it is four times as long.
 */
const MAX_ELECTION_TIMEOUT_FACTOR = 4
/** Longer than the few seconds that a leader needs to start a step of every trainer. */
const ELECTIONS_WINDOW_MS = 15_000

export interface CoreOptions {
  clock: Clock
  random: RandomSource
  metrics: Metrics
  logger: Logger
  timings: LogTimings
  storage: ReplicaStorage
  state: PersistentState
  /** Time before which this process answered no requests. */
  startedAtMs: number
  /** Of the replica. */
  scope: Scope
}

export class ReplicaCore {
  readonly options: CoreOptions
  readonly state: PersistentState
  readonly snapshotStats: SnapshotStats
  readonly replicationStats = new ReplicationStats()
  /** Notified when the commit index advances. */
  readonly committed = new Signal()
  /** Notified when the leader or the term changes. */
  readonly leaderChanged = new Signal()
  commitIndex: number
  private _role = ReplicaRole.Follower
  private _leaderReplicaId: string | undefined
  private _lastLeaderContactMs: number
  private _lastVoteGrantedMs = Number.NEGATIVE_INFINITY
  private _adoption: Promise<void> | undefined
  /** Times of recent elections that followed an election timeout, oldest first. */
  private _electedAtMs: number[] = []
  private _onStepDown: (reason: string) => void = () => {}

  constructor (options: CoreOptions, commitIndex: number) {
    this.options = options
    this.state = options.state
    this.snapshotStats = new SnapshotStats(options.clock)
    this.commitIndex = commitIndex
    // After a restart, the replica does not know which leader it last answered.
    // It votes for nobody until any lease that its last answers supported has
    // expired. Those answers were sent before this process started.
    this._lastLeaderContactMs = options.startedAtMs
  }

  get replicaId (): string {
    return this.options.storage.identity.replicaId
  }

  get clusterId (): string | null {
    return this.options.storage.identity.clusterId
  }

  get role (): ReplicaRole {
    return this._role
  }

  get term (): number {
    return this.state.term
  }

  get members (): Member[] {
    return this.state.members.latest
  }

  /** The current leader, as far as this replica knows. */
  get leader (): Member | undefined {
    return this.members.find(member => member.replicaId === this._leaderReplicaId)
  }

  /** Start of the election timer: the later of the leader's last call and this replica's last granted vote. */
  get electionTimerStartedAtMs (): number {
    return Math.max(this._lastLeaderContactMs, this._lastVoteGrantedMs)
  }

  /** Factor by which election timeouts are multiplied. */
  get electionTimeoutFactor (): number {
    const sinceMs = this.options.clock.nowMs() - ELECTIONS_WINDOW_MS
    const recentCount = this._electedAtMs.filter(atMs => atMs >= sinceMs).length
    const repeatedCount = Math.max(0, recentCount - 1)
    return Math.min(MAX_ELECTION_TIMEOUT_FACTOR, 2 ** repeatedCount)
  }

  /** Whether this replica may start an election. */
  isVoter (): boolean {
    return this.clusterId !== null && isVoter(this.members, this.replicaId)
  }

  /** True while a vote for another candidate could violate the leader's lease. */
  isBoundToLeader (): boolean {
    if (this._role === ReplicaRole.Leader) return true
    return this.options.clock.nowMs() < this._lastLeaderContactMs + this.options.timings.electionMinMs
  }

  /**
   * Whether a request is addressed to this replica. A replica without a cluster
   * joins the cluster of the first request that names its replica id.
   */
  async accepts (request: Addressed): Promise<boolean> {
    if (request.toReplicaId !== this.replicaId) return false
    if (this.clusterId === null) await this.adoptCluster(request.clusterId)
    return this.clusterId === request.clusterId
  }

  /** Binds the replica permanently to a cluster; later calls have no effect. */
  async adoptCluster (clusterId: string): Promise<void> {
    const { clock, logger, scope, storage } = this.options
    this._adoption ??= retryWhileDiskFull(clock, logger, scope, () => storage.adoptCluster(clusterId))
    await this._adoption
  }

  /** Follows the leader of a term, from which a request was received. */
  follow (term: number, leaderReplicaId: string): void {
    invariant(term >= this.term, `cannot follow the leader of term ${term}: the current term is ${this.term}`)
    this.observeTerm(term)
    invariant(this._role !== ReplicaRole.Leader, `two leaders in term ${term}`)
    this._role = ReplicaRole.Follower
    if (this._leaderReplicaId !== leaderReplicaId) this._recordElection()
    this._lastLeaderContactMs = this.options.clock.nowMs()
    if (this._leaderReplicaId === leaderReplicaId) return
    this._leaderReplicaId = leaderReplicaId
    this.options.metrics.count(MetricName.LeaderChanged)
    this.options.logger.event(ReplicationEvent.LeaderFollowed, { term, leaderReplicaId })
    this.leaderChanged.notify()
  }

  /** Steps down to follower if a term is later than the current one. */
  observeTerm (term: number): void {
    if (term <= this.term) return
    this.state.setHardState({ term, votedFor: null })
    this.stepDown(`term ${term} has started`)
  }

  stepDown (reason: string): void {
    const wasLeader = this._role === ReplicaRole.Leader
    this._role = ReplicaRole.Follower
    this._leaderReplicaId = undefined
    if (!wasLeader) return
    this.options.logger.event(ReplicationEvent.LeadershipEnded, { term: this.term, reason })
    this._onStepDown(reason)
    this.leaderChanged.notify()
  }

  becomeCandidate (): void {
    this._role = ReplicaRole.Candidate
    this._leaderReplicaId = undefined
  }

  /** @param onStepDown called once when the leadership ends */
  becomeLeader (onStepDown: (reason: string) => void): void {
    this._recordElection()
    this._role = ReplicaRole.Leader
    this._leaderReplicaId = this.replicaId
    this._onStepDown = onStepDown
    this.options.metrics.count(MetricName.LeaderChanged)
    this.options.logger.event(ReplicationEvent.LeadershipStarted, { term: this.term })
    this.leaderChanged.notify()
  }

  /**
   * Records the election of a new leader; must be called before the contact
   * with that leader is recorded. A leader that took over by a handover starts
   * at once and is not counted.
   */
  private _recordElection (): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this._lastLeaderContactMs < this.options.timings.electionMinMs) return
    this._electedAtMs = [...this._electedAtMs.filter(atMs => atMs >= nowMs - ELECTIONS_WINDOW_MS), nowMs]
  }

  /** Restarts the election timer, so that the candidate has time to win. */
  recordVoteGranted (): void {
    this._lastVoteGrantedMs = this.options.clock.nowMs()
  }

  commitTo (index: number): void {
    if (index <= this.commitIndex) return
    invariant(index <= this.state.log.lastIndex, `commit index ${index} is beyond the end of the log at ${this.state.log.lastIndex}`)
    this.options.metrics.count(MetricName.LogCommitted, {}, index - this.commitIndex)
    this.commitIndex = index
    this.committed.notify()
  }

  /** Waits until all changes made so far are synced to disk. */
  async whenDurable (scope: Scope): Promise<void> {
    await this.state.writer.whenDurable(this.state.writer.latestTicket, scope)
  }
}
