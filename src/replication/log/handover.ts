/**
 * The planned end of a leadership: the leader takes no more proposals, waits
 * until the voter that is closest behind holds its whole log, gives its lease
 * up and tells that voter to stand for election at once (the leadership
 * transfer of Raft, Ongaro's thesis, 3.10). Without it the others would only
 * notice after an election timeout.
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

  /** Returns once another replica leads, no other can, or the deadline has passed. */
  async run (progress: Progress): Promise<void> {
    const { logger } = this._core.options
    this._leadership.isHandingOver = true
    const successor = await this._waitForCaughtUpVoter(progress)
    if (!successor) {
      // Nobody else can lead: going on is better than nobody leading.
      this._leadership.isHandingOver = false
      logger.event(ReplicationEvent.HandoverFailed, { term: this._leadership.term, reason: 'no other voter holds the whole log' })
      return
    }
    const { term } = this._leadership
    const request = { clusterId: this._core.clusterId ?? '', fromReplicaId: this._core.replicaId, toReplicaId: successor.replicaId, term }
    // The lease has to end before anybody may vote for the successor.
    this._core.stepDown(`handed over to ${successor.hostId}`)
    logger.event(ReplicationEvent.HandedOver, { term, hostId: successor.hostId })
    const outcome = await this._links.to(successor).call(campaignMethod, request, progress)
    if (outcome.kind === 'replied' && outcome.body.kind === 'campaigning') await this._waitForNewLeader(progress)
  }

  /** The live voter that has matched everything, once there is one. */
  private async _waitForCaughtUpVoter (progress: Progress): Promise<Member | undefined> {
    while (!progress.isOver() && !this._leadership.scope.isClosed) {
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
    while (!this._core.leader && !progress.isOver()) await this._core.leaderChanged.wait(progress.scope, progress)
  }
}
