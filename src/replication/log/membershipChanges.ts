/**
 * The leader's changes of members, one at a time: newcomers are learners
 * first and vote once they have caught up; a replica whose host came back
 * with another disk is removed before its successor votes. Nobody is refused
 * for the size of the group: a host has one voter and one learner at most, so
 * the members are no more than twice the hosts.
 */
import { sleepUntil } from '../../utils/clock.js'
import type { Scope } from '../../utils/scope.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { Leadership } from './leadership.js'
import { MemberRole, quorumCount, votersOf, type Member } from './members.js'
import type { ReplicaCore } from './replicaCore.js'

export type MembershipOutcome =
  | { kind: 'accepted' }
  /** Another change is still open; try again. */
  | { kind: 'busy' }
  | { kind: 'refused', reason: string }

/** A learner that is no more than so many entries behind may vote. */
const CAUGHT_UP_ENTRIES_COUNT = 64
const REVIEW_INTERVAL_MS = 100
/** Fewer voters than this bear no loss, so nobody is struck below it. */
const MIN_VOTERS_COUNT = 3

export class MembershipChanges {
  private readonly _core: ReplicaCore
  private readonly _leadership: Leadership
  private readonly _strikeSilentAfterMs: number | undefined

  constructor (core: ReplicaCore, leadership: Leadership, strikeSilentAfterMs?: number) {
    this._core = core
    this._leadership = leadership
    this._strikeSilentAfterMs = strikeSilentAfterMs
  }

  /** Takes a replica in as a learner. */
  join (newcomer: Omit<Member, 'role'>): MembershipOutcome {
    const members = this._core.members
    if (members.some(member => member.replicaId === newcomer.replicaId)) return { kind: 'accepted' }
    const predecessors = members.filter(member => member.hostId === newcomer.hostId)
    if (predecessors.some(member => this._leadership.isLive(member.replicaId))) {
      return { kind: 'refused', reason: `host ${newcomer.hostId} is running already` }
    }
    if (!this._leadership.mayChangeMembers()) return { kind: 'busy' }
    // An earlier learner of the same host never voted and can go in the same step.
    const kept = members.filter(member => member.hostId !== newcomer.hostId || member.role === MemberRole.Voter)
    this._leadership.changeMembers([...kept, { ...newcomer, role: MemberRole.Learner }])
    this._core.parts.logger.event(ReplicationEvent.MemberAdded, { hostId: newcomer.hostId, replicaId: newcomer.replicaId })
    return { kind: 'accepted' }
  }

  /** Removes every replica of a host. */
  remove (hostId: string): MembershipOutcome {
    const leaving = this._core.members.filter(member => member.hostId === hostId)
    if (leaving.length === 0) return { kind: 'accepted' }
    if (!this._leadership.mayChangeMembers()) return { kind: 'busy' }
    const remaining = this._core.members.filter(member => member.hostId !== hostId)
    if (votersOf(leaving).length > 1) return this._removeOne(leaving)
    if (!this._hasLiveQuorum(remaining)) return { kind: 'refused', reason: 'too few of the remaining members answer' }
    this._change(remaining, ReplicationEvent.MemberRemoved, hostId)
    return { kind: 'accepted' }
  }

  /** Replaces and promotes as learners catch up, while the leadership lasts. */
  async review (scope: Scope): Promise<void> {
    const { clock } = this._core.parts
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + REVIEW_INTERVAL_MS)
      if (this._leadership.mayChangeMembers()) this._reviewOnce()
    }
  }

  private _reviewOnce (): void {
    const members = this._core.members
    const ready = members.find(member => member.role === MemberRole.Learner && this._isCaughtUp(member))
    if (!ready) return this._strikeSilent()
    const predecessor = members.find(member => member.hostId === ready.hostId && member.role === MemberRole.Voter)
    if (predecessor) this._replace(predecessor)
    else this._promote(ready)
  }

  /** A host that is gone for good is never announced; its dead vote would only raise the quorum. */
  private _strikeSilent (): void {
    const members = this._core.members
    if (this._strikeSilentAfterMs === undefined) return
    const silentSinceMs = this._core.parts.clock.nowMs() - this._strikeSilentAfterMs
    const silent = members.filter(member => this._leadership.heardAtMs(member.replicaId) < silentSinceMs)
    const [longest] = silent.sort((left, right) => this._leadership.heardAtMs(left.replicaId) - this._leadership.heardAtMs(right.replicaId))
    if (!longest) return
    const remaining = members.filter(member => member !== longest)
    const isVoting = longest.role === MemberRole.Voter
    if (isVoting && (votersOf(remaining).length < MIN_VOTERS_COUNT || !this._hasLiveQuorum(remaining))) return
    this._change(remaining, ReplicationEvent.MemberRemoved, longest.hostId)
  }

  private _replace (predecessor: Member): void {
    const remaining = this._core.members.filter(member => member.replicaId !== predecessor.replicaId)
    if (this._leadership.isLive(predecessor.replicaId) || !this._hasLiveQuorum(remaining)) return
    this._change(remaining, ReplicationEvent.MemberRemoved, predecessor.hostId)
  }

  private _promote (learner: Member): void {
    const members = this._core.members.map(member => (
      member.replicaId === learner.replicaId ? { ...member, role: MemberRole.Voter } : member
    ))
    if (this._hasLiveQuorum(members)) this._change(members, ReplicationEvent.MemberPromoted, learner.hostId)
  }

  private _removeOne (leaving: Member[]): MembershipOutcome {
    const [first] = votersOf(leaving)
    const remaining = this._core.members.filter(member => member !== first)
    if (!this._hasLiveQuorum(remaining)) return { kind: 'refused', reason: 'too few of the remaining members answer' }
    this._change(remaining, ReplicationEvent.MemberRemoved, first?.hostId ?? '')
    return { kind: 'busy' }
  }

  private _change (members: Member[], event: ReplicationEvent, hostId: string): void {
    this._leadership.changeMembers(members)
    this._core.parts.logger.event(event, { hostId })
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
