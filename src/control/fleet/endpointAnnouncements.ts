/**
 * What endpoints say of themselves to this control host: heartbeats, and that
 * they leave. Whoever leaves is answered once it may stop.
 */
import { EndpointLifecycle, type FleetEndpoint } from '../../protocol/fleet.js'
import type { Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import type { Scope } from '../../utils/scope.js'
import { ControlEvent } from '../controlEvents.js'
import type { ControlNode } from '../controlNode.js'
import type { EndpointDirectory } from './endpointDirectory.js'
import { EndpointNews } from './endpointNews.js'
import type { FollowerSessions } from './followerSessions.js'

/** A control host that heard from no leader for so long may be cut off, and must not confirm that an endpoint leaves. */
const MAX_LEADERLESS_MS = 1_500

export interface EndpointAnnouncementsParts {
  node: ControlNode
  directory: EndpointDirectory
  followers: Pick<FollowerSessions, 'announce'>
  clock: Clock
  logger: Logger
}

export type AnnouncementOutcome =
  | { kind: 'noted' }
  /** A leave that this host cannot confirm: the endpoint turns to another one. */
  | { kind: 'unconfirmed', reason: string }

export class EndpointAnnouncements {
  private readonly _parts: EndpointAnnouncementsParts

  constructor (parts: EndpointAnnouncementsParts) {
    this._parts = parts
  }

  async heartbeat (announced: FleetEndpoint, scope: Scope): Promise<AnnouncementOutcome> {
    if (announced.lifecycle !== EndpointLifecycle.Ready && !this._isInTouch()) return this._refuse(announced.name)
    const outcome = this._parts.directory.heartbeat(announced)
    if (outcome.kind === 'changed') {
      if (outcome.replaced) await this._tell(outcome.replaced, EndpointNews.Endpoint, scope)
      await this._tell(outcome.endpoint, outcome.news, scope)
    }
    return { kind: 'noted' }
  }

  /** @param bornAtMs which start of the endpoint leaves, if it says */
  async leave (name: string, bornAtMs: number | undefined, scope: Scope): Promise<AnnouncementOutcome> {
    if (!this._isInTouch()) return this._refuse(name)
    const left = this._parts.directory.leave(name, bornAtMs)
    if (left) await this._tell(left, EndpointNews.Leaving, scope)
    return { kind: 'noted' }
  }

  /** An endpoint that leaves is confirmed once every follower that can be reached knows. */
  private async _tell (endpoint: FleetEndpoint, news: EndpointNews, scope: Scope): Promise<void> {
    const { logger, followers } = this._parts
    const { endpointId, service, sequence, lifecycle } = endpoint
    logger.event(ControlEvent.EndpointChanged, { endpointId, service, sequence, lifecycle: EndpointLifecycle[lifecycle], news })
    await followers.announce(endpoint, news, scope)
  }

  private _refuse (name: string): AnnouncementOutcome {
    const reason = 'no leader was heard from'
    this._parts.logger.event(ControlEvent.CommandUnanswered, { endpoint: name, reason })
    return { kind: 'unconfirmed', reason }
  }

  private _isInTouch (): boolean {
    const { node, clock } = this._parts
    if (node.isLeader) return true
    return clock.nowMs() - node.replica.core.quietSinceMs < MAX_LEADERLESS_MS
  }
}
