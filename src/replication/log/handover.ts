/**
 * Leadership transfer (Ongaro's Raft thesis, 3.10) for a planned stop. The
 * leader accepts no more proposals, waits until a live voter has caught up with
 * its whole log, gives up its lease and asks that voter to start an election at
 * once. Otherwise, the other replicas would notice the missing leader only
 * after an election timeout.
 */
import type { Progress } from '../../utils/progress.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { Leadership } from './leadership.js'
import { votersOf, type Member } from './members.js'
import type { PeerLinks } from './peerLinks.js'
import { campaignMethod } from './raftMethods.js'
import type { ReplicaCore } from './replicaCore.js'

export class Handover {
  private readonly _core: ReplicaCore
  private readonly _links: PeerLinks
  private readonly _leadership: Leadership

  constructor (core: ReplicaCore, links: PeerLinks, leadership: Leadership) {
    this._core = core
    this._links = links
    this._leadership = leadership
  }

  /** Returns when another replica leads, when no other replica can, or when the deadline has passed. */
  async run (progress: Progress): Promise<void> {
    const { logger } = this._core.options
    this._leadership.isHandingOver = true
    const successor = await this._waitForCaughtUpVoter(progress)
    if (!successor) {
      // No other replica can take over, so this one continues to lead rather than leave the cluster without a leader.
      this._leadership.isHandingOver = false
      logger.event(ReplicationEvent.HandoverFailed, { term: this._leadership.term, reason: 'no other live voter caught up with the whole log' })
      return
    }
    const { term } = this._leadership
    const request = { clusterId: this._core.clusterId ?? '', fromReplicaId: this._core.replicaId, toReplicaId: successor.replicaId, term }
    // The lease must be given up before any replica may vote for the successor.
    this._core.stepDown(`handed leadership over to ${successor.hostId}`)
    logger.event(ReplicationEvent.HandedOver, { term, hostId: successor.hostId })
    const outcome = await this._links.to(successor).call(campaignMethod, request, progress)
    if (outcome.kind === 'replied' && outcome.body.kind === 'campaigning') await this._waitForNewLeader(progress)
  }

  /** Waits for a live voter that has synced the whole log; undefined if there is no other live voter, the leadership ends or the deadline passes. */
  private async _waitForCaughtUpVoter (progress: Progress): Promise<Member | undefined> {
    while (!progress.isPastDeadline() && !this._leadership.scope.isClosed) {
      const { lastIndex } = this._core.state.log
      const others = votersOf(this._core.members).filter(({ replicaId }) => replicaId !== this._core.replicaId)
      const live = others.filter(({ replicaId }) => this._leadership.isLive(replicaId))
      if (live.length === 0) return undefined
      const caughtUp = live.find(({ replicaId }) => (this._leadership.progressOf(replicaId)?.matchIndex ?? 0) >= lastIndex)
      if (caughtUp) return caughtUp
      await this._leadership.acknowledged.wait(progress.scope, progress)
    }
    return undefined
  }

  private async _waitForNewLeader (progress: Progress): Promise<void> {
    while (!this._core.leader && !progress.isPastDeadline()) await this._core.leaderChanged.wait(progress.scope, progress)
  }
}
