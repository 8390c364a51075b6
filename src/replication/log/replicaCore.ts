/**
 * The state of a replica that its parts share: role, term, leader and how far
 * the log is committed, with the steps that keep them consistent.
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
import { isVoter, type Member } from './members.js'
import type { PersistentState } from './persistentState.js'
import type { Addressed } from './raftMethods.js'
import { SnapshotFigures } from './snapshotFigures.js'
import type { LogTimings } from './timings.js'

export enum ReplicaRole {
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader'
}

/**
 * How much longer replicas wait for a leader when leaders change over and over
 * although their hosts are up: each new one has to begin all that the one
 * before ran, and is held up by it even longer. One loss costs what it did;
 * a second one within the window twice, from the third on four times.
 */
const MAX_ELECTION_TIMEOUT_FACTOR = 4
/** Longer than a leader needs to begin a step of every trainer, a few seconds. */
const ELECTIONS_WINDOW_MS = 15_000

export interface CoreOptions {
  clock: Clock
  random: RandomSource
  metrics: Metrics
  logger: Logger
  timings: LogTimings
  storage: ReplicaStorage
  state: PersistentState
  /** Instant before which this process answered nobody. */
  startedAtMs: number
}

export class ReplicaCore {
  readonly options: CoreOptions
  readonly state: PersistentState
  readonly snapshotStats: SnapshotFigures
  /** Notified when the commit index moves. */
  readonly committed = new Signal()
  /** Notified when the leader or the term changes. */
  readonly leaderChanged = new Signal()
  commitIndex: number
  private _role = ReplicaRole.Follower
  private _leaderReplicaId: string | undefined
  private _lastLeaderContactMs: number
  private _lastVoteGrantedMs = Number.NEGATIVE_INFINITY
  private _adoption: Promise<void> | undefined
  /** When leaders were elected after a silence, the oldest first. */
  private _electedAtMs: number[] = []
  private _onStepDown: (reason: string) => void = () => {}

  constructor (options: CoreOptions, commitIndex: number) {
    this.options = options
    this.state = options.state
    this.snapshotStats = new SnapshotFigures(options.clock)
    this.commitIndex = commitIndex
    // After a restart it cannot know whom it heard from; it votes for nobody
    // until any lease that its last answers gave has ended. They were given
    // before this process began.
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

  /** The member that leads, as far as this replica knows. */
  get leader (): Member | undefined {
    return this.members.find(member => member.replicaId === this._leaderReplicaId)
  }

  /** When a leader was last heard from, or a candidate was given its chance. */
  get quietSinceMs (): number {
    return Math.max(this._lastLeaderContactMs, this._lastVoteGrantedMs)
  }

  /** What election time-outs are multiplied by. */
  get electionTimeoutFactor (): number {
    const sinceMs = this.options.clock.nowMs() - ELECTIONS_WINDOW_MS
    const recentCount = this._electedAtMs.filter(atMs => atMs >= sinceMs).length
    const repeatedCount = Math.max(0, recentCount - 1)
    return Math.min(MAX_ELECTION_TIMEOUT_FACTOR, 2 ** repeatedCount)
  }

  /** Whether it may stand for election. */
  isVoter (): boolean {
    return this.clusterId !== null && isVoter(this.members, this.replicaId)
  }

  /** True while a vote for another could break the leader's lease. */
  isBoundToLeader (): boolean {
    if (this._role === ReplicaRole.Leader) return true
    return this.options.clock.nowMs() < this._lastLeaderContactMs + this.options.timings.electionMinMs
  }

  /**
   * Whether a request is for this replica; a replica without a cluster enters
   * the one that addresses it by its id.
   */
  async accepts (request: Addressed): Promise<boolean> {
    if (request.toReplicaId !== this.replicaId) return false
    if (this.clusterId === null) await this.adopt(request.clusterId)
    return this.clusterId === request.clusterId
  }

  /** Enters a cluster for good; the first one wins. */
  async adopt (clusterId: string): Promise<void> {
    this._adoption ??= this.options.storage.adoptCluster(clusterId)
    await this._adoption
  }

  /** A request of a term's leader has come: follow it. */
  follow (term: number, leaderReplicaId: string): void {
    invariant(term >= this.term, 'a leader of an earlier term is not followed')
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

  /** A later term ends whatever this replica was in the present one. */
  observeTerm (term: number): void {
    if (term <= this.term) return
    this.state.setHardState({ term, votedFor: null })
    this.stepDown(`term ${term} has begun`)
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
   * Notes that there is a new leader; before the contact with it is. One that a
   * leader handed over to begins at once and is not counted.
   */
  private _recordElection (): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this._lastLeaderContactMs < this.options.timings.electionMinMs) return
    this._electedAtMs = [...this._electedAtMs.filter(atMs => atMs >= nowMs - ELECTIONS_WINDOW_MS), nowMs]
  }

  /** A vote was given: the candidate gets its time to win. */
  recordVoteGranted (): void {
    this._lastVoteGrantedMs = this.options.clock.nowMs()
  }

  commitTo (index: number): void {
    if (index <= this.commitIndex) return
    invariant(index <= this.state.log.lastIndex, `commit index ${index} is behind the end of the log`)
    this.options.metrics.count(MetricName.LogCommitted, {}, index - this.commitIndex)
    this.commitIndex = index
    this.committed.notify()
  }

  /** Waits until everything that was changed so far is synced. */
  async settled (scope: Scope): Promise<void> {
    await this.state.writer.whenDurable(this.state.writer.latestTicket, scope)
  }
}
