/**
 * How a replica of the batch store becomes a member and stays one. The first
 * members are decided once by the control hosts and begin with the same first
 * entry; every other replica asks the leader to take it in, and waits where
 * there are replicas enough without it.
 */
import type { FleetView } from '../fleet/fleetView.js'
import { HostRole } from '../protocol/fleet.js'
import type { StoreGroup } from '../protocol/routingCommands.js'
import { EntryKind } from '../replication/log/logEntry.js'
import { MemberRole } from '../replication/log/members.js'
import { decodeMembership, encodeMembership } from '../replication/log/membershipHistory.js'
import type { Replica } from '../replication/log/replica.js'
import { ReplicaRole } from '../replication/log/replicaCore.js'
import { joinStoreMethod } from '../transport/batchMethods.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { BatchEvent } from './batchEvents.js'

const RETRY_MS = 250
const ASK_TIMEOUT_MS = 800
/** A member that hears of no leader for so long asks whether it still is one. */
const LEADERLESS_MS = 3_000
/** A place that becomes free is to be taken well before the next loss; asking costs a message each way. */
const NOT_NEEDED_PAUSE_MS = 1_000
/** What the leader answers when it needs no further replica. */
const NOT_NEEDED = 'notNeeded'
const FIRST_TERM = 1

export interface StoreMembershipParts {
  replica: Replica
  view: FleetView
  clock: Clock
  logger: Logger
  hostId: string
  peerAddress: string
  dataCentre: string
}

export class StoreMembership {
  private readonly _parts: StoreMembershipParts
  private _nextAsked = 0
  private _asksAgainAtMs = Number.NEGATIVE_INFINITY

  constructor (parts: StoreMembershipParts) {
    this._parts = parts
  }

  async run (scope: Scope): Promise<void> {
    const { clock, replica } = this._parts
    await this._finishAdoption(scope)
    for (;;) {
      if (replica.core.clusterId === null) await this._adoptGroup(scope)
      if (this._needsToAsk()) await this._ask(scope)
      await sleepUntil(clock, scope, clock.nowMs() + RETRY_MS)
    }
  }

  /** A crash came between the first entry and the identity: the entry counts. */
  private async _finishAdoption (scope: Scope): Promise<void> {
    const { core } = this._parts.replica
    const first = core.state.log.get(1)
    if (core.clusterId !== null || first?.kind !== EntryKind.Membership) return
    await scope.race(core.adopt(decodeMembership(first.payload).clusterId))
  }

  private async _adoptGroup (scope: Scope): Promise<void> {
    const { replica: { core }, view, logger } = this._parts
    const group = view.storeGroup
    const isFirst = group?.initialReplicas.some(({ replicaId }) => replicaId === core.replicaId) === true
    // A replica that a leader has reached already gets the first entry from it.
    if (!group || !isFirst || core.term > 0 || core.state.log.lastIndex > 0) return
    core.state.setHardState({ term: FIRST_TERM, votedFor: null })
    core.state.append([{ index: 1, term: FIRST_TERM, kind: EntryKind.Membership, atMs: 0, payload: firstMembership(group) }])
    await core.settled(scope)
    await scope.race(core.adopt(group.clusterId))
    logger.event(BatchEvent.StoreAdopted, { clusterId: group.clusterId, replicaId: core.replicaId })
  }

  private _needsToAsk (): boolean {
    const { replica: { core }, view, clock, hostId } = this._parts
    if (!view.storeGroup || view.retirementOf(hostId) || clock.nowMs() < this._asksAgainAtMs) return false
    if (view.storeGroup.initialReplicas.some(({ replicaId }) => replicaId === core.replicaId) && core.clusterId === null) return false
    const isMember = core.state.members.at(core.commitIndex).some(member => member.replicaId === core.replicaId)
    if (core.clusterId === null || !isMember) return true
    return core.role !== ReplicaRole.Leader && clock.nowMs() - core.quietSinceMs > LEADERLESS_MS
  }

  private async _ask (scope: Scope): Promise<void> {
    const { replica, view, clock, logger, hostId, peerAddress, dataCentre } = this._parts
    const others = view.hosts(HostRole.Store).filter(host => host.hostId !== hostId).flatMap(({ store }) => store?.peerAddress ?? [])
    const target = view.storeLeader()?.store?.peerAddress ?? others[this._nextAsked++ % Math.max(1, others.length)]
    if (target === undefined || target === peerAddress) return
    const progress = new Progress(clock, scope, clock.nowMs() + ASK_TIMEOUT_MS)
    const newcomer = { replicaId: replica.core.replicaId, hostId, peerAddress, dataCentre }
    const outcome = await replica.links.to({ peerAddress: target }).call(joinStoreMethod, newcomer, progress)
    const answer = outcome.kind === 'replied' ? outcome.body.kind === 'answered' ? outcome.body.outcome : 'not the leader' : outcome.reason
    if (answer === NOT_NEEDED) this._asksAgainAtMs = clock.nowMs() + NOT_NEEDED_PAUSE_MS
    else logger.event(BatchEvent.StoreJoinAsked, { target, answer })
  }
}

function firstMembership ({ clusterId, initialReplicas }: StoreGroup): Uint8Array {
  const members = initialReplicas.map(({ replicaId, hostId, peerAddress, dataCentre }) => (
    { replicaId, hostId, peerAddress, operatorAddress: peerAddress, dataCentre, role: MemberRole.Voter }
  ))
  return encodeMembership({ clusterId, members })
}
