/**
 * Handles the announcements of endpoints to this control host: heartbeats and
 * leaves.
 *
 * A confirmed departure holds for all hosts, so it must not depend on the memory of one
 * control host: a departure is confirmed once the replicated log has recorded it, and every
 * control host notifies its followers. If departures were kept in the memory of one host,
 * an endpoint that a partitioned control host refuses could turn to one that does not
 * know it, and followers of the others would go on sending to it for 4 s or longer.
 */
import type { EndpointLeave, EndpointLeaveRequest } from '../../protocol/endpointLeaves.js'
import { EndpointLifecycle, type FleetEndpoint } from '../../protocol/fleet.js'
import { RoutingCommandKind } from '../../protocol/routingCommands.js'
import type { Clock } from '../../utils/clock.js'
import { invariant } from '../../utils/errors.js'
import type { Logger } from '../../utils/logger.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import { ControlEvent } from '../controlEvents.js'
import type { ControlNode } from '../controlNode.js'
import type { LeaderCalls } from '../routing/leaderCalls.js'
import type { EndpointDirectory } from './endpointDirectory.js'
import { EndpointUpdateKind } from './endpointUpdateKind.js'
import type { FollowerSessions } from './followerSessions.js'

/** A control host without contact to a leader for this long may be partitioned; it refuses departures at once, so that the endpoint does not wait in vain. */
const MAX_LEADERLESS_MS = 1_500
/** Endpoints turn to another control host after 1 s, of which notifying the followers takes up to 300 ms. */
const COMMIT_TIMEOUT_MS = 550

export interface EndpointAnnouncementsOptions {
  node: ControlNode
  directory: EndpointDirectory
  leaderCalls: Pick<LeaderCalls, 'submit'>
  followers: Pick<FollowerSessions, 'announce' | 'tellLeave'>
  clock: Clock
  logger: Logger
}

export type AnnouncementOutcome =
  | { kind: 'noted' }
  /** No quorum has recorded the departure; the endpoint turns to another control host. */
  | { kind: 'unconfirmed', reason: string }

type CommitOutcome = { kind: 'committed', leave: EndpointLeave } | { kind: 'unconfirmed', reason: string }

export class EndpointAnnouncements {
  private readonly _options: EndpointAnnouncementsOptions

  constructor (options: EndpointAnnouncementsOptions) {
    this._options = options
  }

  async heartbeat (announced: FleetEndpoint, scope: Scope): Promise<AnnouncementOutcome> {
    const outcome = this._options.directory.heartbeat(announced)
    if (outcome.kind === 'changed') {
      if (outcome.replaced) this._notifyFollowers(outcome.replaced, EndpointUpdateKind.Endpoint)
      this._notifyFollowers(outcome.endpoint, outcome.news)
    }
    const { name, bornAtMs, lifecycle } = announced
    if (lifecycle === EndpointLifecycle.Ready) return { kind: 'noted' }
    return await this._confirmLeave({ name, bornAtMs, lifecycle }, scope)
  }

  /** @param bornAtMs start of the endpoint that leaves; the newest known start if undefined */
  async leave (name: string, bornAtMs: number | undefined, scope: Scope): Promise<AnnouncementOutcome> {
    const { directory } = this._options
    const left = directory.leave(name, bornAtMs)
    if (left) this._notifyFollowers(left, EndpointUpdateKind.Endpoint)
    return await this._confirmLeave({ name, bornAtMs: bornAtMs ?? directory.newestBornAtMs(name), lifecycle: EndpointLifecycle.Gone }, scope)
  }

  /** Notifies the followers of this host at once, even if no quorum can confirm, so that fewer requests go to a leaving endpoint. */
  private _notifyFollowers (endpoint: FleetEndpoint, updateKind: EndpointUpdateKind): void {
    const { logger, followers } = this._options
    const { endpointId, service, sequence, lifecycle } = endpoint
    logger.event(ControlEvent.EndpointChanged, { endpointId, service, sequence, lifecycle: EndpointLifecycle[lifecycle], news: updateKind })
    followers.announce(endpoint, updateKind)
  }

  private async _confirmLeave (request: EndpointLeaveRequest, scope: Scope): Promise<AnnouncementOutcome> {
    const { node, clock, followers, logger } = this._options
    if (node.state.routing.leaves.find(request)) return { kind: 'noted' }
    const startedAtMs = clock.nowMs()
    const committed = await this._commit(request, scope)
    if (committed.kind === 'unconfirmed') {
      logger.event(ControlEvent.CommandUnanswered, { endpoint: request.name, reason: committed.reason })
      return committed
    }
    const { number, name, bornAtMs, lifecycle } = committed.leave
    const confirmations = await followers.tellLeave(committed.leave, scope)
    logger.event(ControlEvent.LeaveConfirmed, { endpoint: name, bornAtMs, lifecycle: EndpointLifecycle[lifecycle], number, ...confirmations, tookMs: clock.nowMs() - startedAtMs })
    return { kind: 'noted' }
  }

  private async _commit (request: EndpointLeaveRequest, scope: Scope): Promise<CommitOutcome> {
    const { clock, leaderCalls } = this._options
    if (!this._hasRecentLeader()) return { kind: 'unconfirmed', reason: `no contact to a leader for ${MAX_LEADERLESS_MS} ms` }
    const progress = new Progress(clock, scope, clock.nowMs() + COMMIT_TIMEOUT_MS)
    const reply = await leaderCalls.submit({ kind: RoutingCommandKind.RecordLeave, leave: request }, progress)
    if (reply.kind !== 'committed') return { kind: 'unconfirmed', reason: 'reason' in reply ? reply.reason : 'no leader is known' }
    invariant('kind' in reply.result && reply.result.kind === 'leaveNoted', 'a committed leave command returns the recorded leave')
    return { kind: 'committed', leave: reply.result.leave }
  }

  private _hasRecentLeader (): boolean {
    const { node, clock } = this._options
    if (node.isLeader) return true
    return clock.nowMs() - node.replica.core.electionTimerStartedAtMs < MAX_LEADERLESS_MS
  }
}
