/**
 * Finds a cluster for a replica that has none. If any other host belongs to a
 * cluster, the replica joins that cluster. A new cluster is formed only when every
 * initial member answers and none belongs to a cluster yet, and only by the member
 * with the lowest host id. A host whose disk was wiped therefore never starts a
 * second cluster beside the surviving cluster.
 */
import { sleepUntil } from '../../utils/clock.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import { ReplicationEvent } from '../replicationEvents.js'
import { EntryKind } from './logEntry.js'
import { MemberRole, type Member } from './members.js'
import { decodeMembership, encodeMembership } from './membershipHistory.js'
import type { PeerLinks } from './peerLinks.js'
import { identifyMethod, type IdentifyReply } from './raftMethods.js'
import { ReplicaRole, type ReplicaCore } from './replicaCore.js'

export interface InitialMember {
  hostId: string
  peerAddress: string
}

export interface OwnAddresses {
  hostId: string
  peerAddress: string
  operatorAddress: string
}

export interface FormationOptions {
  /** Hosts that are queried for an existing cluster; at the first start, these hosts form the cluster. */
  initialMembers: InitialMember[]
  /** False for a host that may only join an existing cluster. */
  mayForm: boolean
}

/** Requests to join the cluster of the host `via`; resolves with a description of the answer for the log. */
export type JoinCall = (via: IdentifyReply, newcomer: Omit<Member, 'role'>, progress: Progress) => Promise<string>

const RETRY_MS = 250
const REQUEST_TIMEOUT_MS = 1_000
const LOG_INTERVAL_TRIES_COUNT = 20
/** A member that no leader has called for this long checks whether it was removed from the members. */
const LEADERLESS_TIMEOUT_MS = 3_000

export class ClusterFormation {
  private readonly _core: ReplicaCore
  private readonly _links: PeerLinks
  private readonly _ownAddresses: OwnAddresses
  private readonly _options: FormationOptions
  private readonly _join: JoinCall
  private _triesCount = 0

  constructor (core: ReplicaCore, links: PeerLinks, own: OwnAddresses, options: FormationOptions, join: JoinCall) {
    this._core = core
    this._links = links
    this._ownAddresses = own
    this._options = options
    this._join = join
  }

  /** Keeps the replica a member of a cluster, and rejoins after it was removed from the members. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._core.options
    await this._finishFormation(scope)
    for (;;) {
      if (!this._isMember()) await this._tryOnce(scope)
      else if (this._isLeaderless()) await this._rejoinIfRemoved(scope)
      await sleepUntil(clock, scope, clock.nowMs() + RETRY_MS)
    }
  }

  private _isLeaderless (): boolean {
    const { clock } = this._core.options
    return this._core.role !== ReplicaRole.Leader && clock.nowMs() - this._core.electionTimerStartedAtMs > LEADERLESS_TIMEOUT_MS
  }

  /** If other members know a leader that does not call this replica, that leader has removed this replica while this replica did not answer. */
  private async _rejoinIfRemoved (scope: Scope): Promise<void> {
    const known = [...this._core.members, ...this._options.initialMembers]
    const others = known.filter(({ hostId }, position) => hostId !== this._ownAddresses.hostId && known.findIndex(other => other.hostId === hostId) === position)
    const answers = await Promise.all(others.map(member => this._identify(member, scope)))
    const memberWithLeader = answers.find(answer => answer?.clusterId === this._core.clusterId && answer.leader !== undefined && answer.leader.hostId !== this._ownAddresses.hostId)
    if (memberWithLeader) await this._requestJoin(memberWithLeader, scope)
  }

  /** Only committed membership counts: the entry with which a leader added the replica may have been lost again. */
  private _isMember (): boolean {
    const { clusterId, replicaId, commitIndex, state } = this._core
    return clusterId !== null && state.members.at(commitIndex).some(member => member.replicaId === replicaId)
  }

  /** Completes a formation that a crash interrupted after the first entry was written, but before the cluster id was written. */
  private async _finishFormation (scope: Scope): Promise<void> {
    const first = this._core.state.log.get(1)
    if (this._core.clusterId !== null || first?.kind !== EntryKind.Membership) return
    await scope.race(this._core.adoptCluster(decodeMembership(first.payload).clusterId))
  }

  private async _tryOnce (scope: Scope): Promise<void> {
    const others = this._options.initialMembers.filter(member => member.hostId !== this._ownAddresses.hostId)
    const answers = (await Promise.all(others.map(member => this._identify(member, scope)))).filter(answer => answer !== undefined)
    const { clusterId } = this._core
    const member = answers.find(answer => answer.clusterId !== null && answer.clusterId === (clusterId ?? answer.clusterId))
    if (clusterId !== null && !member) return
    if (member) return await this._requestJoin(member, scope)
    const isComplete = answers.length === others.length && others.length + 1 === this._options.initialMembers.length
    if (!isComplete || !this._options.mayForm) return this._logWaitingForMembers(others, answers)
    if (this._options.initialMembers.every(member => this._ownAddresses.hostId <= member.hostId)) await this._form(answers, scope)
  }

  private async _identify (member: InitialMember, scope: Scope): Promise<IdentifyReply | undefined> {
    const { clock } = this._core.options
    const progress = new Progress(clock, scope, clock.nowMs() + REQUEST_TIMEOUT_MS)
    const outcome = await this._links.to(member).call(identifyMethod, {}, progress)
    const isExpectedHost = outcome.kind === 'replied' && outcome.body.hostId === member.hostId
    return isExpectedHost ? outcome.body : undefined
  }

  private async _requestJoin (via: IdentifyReply, scope: Scope): Promise<void> {
    const { clock, logger } = this._core.options
    const progress = new Progress(clock, scope, clock.nowMs() + REQUEST_TIMEOUT_MS)
    const answer = await this._join(via, { replicaId: this._core.replicaId, ...this._ownAddresses }, progress)
    if (this._triesCount++ % LOG_INTERVAL_TRIES_COUNT === 0) logger.event(ReplicationEvent.JoinRequested, { viaHostId: via.hostId, answer })
  }

  private async _form (answers: IdentifyReply[], scope: Scope): Promise<void> {
    const { clock, random, logger } = this._core.options
    const clusterId = random.id()
    const own: Member = { replicaId: this._core.replicaId, ...this._ownAddresses, role: MemberRole.Voter }
    const others = answers.map(({ replicaId, hostId, peerAddress, operatorAddress }) => (
      { replicaId, hostId, peerAddress, operatorAddress, role: MemberRole.Voter }
    ))
    const payload = encodeMembership({ clusterId, members: [own, ...others] })
    this._core.state.setHardState({ term: 1, votedFor: this._core.replicaId })
    this._core.state.append([{ index: 1, term: 1, kind: EntryKind.Membership, atMs: clock.wallMs(), payload }])
    await this._core.whenDurable(scope)
    await scope.race(this._core.adoptCluster(clusterId))
    logger.event(ReplicationEvent.ClusterFormed, { clusterId, hostIds: [own, ...others].map(member => member.hostId) })
  }

  private _logWaitingForMembers (others: InitialMember[], answers: IdentifyReply[]): void {
    if (this._triesCount++ % LOG_INTERVAL_TRIES_COUNT !== 0) return
    const unanswered = others.filter(member => !answers.some(answer => answer.hostId === member.hostId))
    this._core.options.logger.event(ReplicationEvent.WaitingForMembers, { hostIds: unanswered.map(member => member.hostId) })
  }
}
