/**
 * What endpoints say of themselves to this control host: heartbeats, and that
 * they leave.
 *
 * A confirmed leave promises something for all hosts, so it does not rest on
 * this one: it is confirmed once the log of the control hosts has noted it, and
 * every control host tells its followers. Told from the memory of one host, a
 * leave was unknown to the followers of the others whenever an endpoint, refused
 * by a host that was cut off, turned to one that had never heard of it: they
 * went on sending for 4 s and longer.
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
import { EndpointNews } from './endpointNews.js'
import type { FollowerSessions } from './followerSessions.js'

/** A control host that heard from no leader for so long may be cut off, and refuses leaves at once: the endpoint need not wait. */
const MAX_LEADERLESS_MS = 1_500
/** Endpoints turn to another control host after a second; the followers that are told of the leave then take up to 300 ms of it. */
const COMMIT_TIMEOUT_MS = 550

export interface EndpointAnnouncementsParts {
  node: ControlNode
  directory: EndpointDirectory
  leaderCalls: Pick<LeaderCalls, 'submit'>
  followers: Pick<FollowerSessions, 'announce' | 'tellLeave'>
  clock: Clock
  logger: Logger
}

export type AnnouncementOutcome =
  | { kind: 'noted' }
  /** A leave that no quorum has noted: the endpoint turns to another control host. */
  | { kind: 'unconfirmed', reason: string }

type CommitOutcome = { kind: 'committed', leave: EndpointLeave } | { kind: 'unconfirmed', reason: string }

export class EndpointAnnouncements {
  private readonly _parts: EndpointAnnouncementsParts

  constructor (parts: EndpointAnnouncementsParts) {
    this._parts = parts
  }

  async heartbeat (announced: FleetEndpoint, scope: Scope): Promise<AnnouncementOutcome> {
    const outcome = this._parts.directory.heartbeat(announced)
    if (outcome.kind === 'changed') {
      if (outcome.replaced) this._tell(outcome.replaced, EndpointNews.Endpoint)
      this._tell(outcome.endpoint, outcome.news)
    }
    const { name, bornAtMs, lifecycle } = announced
    if (lifecycle === EndpointLifecycle.Ready) return { kind: 'noted' }
    return await this._confirmLeave({ name, bornAtMs, lifecycle }, scope)
  }

  /** @param bornAtMs which start of the endpoint leaves, if it says; the newest that is known otherwise */
  async leave (name: string, bornAtMs: number | undefined, scope: Scope): Promise<AnnouncementOutcome> {
    const { directory } = this._parts
    const left = directory.leave(name, bornAtMs)
    if (left) this._tell(left, EndpointNews.Endpoint)
    return await this._confirmLeave({ name, bornAtMs: bornAtMs ?? directory.newestBornAtMs(name), lifecycle: EndpointLifecycle.Gone }, scope)
  }

  /** Followers of this host hear at once, also when nobody can confirm: less is sent to the endpoint in vain. */
  private _tell (endpoint: FleetEndpoint, news: EndpointNews): void {
    const { logger, followers } = this._parts
    const { endpointId, service, sequence, lifecycle } = endpoint
    logger.event(ControlEvent.EndpointChanged, { endpointId, service, sequence, lifecycle: EndpointLifecycle[lifecycle], news })
    followers.announce(endpoint, news)
  }

  private async _confirmLeave (request: EndpointLeaveRequest, scope: Scope): Promise<AnnouncementOutcome> {
    const { node, clock, followers, logger } = this._parts
    if (node.state.routing.leaves.find(request)) return { kind: 'noted' }
    const beganAtMs = clock.nowMs()
    const committed = await this._commit(request, scope)
    if (committed.kind === 'unconfirmed') {
      logger.event(ControlEvent.CommandUnanswered, { endpoint: request.name, reason: committed.reason })
      return committed
    }
    const { number, name, bornAtMs, lifecycle } = committed.leave
    const told = await followers.tellLeave(committed.leave, scope)
    logger.event(ControlEvent.LeaveConfirmed, { endpoint: name, bornAtMs, lifecycle: EndpointLifecycle[lifecycle], number, ...told, tookMs: clock.nowMs() - beganAtMs })
    return { kind: 'noted' }
  }

  private async _commit (request: EndpointLeaveRequest, scope: Scope): Promise<CommitOutcome> {
    const { clock, leaderCalls } = this._parts
    if (!this._isInTouch()) return { kind: 'unconfirmed', reason: 'no leader was heard from' }
    const progress = new Progress(clock, scope, clock.nowMs() + COMMIT_TIMEOUT_MS)
    const reply = await leaderCalls.submit({ kind: RoutingCommandKind.NoteLeave, leave: request }, progress)
    if (reply.kind !== 'committed') return { kind: 'unconfirmed', reason: 'reason' in reply ? reply.reason : 'no leader is known' }
    invariant('kind' in reply.result && reply.result.kind === 'leaveNoted', 'a leave that was noted is the result')
    return { kind: 'committed', leave: reply.result.leave }
  }

  private _isInTouch (): boolean {
    const { node, clock } = this._parts
    if (node.isLeader) return true
    return clock.nowMs() - node.replica.core.quietSinceMs < MAX_LEADERLESS_MS
  }
}
