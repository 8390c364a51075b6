/**
 * Decides the first members of the batch store, once, from the store hosts
 * that follow the leader: as many as the losses need, from all data centres.
 * Hosts that come later, or were not chosen, ask the store for a place.
 */
import { RoutingCommandKind } from '../../protocol/routingCommands.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import { ControlEvent } from '../controlEvents.js'
import { spreadOver, type ReplicaPlacement } from '../../replication/log/replicaPlacement.js'
import type { ControlNode } from '../controlNode.js'
import type { FollowerSessions } from './followerSessions.js'

const REVIEW_INTERVAL_MS = 200
/** Three replicas are the fewest that bear a loss; with these the store forms once no other host has come for a while. */
const WANTED_COUNT = 3
const SETTLED_MS = 1_000
/** A store of fewer replicas forms only when no more have come for so long. */
const PATIENCE_MS = 8_000
const COMMIT_TIMEOUT_MS = 2_000

export interface StoreFormationParts {
  node: ControlNode
  followers: FollowerSessions
  clock: Clock
  random: RandomSource
  logger: Logger
  placement: ReplicaPlacement
}

export class StoreFormation {
  private readonly _parts: StoreFormationParts
  private _seen = ''
  private _seenSinceMs = 0

  constructor (parts: StoreFormationParts) {
    this._parts = parts
  }

  /** Returns once the members are decided. */
  async run (scope: Scope): Promise<void> {
    const { node, clock } = this._parts
    while (!node.state.routing.storeGroup) {
      await sleepUntil(clock, scope, clock.nowMs() + REVIEW_INTERVAL_MS)
      if (node.isLeader && this._isSettled()) await this._form(scope)
    }
  }

  private _isSettled (): boolean {
    const { followers, clock } = this._parts
    const replicaIds = followers.storeHosts().map(({ store }) => store?.replicaId ?? '').sort()
    const seen = replicaIds.join(' ')
    if (seen !== this._seen) {
      this._seen = seen
      this._seenSinceMs = clock.nowMs()
    }
    const settledMs = clock.nowMs() - this._seenSinceMs
    return replicaIds.length >= WANTED_COUNT ? settledMs >= SETTLED_MS : replicaIds.length > 0 && settledMs >= PATIENCE_MS
  }

  private async _form (scope: Scope): Promise<void> {
    const { node, followers, clock, random, logger, placement } = this._parts
    const initialReplicas = spreadOver(followers.storeHosts(), placement.votersCount).flatMap(({ hostId, dataCentre, store }) => (
      store ? [{ replicaId: store.replicaId, hostId, peerAddress: store.peerAddress, dataCentre }] : []
    ))
    const group = { clusterId: random.id(), initialReplicas }
    const progress = new Progress(clock, scope, clock.nowMs() + COMMIT_TIMEOUT_MS)
    const reply = await node.submit({ kind: RoutingCommandKind.FormStore, group }, progress)
    logger.event(ControlEvent.StoreFormed, { clusterId: group.clusterId, hostIds: initialReplicas.map(({ hostId }) => hostId), outcome: reply.kind })
  }
}
