/**
 * One replica of the log: wires its components together, serves the calls of
 * the other replicas, and offers proposals and reads to the rest of the program.
 */
import { Encoder } from 'cbor-x'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import { ScopeClosedError } from '../../utils/errors.js'
import type { Logger } from '../../utils/logger.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import { Signal } from '../../utils/signal.js'
import type { Supervisor } from '../../utils/supervisor.js'
import type { Transport } from '../../transport/connection.js'
import type { RpcHandlers } from '../../transport/rpcPeer.js'
import type { ReplicatedState } from '../replicatedState.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { OpenedReplica } from '../storage/replicaStorage.js'
import { DurableWriter } from './durableWriter.js'
import { Follower } from './follower.js'
import { Handover } from './handover.js'
import { Leadership } from './leadership.js'
import { JoinRefusals } from './joinRefusals.js'
import { LogApplier, type ApplyObserver, type SnapshotPolicy } from './logApplier.js'
import { logMemberChanges } from './memberReport.js'
import type { Member } from './members.js'
import { MembershipChanges, type MembershipOutcome, type MembershipPolicy } from './membershipChanges.js'
import { PeerLinks } from './peerLinks.js'
import { PersistentState } from './persistentState.js'
import { Proposals, type ProposalOutcome } from './proposals.js'
import { appendMethod, campaignMethod, heartbeatMethod, snapshotMethod, voteMethod, type Addressed, type CampaignReply } from './raftMethods.js'
import { ReplicaCore } from './replicaCore.js'
import { StartReport } from './startReport.js'
import type { LogTimings } from './timings.js'
import { CampaignOutcome, Voting } from './voting.js'

export interface ReplicaOptions extends MembershipPolicy {
  clock: Clock
  random: RandomSource
  metrics: Metrics
  logger: Logger
  timings: LogTimings
  transport: Transport
  supervisor: Supervisor
  onFatal: (error: unknown) => void
  opened: OpenedReplica
  state: ReplicatedState<unknown, unknown>
  snapshotPolicy: SnapshotPolicy
  observer?: ApplyObserver
  /** Time before which this process answered no requests; defaults to the creation of the replica. */
  startedAtMs?: number
  /** Time taken to open and read the data folder. */
  readMs?: number
}

export type ReadOutcome = { kind: 'confirmed' } | { kind: 'notLeader' } | { kind: 'unavailable', reason: string }

/** How a read is proven to be linearizable. */
export enum ReadMode {
  /** A quorum confirms the leader after the read started. */
  Quorum = 'quorum',
  /** The leader's lease suffices while it is valid; relies on bounded clock rates. */
  Lease = 'lease'
}

/** Proposals that may wait for their commit at the same time. */
const MAX_PROPOSALS_COUNT = 10_000
/** Timeout of one attempt to be confirmed as leader, and the pause before the next one. */
const CURRENT_TIMEOUT_MS = 1_000
const CURRENT_RETRY_MS = 20

export class Replica {
  readonly core: ReplicaCore
  readonly links: PeerLinks
  /** Without `opened`, whose contents have been handed to the components and must not be kept alive. */
  private readonly _options: Omit<ReplicaOptions, 'opened'>
  private readonly _scope: Scope
  private readonly _applier: LogApplier
  private readonly _proposals = new Proposals()
  private _proposalsWithoutRoomCount = 0
  private readonly _follower: Follower
  private readonly _voting: Voting
  private readonly _joinRefusals: JoinRefusals
  private readonly _startReport: StartReport
  private readonly _encoder = new Encoder({ useRecords: false })
  private _leadership: Leadership | undefined
  private _membershipChanges: MembershipChanges | undefined
  /** Notified when a leader hands its leadership over to this replica. */
  private readonly _campaignRequested = new Signal()
  /** Term of the leader that handed over. */
  private _handedOverTerm: number | undefined

  constructor (options: ReplicaOptions) {
    const { opened, ...retained } = options
    const { clock, random, metrics, logger, timings, supervisor } = retained
    this._options = retained
    this._scope = supervisor.scope
    const writer = new DurableWriter(opened.storage, clock, metrics, logger)
    const state = new PersistentState(opened.loaded, writer)
    const snapshot = opened.loaded.snapshot
    const restoredFromMs = clock.nowMs()
    if (snapshot) options.state.restore(snapshot.pieces)
    const restoreMs = clock.nowMs() - restoredFromMs
    const startedAtMs = options.startedAtMs ?? clock.nowMs()
    this.core = new ReplicaCore({ clock, random, metrics, logger, timings, storage: opened.storage, state, startedAtMs, scope: this._scope }, snapshot?.lastIndex ?? 0)
    this.links = new PeerLinks(options.transport, this._scope, options.onFatal, (address, reason) => this._recordClosedLink(address, reason))
    this._applier = new LogApplier(this.core, options.state, this._proposals, options.snapshotPolicy, options.observer)
    this._follower = new Follower(this.core, this._applier, this._scope)
    this._voting = new Voting(this.core, this.links, this._scope)
    this._joinRefusals = new JoinRefusals(clock, logger)
    this._startReport = new StartReport(this, opened.loaded, { readMs: options.readMs, restoreMs })
    if (snapshot) this.core.snapshotStats.recordLoaded(opened.loaded.snapshotLengthBytes, (options.readMs ?? 0) + restoreMs)
    logMemberChanges(this.core)
  }

  get appliedIndex (): number {
    return this._applier.appliedIndex
  }

  /** Notified when the replicated state may have changed. */
  get applied (): Signal {
    return this._applier.applied
  }

  /** The current leadership of this replica, if it leads. */
  get leadership (): Leadership | undefined {
    return this._leadership?.scope.isClosed === false ? this._leadership : undefined
  }

  /** Registers the methods that other replicas call; call this before the listener opens. */
  serve (handlers: RpcHandlers): void {
    handlers.on(voteMethod, request => this._voting.onVote(request))
    handlers.on(appendMethod, request => this._follower.onAppend(request))
    handlers.on(heartbeatMethod, request => this._follower.onHeartbeat(request))
    handlers.on(snapshotMethod, request => this._follower.onSnapshot(request))
    handlers.on(campaignMethod, request => this._onCampaign(request))
  }

  start (): void {
    this._startReport.logLoaded()
    this._options.supervisor.spawn('log writer', scope => this.core.state.writer.run(scope))
    this._options.supervisor.spawn('applier', scope => this._applier.run(scope))
    this._options.supervisor.spawn('start report', scope => this._startReport.logApplied(scope))
    this._options.supervisor.spawn('snapshots', scope => this._applier.runSnapshots(scope))
    this._options.supervisor.spawn('elections', scope => this._runElections(scope))
  }

  /** Number of proposals whose outcome is awaited. */
  get pendingProposalsCount (): number {
    return this._proposals.count
  }

  /** Appends a command to the log and waits until it is applied. */
  async propose (command: unknown, progress: Progress): Promise<ProposalOutcome> {
    if (this._applier.isLogFull && !(await this._untilLogHasRoom(progress))) return { kind: 'notCommitted', reason: 'the log is full until the next snapshot is written' }
    const leadership = this.leadership
    if (!leadership) return { kind: 'notCommitted', reason: 'not the leader' }
    if (leadership.isHandingOver) return { kind: 'notCommitted', reason: 'the leader is handing over its leadership' }
    if (this._proposals.count >= MAX_PROPOSALS_COUNT) return { kind: 'notCommitted', reason: `too many pending proposals: the limit is ${MAX_PROPOSALS_COUNT}` }
    // Copied, because the encoder reuses its buffer.
    const index = leadership.propose(Uint8Array.from(this._encoder.encode(command)))
    const outcome = this._proposals.outcomeOf(index, leadership.term)
    const proposedAtMs = this._options.clock.nowMs()
    try {
      const raced = await progress.race(outcome)
      const settled: ProposalOutcome = raced.kind === 'done' ? raced.value : { kind: 'unknown', reason: 'not committed in time' }
      this._recordOutcome(settled, proposedAtMs)
      return settled
    } finally {
      this._proposals.abandon(index, leadership.term)
    }
  }

  /** Waits until the log has room for a large entry; false when the deadline passed first. */
  async whenLogHasSpareRoom (progress: Progress): Promise<boolean> {
    return await this._applier.whenLogHasSpareRoom(progress.scope, progress)
  }

  private async _untilLogHasRoom (progress: Progress): Promise<boolean> {
    if (this._proposalsWithoutRoomCount >= MAX_PROPOSALS_COUNT) return false
    this._proposalsWithoutRoomCount++
    try {
      return await this._applier.whenLogHasRoom(progress.scope, progress)
    } finally {
      this._proposalsWithoutRoomCount--
    }
  }

  private _recordOutcome ({ kind }: ProposalOutcome, proposedAtMs: number): void {
    const { clock, metrics } = this._options
    const tookMs = clock.nowMs() - proposedAtMs
    metrics.timing(MetricName.LogCommitMs, tookMs, { outcome: kind })
    if (kind === 'committed') this.core.replicationStats.recordCommit(tookMs)
    else if (kind === 'unknown') this.core.replicationStats.recordTimedOutProposal()
  }

  private _recordClosedLink (address: string, reason: string): void {
    this._options.metrics.count(MetricName.LogLinkClosed)
    this._options.logger.event(ReplicationEvent.LinkClosed, { address, reason })
    this.core.replicationStats.recordClosedLink()
  }

  /** Waits until the state contains everything that was committed before the call. */
  async read (mode: ReadMode, progress: Progress): Promise<ReadOutcome> {
    const leadership = this.leadership
    if (!leadership) return { kind: 'notLeader' }
    try {
      const byLease = mode === ReadMode.Lease ? leadership.leaseReadIndex() : undefined
      const index = byLease ?? await leadership.readIndex(progress)
      if (index === undefined) return { kind: 'unavailable', reason: 'a quorum did not confirm the leader in time' }
      const applied = await progress.race(this._applier.whenApplied(index, this._scope))
      return applied.kind === 'done' ? { kind: 'confirmed' } : { kind: 'unavailable', reason: `entry ${index} was not applied in time` }
    } catch (error) {
      if (!(error instanceof ScopeClosedError)) throw error
      return { kind: 'notLeader' }
    }
  }

  /** Waits until the state contains everything that earlier leaders committed; for a replica that has just become leader. */
  async whenCaughtUp (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      const read = await this.read(ReadMode.Quorum, new Progress(clock, scope, clock.nowMs() + CURRENT_TIMEOUT_MS))
      if (read.kind === 'confirmed') return
      await sleepUntil(clock, scope, clock.nowMs() + CURRENT_RETRY_MS)
    }
  }

  /** Waits until an entry is applied to the state. */
  async whenApplied (index: number): Promise<void> {
    await this._applier.whenApplied(index, this._scope)
  }

  /** Transfers this replica's leadership, if it leads, to another replica without an election timeout. */
  async handOver (progress: Progress): Promise<void> {
    const { leadership } = this
    if (leadership) await new Handover(this.core, this.links, leadership).run(progress)
  }

  join (newcomer: Omit<Member, 'role'>): MembershipOutcome {
    const changes = this._activeChanges
    if (!changes) return { kind: 'refused', reason: 'not the leader' }
    const outcome = changes.join(newcomer)
    this._joinRefusals.record(newcomer, outcome, this.core.members.length)
    return outcome
  }

  remove (hostId: string): MembershipOutcome {
    return this._activeChanges?.remove(hostId) ?? { kind: 'refused', reason: 'not the leader' }
  }

  private get _activeChanges (): MembershipChanges | undefined {
    return this.leadership && this._membershipChanges
  }

  private async _runElections (scope: Scope): Promise<void> {
    let pauseMs = 0
    for (;;) {
      await this._waitUntilElectionDue(scope, pauseMs)
      const isHandover = this._handedOverTerm === this.core.term
      this._handedOverTerm = undefined
      const outcome = this.core.isVoter() ? await this._voting.campaign(isHandover) : CampaignOutcome.NotStarted
      if (outcome === CampaignOutcome.Won) await this._lead()
      pauseMs = this._pauseAfter(outcome)
    }
  }

  private _pauseAfter (outcome: CampaignOutcome): number {
    const { random, timings } = this._options
    if (outcome === CampaignOutcome.NotStarted) return random.int(timings.preVoteRetryMinMs, timings.preVoteRetryMaxMs)
    return random.int(timings.electionMinMs, timings.electionMaxMs)
  }

  private async _onCampaign (request: Addressed): Promise<CampaignReply> {
    if (!(await this.core.accepts(request))) return { kind: 'wrongReplica' }
    if (request.term !== this.core.term || !this.core.isVoter() || this.leadership) return { kind: 'declined' }
    this._handedOverTerm = request.term
    this._campaignRequested.notify()
    return { kind: 'campaigning' }
  }

  /** Returns when the pause is over and no leader has called for a random election timeout, or at once when a leader hands over. */
  private async _waitUntilElectionDue (scope: Scope, pauseMs: number): Promise<void> {
    const { clock, random, timings } = this._options
    const timeoutMs = random.int(timings.electionMinMs, timings.electionMaxMs)
    const pauseEndsAtMs = clock.nowMs() + pauseMs
    const dueAtMs = (): number => Math.max(pauseEndsAtMs, this.core.electionTimerStartedAtMs + timeoutMs * this.core.electionTimeoutFactor)
    while (clock.nowMs() < dueAtMs() && this._handedOverTerm === undefined) {
      await this._campaignRequested.wait(scope, { clock, deadlineMs: dueAtMs() })
    }
  }

  private async _lead (): Promise<void> {
    const supervisor = this._options.supervisor.child(`leadership of term ${this.core.term}`)
    const leadership = new Leadership(this.core, this.links, supervisor)
    const changes = new MembershipChanges(this.core, leadership, this._options)
    this.core.becomeLeader(reason => supervisor.scope.close(reason))
    this._leadership = leadership
    this._membershipChanges = changes
    supervisor.spawn('membership review', scope => changes.review(scope))
    try {
      await leadership.run()
    } finally {
      supervisor.scope.close('leadership ended')
      this._leadership = undefined
      this._membershipChanges = undefined
    }
    this._scope.throwIfClosed()
  }
}
