/**
 * The leader's changes of members, one at a time. Newcomers start as learners
 * and become voters once they have caught up. A replica whose host came back
 * with another disk is removed before its successor becomes a voter. Without a
 * placement, no newcomer is refused because of the size of the group: a host
 * has at most one voter and one learner, so there are at most twice as many
 * members as hosts. With a placement, there are as many members as the
 * tolerated losses require, and the other hosts wait until another member is needed.
 */
import { sleepUntil } from '../../utils/clock.js'
import type { Scope } from '../../utils/scope.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { Leadership } from './leadership.js'
import { MemberRole, quorumCount, votersOf, type Member } from './members.js'
import type { ReplicaCore } from './replicaCore.js'
import { learnerToPromote, excessMember, shouldAdmit, type ReplicaPlacement } from './replicaPlacement.js'

export type MembershipOutcome =
  | { kind: 'accepted' }
  /** Another change is still in progress; try again. */
  | { kind: 'busy' }
  /** There are enough replicas without the host; it may request again later. */
  | { kind: 'notNeeded' }
  | { kind: 'refused', reason: string }

/** Maximum lag of a learner that may become a voter. */
const CAUGHT_UP_ENTRIES_COUNT = 64
const REVIEW_INTERVAL_MS = 100
/** A killed process restarts within a second and answers its leader within the next second; a voter that has not answered for longer may be replaced by a newcomer. */
const REPLACE_SILENT_AFTER_MS = 2_000
/** Losses that a group tolerates if the policy does not set a number. */
const DEFAULT_TOLERATED_LOSSES = 1

export interface MembershipPolicy {
  /** A voter that has not answered for this long is removed, as long as enough other voters remain; never if this value is absent. */
  strikeSilentAfterMs?: number | undefined
  /** Number of disks that may be lost at the same time; defaults to one. */
  toleratedLosses?: number | undefined
  /** How many hosts are members; all hosts if absent. */
  placement?: ReplicaPlacement | undefined
}

export class MembershipChanges {
  private readonly _core: ReplicaCore
  private readonly _leadership: Leadership
  private readonly _policy: MembershipPolicy
  /** The voter that a newcomer has just replaced. */
  private _displacedVoter: Member | undefined
  /** Hosts whose previous replica has just been removed in favour of the current one. */
  private readonly _vacatedHostIds = new Set<string>()
  /** Hosts that are being removed from the members. */
  private readonly _leavingHostIds = new Set<string>()

  constructor (core: ReplicaCore, leadership: Leadership, policy: MembershipPolicy) {
    this._core = core
    this._leadership = leadership
    this._policy = policy
  }

  /** Adds a replica as a learner. */
  join (newcomer: Omit<Member, 'role'>): MembershipOutcome {
    const members = this._core.members
    if (members.some(member => member.replicaId === newcomer.replicaId)) return { kind: 'accepted' }
    const predecessors = members.filter(member => member.hostId === newcomer.hostId)
    if (predecessors.some(member => this._leadership.isLive(member.replicaId))) {
      return { kind: 'refused', reason: `host ${newcomer.hostId} is running already` }
    }
    if (!this._shouldAdmit(newcomer, predecessors)) return { kind: 'notNeeded' }
    if (!this._leadership.mayChangeMembers()) return { kind: 'busy' }
    // An earlier learner of the same host never voted and can be removed in the same change.
    const kept = members.filter(member => member.hostId !== newcomer.hostId || member.role === MemberRole.Voter)
    this._leadership.changeMembers([...kept, { ...newcomer, role: MemberRole.Learner }])
    this._core.options.logger.event(ReplicationEvent.MemberAdded, { hostId: newcomer.hostId, replicaId: newcomer.replicaId })
    return { kind: 'accepted' }
  }

  /** Removes every replica of a host. */
  remove (hostId: string): MembershipOutcome {
    const leaving = this._core.members.filter(member => member.hostId === hostId)
    if (leaving.length === 0) return { kind: 'accepted' }
    if (this._policy.placement) this._leavingHostIds.add(hostId)
    if (!this._leadership.mayChangeMembers()) return { kind: 'busy' }
    const remaining = this._core.members.filter(member => member.hostId !== hostId)
    if (votersOf(leaving).length > 0 && this._isBelowMinVoters(votersOf(remaining).length)) {
      if (this._promoteSpare()) return { kind: 'busy' }
      return { kind: 'refused', reason: `fewer than ${this._minVotersCount} voters would remain` }
    }
    if (votersOf(leaving).length > 1) return this._removeOne(leaving)
    if (!this._hasLiveQuorum(remaining)) return { kind: 'refused', reason: 'no quorum of the remaining voters answers' }
    this._change(remaining, ReplicationEvent.MemberRemoved, hostId)
    this._leavingHostIds.delete(hostId)
    return { kind: 'accepted' }
  }

  /** Replaces, promotes and removes members as needed, until the scope closes. */
  async review (scope: Scope): Promise<void> {
    const { clock } = this._core.options
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + REVIEW_INTERVAL_MS)
      if (this._leadership.mayChangeMembers()) this._reviewOnce()
    }
  }

  private _reviewOnce (): void {
    const replaced = this._takeDisplacedVoter()
    if (replaced) return this._removeSilent(replaced)
    const ready = this._readyLearners()
    const successor = ready.find(({ hostId }) => this._vacatedHostIds.has(hostId))
    const predecessor = ready.map(learner => this._predecessorOf(learner)).find(member => member !== undefined)
    const newcomer = this._needsVoter() ? learnerToPromote(ready, votersOf(this._core.members)) : undefined
    if (successor) this._promoteSuccessor(successor)
    else if (predecessor) this._replace(predecessor)
    else if (newcomer) this._promoteNewcomer(newcomer)
    else if (!this._removeExcess()) this._removeLongestSilent()
  }

  private _readyLearners (): Member[] {
    return this._core.members.filter(member => (
      member.role === MemberRole.Learner && !this._leavingHostIds.has(member.hostId) && this._isCaughtUp(member)
    ))
  }

  /** Without a placement, every learner that has caught up becomes a voter. */
  private _needsVoter (): boolean {
    const { placement } = this._policy
    const voters = votersOf(this._core.members)
    return placement === undefined || this._withoutLeaving(voters).length < placement.votersCount || voters.some(({ replicaId }) => !this._leadership.isLive(replicaId))
  }

  private _withoutLeaving (members: Member[]): Member[] {
    return members.filter(({ hostId }) => !this._leavingHostIds.has(hostId))
  }

  /** Whether a newcomer may join. A replica on a host that lost its disk may always join, as this replica replaces its predecessor. Members that do not answer are not counted. */
  private _shouldAdmit (newcomer: Omit<Member, 'role'>, predecessors: Member[]): boolean {
    const { placement } = this._policy
    if (!placement || predecessors.length > 0) return true
    const answering = this._withoutLeaving(this._core.members).filter(member => this._silentMs(member) <= REPLACE_SILENT_AFTER_MS)
    return shouldAdmit(placement, answering, newcomer)
  }

  /** Promotes a spare before a voter is removed that is needed for the minimum number of voters. */
  private _promoteSpare (): boolean {
    const successor = this._policy.placement && learnerToPromote(this._readyLearners(), votersOf(this._core.members))
    return successor !== undefined && this._promote(successor)
  }

  /** Demotes a surplus voter, such as a voter that came back after being replaced, or removes a surplus spare; only while all members are live. */
  private _removeExcess (): boolean {
    const { placement } = this._policy
    const staying = this._withoutLeaving(this._core.members)
    if (!placement || !staying.every(({ replicaId }) => this._leadership.isLive(replicaId))) return false
    const excess = excessMember(placement, staying, this._core.replicaId)
    if (!excess) return false
    if (excess.role === MemberRole.Voter) this._demote(excess)
    else this._change(this._core.members.filter(member => member !== excess), ReplicationEvent.MemberRemoved, excess.hostId)
    return true
  }

  private _demote (voter: Member): void {
    const members = this._core.members.map(member => (member === voter ? { ...member, role: MemberRole.Learner } : member))
    if (this._hasLiveQuorum(members)) this._change(members, ReplicationEvent.MemberDemoted, voter.hostId)
  }

  private _predecessorOf (learner: Member): Member | undefined {
    return votersOf(this._core.members).find(member => member.hostId === learner.hostId)
  }

  /** Promotes the successor of a removed replica at once, before another predecessor is removed: until then there is one voter less. */
  private _promoteSuccessor (successor: Member): void {
    this._vacatedHostIds.delete(successor.hostId)
    this._promote(successor)
  }

  /**
   * Promotes a newcomer, and has it replace a voter that does not answer and is
   * most likely lost: if both stayed, the dead voter would raise the quorum for
   * the remaining voters. The newcomer is promoted before the other voter is removed,
   * because that voter may come back with its disk at any time.
   */
  private _promoteNewcomer (newcomer: Member): void {
    if (!this._isContactedLongEnough(newcomer)) return
    const silent = this._longestSilent(votersOf(this._core.members))
    const isAway = silent !== undefined && !this._leadership.isLive(silent.replicaId)
    if (!isAway || this._policy.strikeSilentAfterMs === undefined) {
      this._promote(newcomer)
      return
    }
    if (this._silentMs(silent) <= REPLACE_SILENT_AFTER_MS) return
    if (this._promote(newcomer)) this._displacedVoter = silent
  }

  /** Returns the voter that a newcomer has replaced and clears the record; undefined if the voter is back or still needed. */
  private _takeDisplacedVoter (): Member | undefined {
    const replaced = votersOf(this._core.members).find(member => member.replicaId === this._displacedVoter?.replicaId)
    this._displacedVoter = undefined
    const isNeeded = replaced && (this._leadership.isLive(replaced.replicaId) || this._isBelowMinVoters(votersOf(this._core.members).length - 1))
    return isNeeded ? undefined : replaced
  }

  /** Whether the newcomer has been contacted for longer than an election timeout. A voter that failed just before the newcomer came is no longer considered live by then. */
  private _isContactedLongEnough (newcomer: Member): boolean {
    const { clock, timings } = this._core.options
    const sinceMs = this._leadership.progressOf(newcomer.replicaId)?.contactedSinceMs ?? Number.POSITIVE_INFINITY
    return clock.nowMs() - sinceMs > timings.electionMaxMs
  }

  /** Removes the member that has not answered for the longest time. Permanent losses of hosts are not announced, and a dead voter only raises the quorum. */
  private _removeLongestSilent (): void {
    const { strikeSilentAfterMs, placement } = this._policy
    const silent = this._longestSilent(this._core.members)
    if (!silent || strikeSilentAfterMs === undefined) return
    const isSpare = placement !== undefined && silent.role === MemberRole.Learner
    if (this._silentMs(silent) <= (isSpare ? REPLACE_SILENT_AFTER_MS : strikeSilentAfterMs)) return
    const votersCount = votersOf(this._core.members).length
    if (silent.role === MemberRole.Learner || votersCount > this._minVotersCount) this._removeSilent(silent)
  }

  private _removeSilent (silent: Member): void {
    const remaining = this._core.members.filter(member => member !== silent)
    if (silent.role === MemberRole.Learner || this._hasLiveQuorum(remaining)) this._change(remaining, ReplicationEvent.MemberRemoved, silent.hostId)
  }

  private _longestSilent (members: Member[]): Member | undefined {
    const [longest] = [...members].sort((left, right) => this._leadership.lastSeenAtMs(left.replicaId) - this._leadership.lastSeenAtMs(right.replicaId))
    return longest
  }

  private _silentMs (member: Member): number {
    return this._core.options.clock.nowMs() - this._leadership.lastSeenAtMs(member.replicaId)
  }

  /** Whether removing a voter would leave too few voters. If the tolerated losses are not set, the operator may shrink the group to any size. */
  private _isBelowMinVoters (votersCount: number): boolean {
    return this._policy.toleratedLosses !== undefined && votersCount < this._minVotersCount
  }

  /** With 2f + 1 voters, a majority stores an entry on one more disk than the f disks that may be lost. */
  private get _minVotersCount (): number {
    return 2 * (this._policy.toleratedLosses ?? DEFAULT_TOLERATED_LOSSES) + 1
  }

  private _replace (predecessor: Member): void {
    const remaining = this._core.members.filter(member => member.replicaId !== predecessor.replicaId)
    if (this._leadership.isLive(predecessor.replicaId) || !this._hasLiveQuorum(remaining)) return
    this._vacatedHostIds.add(predecessor.hostId)
    this._change(remaining, ReplicationEvent.MemberRemoved, predecessor.hostId)
  }

  private _promote (learner: Member): boolean {
    const members = this._core.members.map(member => (
      member.replicaId === learner.replicaId ? { ...member, role: MemberRole.Voter } : member
    ))
    if (!this._hasLiveQuorum(members)) return false
    this._change(members, ReplicationEvent.MemberPromoted, learner.hostId)
    return true
  }

  private _removeOne (leaving: Member[]): MembershipOutcome {
    const [first] = votersOf(leaving)
    const remaining = this._core.members.filter(member => member !== first)
    if (!this._hasLiveQuorum(remaining)) return { kind: 'refused', reason: 'no quorum of the remaining voters answers' }
    this._change(remaining, ReplicationEvent.MemberRemoved, first?.hostId ?? '')
    return { kind: 'busy' }
  }

  private _change (members: Member[], event: ReplicationEvent, hostId: string): void {
    this._leadership.changeMembers(members)
    this._core.options.logger.event(event, { hostId })
  }

  private _isCaughtUp (learner: Member): boolean {
    const progress = this._leadership.progressOf(learner.replicaId)
    if (!progress || !this._leadership.isLive(learner.replicaId)) return false
    return progress.matchIndex > 0 && progress.matchIndex + CAUGHT_UP_ENTRIES_COUNT >= this._core.state.log.lastIndex
  }

  private _hasLiveQuorum (members: Member[]): boolean {
    const voters = votersOf(members)
    const liveCount = voters.filter(member => this._leadership.isLive(member.replicaId)).length
    return voters.length > 0 && liveCount >= quorumCount(voters.length)
  }
}
