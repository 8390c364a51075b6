/**
 * Chooses the initial members of the batch store, once, from the store hosts that
 * follow the leader: as many as the tolerated losses require, spread over all data
 * centres. Hosts that start later, or were not chosen, ask the store to admit them.
 */
import { RoutingCommandKind } from '../../protocol/routingCommands.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import { ControlEvent } from '../controlEvents.js'
import { spreadOverDataCentres, type ReplicaPlacement } from '../../replication/log/replicaPlacement.js'
import type { ControlNode } from '../controlNode.js'
import type { FollowerSessions } from './followerSessions.js'

const REVIEW_INTERVAL_MS = 200
/** The minimum number of replicas that tolerates a loss; with these the store forms after a short time without new hosts. */
const MIN_FAULT_TOLERANT_COUNT = 3
const SETTLING_TIME_MS = 1_000
/** A store with fewer replicas forms only after this time without new hosts. */
const UNDERSIZED_WAIT_MS = 8_000
const COMMIT_TIMEOUT_MS = 2_000

export interface StoreFormationOptions {
  node: ControlNode
  followers: FollowerSessions
  clock: Clock
  random: RandomSource
  logger: Logger
  placement: ReplicaPlacement
}

export class StoreFormation {
  private readonly _options: StoreFormationOptions
  private _candidates = ''
  private _candidatesSinceMs = 0

  constructor (options: StoreFormationOptions) {
    this._options = options
  }

  /** Returns once the members are chosen. */
  async run (scope: Scope): Promise<void> {
    const { node, clock } = this._options
    while (!node.state.routing.storeGroup) {
      await sleepUntil(clock, scope, clock.nowMs() + REVIEW_INTERVAL_MS)
      if (node.isLeader && this._isSettled()) await this._form(scope)
    }
  }

  private _isSettled (): boolean {
    const { followers, clock } = this._options
    const replicaIds = followers.storeHosts().map(({ store }) => store?.replicaId ?? '').sort()
    const candidates = replicaIds.join(' ')
    if (candidates !== this._candidates) {
      this._candidates = candidates
      this._candidatesSinceMs = clock.nowMs()
    }
    const unchangedMs = clock.nowMs() - this._candidatesSinceMs
    return replicaIds.length >= MIN_FAULT_TOLERANT_COUNT ? unchangedMs >= SETTLING_TIME_MS : replicaIds.length > 0 && unchangedMs >= UNDERSIZED_WAIT_MS
  }

  private async _form (scope: Scope): Promise<void> {
    const { node, followers, clock, random, logger, placement } = this._options
    const initialReplicas = spreadOverDataCentres(followers.storeHosts(), placement.votersCount).flatMap(({ hostId, dataCentre, store }) => (
      store ? [{ replicaId: store.replicaId, hostId, peerAddress: store.peerAddress, dataCentre }] : []
    ))
    const group = { clusterId: random.id(), initialReplicas }
    const progress = new Progress(clock, scope, clock.nowMs() + COMMIT_TIMEOUT_MS)
    const reply = await node.submit({ kind: RoutingCommandKind.FormStore, group }, progress)
    logger.event(ControlEvent.StoreFormed, { clusterId: group.clusterId, hostIds: initialReplicas.map(({ hostId }) => hostId), outcome: reply.kind })
  }
}
