/**
 * How a replica of the batch store becomes a member and stays one. The control
 * hosts choose the initial members once, and these start with the same first log
 * entry. Every other replica asks the leader to be admitted, and waits while there
 * are enough replicas without it.
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
const JOIN_TIMEOUT_MS = 800
/** A member without contact to a leader for this long asks to join again, in case it was removed. */
const LEADERLESS_TIMEOUT_MS = 3_000
/** Interval between requests to join while the leader needs no further replica, short so that a replica is replaced well before the next loss; a request costs one message each way. */
const NOT_NEEDED_RETRY_MS = 1_000
/** Answer of a leader that needs no further replica. */
const NOT_NEEDED = 'notNeeded'
const FIRST_TERM = 1

export interface StoreMembershipOptions {
  replica: Replica
  view: FleetView
  clock: Clock
  logger: Logger
  hostId: string
  peerAddress: string
  dataCentre: string
}

export class StoreMembership {
  private readonly _options: StoreMembershipOptions
  private _nextTarget = 0
  private _nextJoinAtMs = Number.NEGATIVE_INFINITY

  constructor (options: StoreMembershipOptions) {
    this._options = options
  }

  async run (scope: Scope): Promise<void> {
    const { clock, replica } = this._options
    await this._finishAdoption(scope)
    for (;;) {
      if (replica.core.clusterId === null) await this._adoptGroup(scope)
      if (this._needsToJoin()) await this._requestJoin(scope)
      await sleepUntil(clock, scope, clock.nowMs() + RETRY_MS)
    }
  }

  /** Completes an adoption that a crash interrupted after the first entry was written and before the cluster id was. */
  private async _finishAdoption (scope: Scope): Promise<void> {
    const { core } = this._options.replica
    const first = core.state.log.get(1)
    if (core.clusterId !== null || first?.kind !== EntryKind.Membership) return
    await scope.race(core.adoptCluster(decodeMembership(first.payload).clusterId))
  }

  private async _adoptGroup (scope: Scope): Promise<void> {
    const { replica: { core }, view, logger } = this._options
    const group = view.storeGroup
    const isFirst = group?.initialReplicas.some(({ replicaId }) => replicaId === core.replicaId) === true
    // A replica that a leader has already contacted gets the first entry from the leader.
    if (!group || !isFirst || core.term > 0 || core.state.log.lastIndex > 0) return
    core.state.setHardState({ term: FIRST_TERM, votedFor: null })
    core.state.append([{ index: 1, term: FIRST_TERM, kind: EntryKind.Membership, atMs: 0, payload: firstMembership(group) }])
    await core.whenDurable(scope)
    await scope.race(core.adoptCluster(group.clusterId))
    logger.event(BatchEvent.StoreAdopted, { clusterId: group.clusterId, replicaId: core.replicaId })
  }

  private _needsToJoin (): boolean {
    const { replica: { core }, view, clock, hostId } = this._options
    if (!view.storeGroup || view.retirementOf(hostId) || clock.nowMs() < this._nextJoinAtMs) return false
    if (view.storeGroup.initialReplicas.some(({ replicaId }) => replicaId === core.replicaId) && core.clusterId === null) return false
    const isMember = core.state.members.at(core.commitIndex).some(member => member.replicaId === core.replicaId)
    if (core.clusterId === null || !isMember) return true
    return core.role !== ReplicaRole.Leader && clock.nowMs() - core.electionTimerStartedAtMs > LEADERLESS_TIMEOUT_MS
  }

  private async _requestJoin (scope: Scope): Promise<void> {
    const { replica, view, clock, logger, hostId, peerAddress, dataCentre } = this._options
    const others = view.hosts(HostRole.Store).filter(host => host.hostId !== hostId).flatMap(({ store }) => store?.peerAddress ?? [])
    const target = view.storeLeader()?.store?.peerAddress ?? others[this._nextTarget++ % Math.max(1, others.length)]
    if (target === undefined || target === peerAddress) return
    const progress = new Progress(clock, scope, clock.nowMs() + JOIN_TIMEOUT_MS)
    const newcomer = { replicaId: replica.core.replicaId, hostId, peerAddress, dataCentre }
    const outcome = await replica.links.to({ peerAddress: target }).call(joinStoreMethod, newcomer, progress)
    const answer = outcome.kind === 'replied' ? outcome.body.kind === 'answered' ? outcome.body.outcome : 'not the leader' : outcome.reason
    if (answer === NOT_NEEDED) this._nextJoinAtMs = clock.nowMs() + NOT_NEEDED_RETRY_MS
    else logger.event(BatchEvent.StoreJoinRequested, { target, answer })
  }
}

function firstMembership ({ clusterId, initialReplicas }: StoreGroup): Uint8Array {
  const members = initialReplicas.map(({ replicaId, hostId, peerAddress, dataCentre }) => (
    { replicaId, hostId, peerAddress, operatorAddress: peerAddress, dataCentre, role: MemberRole.Voter }
  ))
  return encodeMembership({ clusterId, members })
}
