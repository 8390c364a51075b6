/**
 * Elections: grants votes to candidates and runs this replica's own campaigns.
 * A campaign starts with pre-votes, so that a replica that was partitioned does
 * not disrupt a working leader with a higher term when it reconnects.
 */
import type { CallOutcome } from '../../transport/rpcPeer.js'
import { ScopeClosedError } from '../../utils/errors.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import { Signal } from '../../utils/signal.js'
import { ReplicationEvent } from '../replicationEvents.js'
import { quorumCount, votersOf, type Member } from './members.js'
import type { PeerLinks } from './peerLinks.js'
import { voteMethod, type VoteReply, type VoteRequest } from './raftMethods.js'
import { ReplicaRole, type ReplicaCore } from './replicaCore.js'

export enum CampaignOutcome {
  Won,
  /** This replica is not a voter, too few voters would vote for it, or it learned of a leader or a later term. The campaign changed nothing at any replica. */
  NotStarted,
  Lost
}

enum BallotKind {
  /** Only asks whether a vote would be granted. */
  PreVote,
  Vote,
  /** A vote that followers may grant despite the lease of the leader that handed over. */
  Handover
}

export class Voting {
  private readonly _core: ReplicaCore
  private readonly _links: PeerLinks
  private readonly _scope: Scope

  constructor (core: ReplicaCore, links: PeerLinks, scope: Scope) {
    this._core = core
    this._links = links
    this._scope = scope
  }

  /** Answers the vote request of a candidate. */
  async onVote (request: VoteRequest): Promise<VoteReply> {
    const core = this._core
    if (!(await core.accepts(request))) return { kind: 'wrongReplica' }
    if (this._isBoundByLease(request) || request.term < core.term) return { kind: 'refused', term: core.term }
    const isUpToDate = this._isUpToDate(request)
    if (request.isPreVote) {
      return isUpToDate && request.term > core.term ? { kind: 'granted' } : { kind: 'refused', term: core.term }
    }
    core.observeTerm(request.term)
    const isFree = core.state.votedFor === null || core.state.votedFor === request.fromReplicaId
    if (isUpToDate && isFree) {
      core.state.setHardState({ term: request.term, votedFor: request.fromReplicaId })
      core.recordVoteGranted()
    }
    await core.whenDurable(this._scope)
    const isGiven = core.term === request.term && core.state.votedFor === request.fromReplicaId
    return isGiven ? { kind: 'granted' } : { kind: 'refused', term: core.term }
  }

  /** Whether a leader's lease forbids a vote. A leader that hands over has given up its lease. */
  private _isBoundByLease ({ isHandover, term }: VoteRequest): boolean {
    const core = this._core
    const isReleased = isHandover && term === core.term + 1 && core.role !== ReplicaRole.Leader
    return core.isBoundToLeader() && !isReleased
  }

  /**
   * Tries to become the leader of a new term.
   * @param isHandover whether the leader has given up its lease, so that no pre-votes are needed
   */
  async campaign (isHandover: boolean): Promise<CampaignOutcome> {
    const core = this._core
    const term = core.term + 1
    if (!isHandover && !(await this._collectVotes(term, BallotKind.PreVote))) return CampaignOutcome.NotStarted
    if (core.term + 1 !== term || (core.isBoundToLeader() && !isHandover)) return CampaignOutcome.NotStarted
    core.becomeCandidate()
    core.state.setHardState({ term, votedFor: core.replicaId })
    core.options.logger.event(ReplicationEvent.ElectionStarted, { term })
    await core.whenDurable(this._scope)
    const isElected = this._isCandidateOf(term) && await this._collectVotes(term, isHandover ? BallotKind.Handover : BallotKind.Vote)
    return isElected && this._isCandidateOf(term) ? CampaignOutcome.Won : CampaignOutcome.Lost
  }

  private _isCandidateOf (term: number): boolean {
    return this._core.term === term && this._core.role === ReplicaRole.Candidate
  }

  private _isUpToDate (request: VoteRequest): boolean {
    const { lastTerm, lastIndex } = this._core.state.log
    return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex)
  }

  /** Requests the votes of all voters concurrently; returns false as soon as a majority is out of reach. */
  private async _collectVotes (term: number, kind: BallotKind): Promise<boolean> {
    const { clock, timings } = this._core.options
    const voters = votersOf(this._core.members)
    const others = voters.filter(member => member.replicaId !== this._core.replicaId)
    const neededCount = quorumCount(voters.length)
    const progress = new Progress(clock, this._scope, clock.nowMs() + timings.electionMinMs)
    const counted = new Signal()
    const ballot = { grantedCount: 1, openCount: others.length }
    for (const member of others) {
      this._requestVote(member, term, kind, progress).then(isGranted => {
        ballot.openCount--
        if (isGranted) ballot.grantedCount++
        counted.notify()
      }).catch(this._ignoreClosing)
    }
    while (ballot.grantedCount < neededCount && ballot.grantedCount + ballot.openCount >= neededCount) {
      if (!(await counted.wait(this._scope, progress))) break
    }
    return ballot.grantedCount >= neededCount
  }

  private async _requestVote (member: Member, term: number, kind: BallotKind, progress: Progress): Promise<boolean> {
    const { lastIndex, lastTerm } = this._core.state.log
    const address = { clusterId: this._core.clusterId ?? '', fromReplicaId: this._core.replicaId, toReplicaId: member.replicaId, term }
    const ballot = { isPreVote: kind === BallotKind.PreVote, isHandover: kind === BallotKind.Handover, lastIndex, lastTerm }
    const outcome = await this._links.to(member).call(voteMethod, { ...address, ...ballot }, progress)
    return this._isGranted(outcome)
  }

  private _isGranted (outcome: CallOutcome<VoteReply>): boolean {
    if (outcome.kind !== 'replied') return false
    if (outcome.body.kind === 'refused') this._core.observeTerm(outcome.body.term)
    return outcome.body.kind === 'granted'
  }

  private readonly _ignoreClosing = (error: unknown): void => {
    if (!(error instanceof ScopeClosedError)) this._links.onFatal(error)
  }
}
