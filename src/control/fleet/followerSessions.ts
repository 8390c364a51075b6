/**
 * The hosts that follow this control host: what each was sent, who of them is
 * alive, and pushes as things change. Every follower keeps a connection to
 * every control host, so nothing has to pass between control hosts.
 */
import { fleetUpdateMethod } from '../../transport/fleetMethods.js'
import type { RpcPeer } from '../../transport/rpcPeer.js'
import { HostRole, type FleetEndpoint, type FleetHost, type FleetUpdate, type FollowReply, type FollowRequest } from '../../protocol/fleet.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import { ScopeClosedError } from '../../utils/errors.js'
import type { Logger } from '../../utils/logger.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import { ControlEvent } from '../controlEvents.js'
import type { ControlNode } from '../controlNode.js'
import { NO_ROUTING_VERSION } from '../routing/routingState.js'
import type { EndpointDirectory } from './endpointDirectory.js'

/** A follower calls twice a second; three missing calls make it silent. */
export const FOLLOWER_SILENCE_MS = 1_600
const REVIEW_INTERVAL_MS = 200
/** How long a leaving endpoint waits until every follower has confirmed; a follower that is cut off must not hold it up. */
const CONFIRM_TIMEOUT_MS = 300

interface Session {
  peer: RpcPeer
  host: FleetHost
  heardAtMs: number
  sentRoutingVersion: number
  sentState: string
  sentHostsRevision: number
}

export interface FollowerSessionsParts {
  node: ControlNode
  directory: EndpointDirectory
  clock: Clock
  logger: Logger
  /** Whether a quorum confirms that this host's state is current. */
  confirm: (progress: Progress) => Promise<boolean>
}

export class FollowerSessions {
  private readonly _parts: FollowerSessionsParts
  private readonly _sessions = new Map<RpcPeer, Session>()
  private _hostsRevision = 1

  constructor (parts: FollowerSessionsParts) {
    this._parts = parts
  }

  /** Hosts that follow this one now. */
  hosts (): FleetHost[] {
    return [...this._sessions.values()].map(({ host }) => host)
  }

  storeHosts (): FleetHost[] {
    return this.hosts().filter(({ role }) => role === HostRole.Store)
  }

  async follow (peer: RpcPeer, request: FollowRequest, progress: Progress): Promise<FollowReply> {
    const { clock, node } = this._parts
    const known = this._sessions.get(peer)
    const session = known ?? this._open(peer, request.host)
    if (JSON.stringify(session.host) !== JSON.stringify(request.host)) this._hostsRevision++
    session.host = request.host
    session.heardAtMs = clock.nowMs()
    const needsConfirmation = request.routingVersion === undefined
    const isRoutingConfirmed = needsConfirmation && await this._parts.confirm(progress)
    session.sentRoutingVersion = Math.min(session.sentRoutingVersion, request.routingVersion ?? NO_ROUTING_VERSION)
    const update = this._updateFor(session)
    if (!known) update.endpoints = this._parts.directory.all()
    const controlAddresses = node.replica.core.members.map(member => member.peerAddress)
    return { controlAddresses, isRoutingConfirmed, update }
  }

  /** Tells every follower of an endpoint; waits for those that answer soon when asked to. */
  async announce (endpoint: FleetEndpoint, scope: Scope): Promise<void> {
    await this._callAll({ endpoints: [endpoint] }, scope)
  }

  /** Pushes what the replicated state changes, as it is applied. */
  async pushChanges (scope: Scope): Promise<void> {
    for (;;) {
      await this._parts.node.replica.applied.wait(scope)
      this._pushToAll()
    }
  }

  /** Ends sessions of silent followers and forgets silent endpoints. */
  async review (scope: Scope): Promise<void> {
    const { clock } = this._parts
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + REVIEW_INTERVAL_MS)
      for (const session of this._sessions.values()) {
        if (clock.nowMs() - session.heardAtMs > FOLLOWER_SILENCE_MS) session.peer.connection.close('the follower is silent')
      }
      this._forgetSilentEndpoints()
      this._pushToAll()
    }
  }

  /** Ends the session of a connection that closes. */
  watch (peer: RpcPeer): void {
    peer.connection.scope.onClose(() => this._close(peer))
  }

  private _open (peer: RpcPeer, host: FleetHost): Session {
    const session = { peer, host, heardAtMs: 0, sentRoutingVersion: NO_ROUTING_VERSION, sentState: '', sentHostsRevision: 0 }
    this._sessions.set(peer, session)
    this._hostsRevision++
    this._parts.logger.event(ControlEvent.FollowerJoined, { hostId: host.hostId, hostName: host.hostName, role: host.role })
    return session
  }

  private _close (peer: RpcPeer): void {
    const session = this._sessions.get(peer)
    if (!session) return
    this._sessions.delete(peer)
    this._hostsRevision++
    const reason = peer.connection.scope.closeReason ?? ''
    this._parts.logger.event(ControlEvent.FollowerLost, { hostId: session.host.hostId, hostName: session.host.hostName, reason })
  }

  private _forgetSilentEndpoints (): void {
    const silent = this._parts.directory.expire()
    for (const endpoint of silent) {
      this._parts.logger.event(ControlEvent.EndpointSilent, { endpointId: endpoint.endpointId, service: endpoint.service, sequence: endpoint.sequence })
    }
    if (silent.length === 0) return
    const update = { silent: silent.map(({ endpointId, sequence }) => ({ endpointId, sequence })) }
    for (const { peer } of this._sessions.values()) peer.notify(fleetUpdateMethod, update)
  }

  private _pushToAll (): void {
    for (const session of this._sessions.values()) {
      const update = this._updateFor(session)
      if (Object.keys(update).length > 0) session.peer.notify(fleetUpdateMethod, update)
    }
  }

  /** What the session lacks; marks it as sent. A follower that lost it asks again by its version. */
  private _updateFor (session: Session): FleetUpdate {
    const { routing } = this._parts.node.state
    const update: FleetUpdate = {}
    if (routing.routing && routing.version > session.sentRoutingVersion) {
      update.routing = routing.routing
      session.sentRoutingVersion = routing.version
    }
    const state = { weights: routing.namedWeights(), storeGroup: routing.storeGroup, retirements: routing.retirements() }
    const stateText = JSON.stringify(state)
    if (stateText !== session.sentState) {
      Object.assign(update, state)
      session.sentState = stateText
    }
    if (session.sentHostsRevision !== this._hostsRevision) {
      update.hosts = this.hosts()
      session.sentHostsRevision = this._hostsRevision
    }
    return update
  }

  private async _callAll (update: FleetUpdate, scope: Scope): Promise<void> {
    const { clock } = this._parts
    const progress = new Progress(clock, scope, clock.nowMs() + CONFIRM_TIMEOUT_MS)
    const calls = [...this._sessions.values()].map(async ({ peer, host }) => {
      const outcome = await peer.call(fleetUpdateMethod, update, progress)
      if (outcome.kind !== 'replied') this._parts.logger.event(ControlEvent.FollowerUnconfirmed, { hostId: host.hostId, reason: outcome.reason })
    })
    await Promise.all(calls).catch(error => {
      if (!(error instanceof ScopeClosedError)) throw error
    })
  }
}
