/**
 * The hosts that follow this control host: what each was sent, who of them is
 * alive, and pushes as things change. Every follower keeps a connection to
 * every control host, so nothing has to pass between control hosts. A push goes
 * to many and is encoded once.
 */
import { UsageTally } from '../../duties/usageTally.js'
import { fleetUpdateMethod } from '../../transport/fleetMethods.js'
import { RpcPeer } from '../../transport/rpcPeer.js'
import type { EndpointLeave } from '../../protocol/endpointLeaves.js'
import { HostRole, type FleetEndpoint, type FleetHost, type FleetUpdate, type FollowReply, type FollowRequest } from '../../protocol/fleet.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import { unreachable } from '../../utils/errors.js'
import type { Logger } from '../../utils/logger.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import { ControlEvent } from '../controlEvents.js'
import type { ControlNode } from '../controlNode.js'
import type { EndpointDirectory } from './endpointDirectory.js'
import { EndpointNews } from './endpointNews.js'
import { HeardClocks } from './heardClocks.js'
import { HostChanges } from './hostChanges.js'
import { pusherOf, RoutingDelivery } from './routingPush.js'

/** A follower calls twice a second; three missing calls make it silent. */
export const FOLLOWER_SILENCE_MS = 1_600
const REVIEW_INTERVAL_MS = 200
/** Followers that begin within this time share one encoding of the list of hosts; a start of all of them brings hundreds in a second. */
const GATHER_MS = 20
/** How long a leaving endpoint waits until every follower has confirmed; a follower that is cut off must not hold it up. */
export const FOLLOWERS_CONFIRM_TIMEOUT_MS = 300
/** A host that is not back after so long, several times what connecting again takes, counts as gone. */
const LATELY_LOST_MS = 5_000

interface Session {
  peer: RpcPeer
  host: FleetHost
  heardAtMs: number
  routing: RoutingDelivery
  /** The control host that pushes the routing configuration to it, among these. */
  pusher: { members: string, address: string | undefined }
  sentStateRevision: number
  sentLeaveNumber: number
  sentQuarantineNumber: number
  sentControlAddresses: string
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
  /** What followers told of the use of client accounts. */
  readonly usage = new UsageTally()
  private readonly _parts: FollowerSessionsParts
  private readonly _sessions = new Map<RpcPeer, Session>()
  private readonly _hostChanges = new HostChanges()
  private readonly _clocks: HeardClocks
  /** By their id; those that followed again are taken out. */
  private readonly _lost = new Map<string, { host: FleetHost, lostAtMs: number }>()
  /** Followers that have not been told of the hosts yet. */
  private _newcomers: Session[] = []
  private _state: FleetUpdate = {}
  private _stateText = ''
  private _stateRevision = 0

  constructor (parts: FollowerSessionsParts) {
    this._parts = parts
    this._clocks = new HeardClocks(parts.clock)
  }

  /** Hosts that follow this one now. */
  hosts (): FleetHost[] {
    return this._hostChanges.all()
  }

  entryHostIds (): string[] {
    return this.hosts().filter(({ role }) => role === HostRole.Entry).map(({ hostId }) => hostId)
  }

  /** The time of day as most followers have it. */
  wallMs (): number {
    return this._clocks.wallMs()
  }

  storeHosts (): FleetHost[] {
    return this.hosts().filter(({ role }) => role === HostRole.Store)
  }

  /** Store hosts that followed this one until a while ago and may only be connecting again. */
  latelyLostStoreHosts (): FleetHost[] {
    const sinceMs = this._parts.clock.nowMs() - LATELY_LOST_MS
    for (const [hostId, { lostAtMs }] of this._lost) if (lostAtMs < sinceMs) this._lost.delete(hostId)
    return [...this._lost.values()].map(({ host }) => host).filter(({ role }) => role === HostRole.Store)
  }

  /** A call that says what the follower is comes first, or after one that was not answered in time: what stood in that reply is told again. */
  async follow (peer: RpcPeer, request: FollowRequest, progress: Progress): Promise<FollowReply> {
    const { clock } = this._parts
    const known = this._sessions.get(peer)
    const session = known ?? (request.host && this._open(peer, request.host))
    if (!session) return this._refuse(peer)
    if (request.host) this._describe(session, request.host)
    const lacksAll = request.host !== undefined
    if (lacksAll) forgetSent(session)
    session.heardAtMs = clock.nowMs()
    this._learn(session.host.hostId, request)
    const needsConfirmation = request.routingVersion === undefined
    const isRoutingConfirmed = needsConfirmation && await this._parts.confirm(progress)
    if (lacksAll) this._reviewState()
    const update = this._updateFor(session)
    const { routing } = this._parts.node.state
    if (routing.routing && session.routing.takeCall(request.routingVersion, routing.version)) update.routing = routing.routing
    if (lacksAll) update.endpoints = this._parts.directory.all()
    return { controlAddresses: this._controlAddressesFor(session), isRoutingConfirmed, fleetWallMs: Math.round(this.wallMs()), update }
  }

  private _learn (hostId: string, { wallMs, usage }: FollowRequest): void {
    if (wallMs !== undefined) this._clocks.learn(hostId, wallMs)
    if (usage) this.usage.learn(hostId, usage)
  }

  /** Tells followers of an endpoint. */
  announce (endpoint: FleetEndpoint, news: EndpointNews): void {
    const update = { endpoints: [endpoint] }
    switch (news) {
      case EndpointNews.Weights:
        return this._notify(update, HostRole.Store)
      case EndpointNews.Endpoint:
        return this._notify(update)
      default:
        return unreachable(news)
    }
  }

  /**
   * Tells followers of a leave that the log has noted, and waits for those that
   * answer soon. The others hear it from whichever control host they follow.
   * @returns how many followers this host has, and how many of them know
   */
  async tellLeave (leave: EndpointLeave, scope: Scope): Promise<{ followersCount: number, knowingCount: number }> {
    const { clock, logger } = this._parts
    const progress = new Progress(clock, scope, clock.nowMs() + FOLLOWERS_CONFIRM_TIMEOUT_MS)
    const calls = [...this._sessions.values()].map(async ({ peer, host }) => {
      const outcome = await peer.call(fleetUpdateMethod, { leaves: [leave] }, progress)
      if (outcome.kind !== 'replied') logger.event(ControlEvent.FollowerUnconfirmed, { hostId: host.hostId, reason: outcome.reason })
      return outcome.kind === 'replied'
    })
    const told = await Promise.all(calls)
    return { followersCount: told.length, knowingCount: told.filter(isKnowing => isKnowing).length }
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

  /** A follower says what it is when it begins. */
  private _refuse (peer: RpcPeer): FollowReply {
    peer.connection.close('the follower does not say what it is')
    return { isRoutingConfirmed: false, update: {} }
  }

  private _open (peer: RpcPeer, host: FleetHost): Session {
    const session = { peer, host, heardAtMs: 0, routing: new RoutingDelivery(), pusher: { members: '', address: undefined }, sentStateRevision: 0, sentLeaveNumber: 0, sentQuarantineNumber: 0, sentControlAddresses: '' }
    this._sessions.set(peer, session)
    this._lost.delete(host.hostId)
    this._hostChanges.set(host)
    // Not in the reply: what is pushed meanwhile must come after the whole list.
    if (this._newcomers.push(session) === 1) this._parts.clock.callAt(this._parts.clock.nowMs() + GATHER_MS, () => this._tellNewcomers())
    this._parts.logger.event(ControlEvent.FollowerJoined, { hostId: host.hostId, hostName: host.hostName, role: host.role })
    return session
  }

  private _tellNewcomers (): void {
    const newcomers = this._newcomers
    this._newcomers = []
    for (const role of Object.values(HostRole)) {
      const peers = newcomers.filter(({ host }) => host.role === role).map(({ peer }) => peer)
      if (peers.length > 0) RpcPeer.notifyAll(peers, fleetUpdateMethod, this._hostChanges.wholeFor(role))
    }
  }

  private _describe (session: Session, host: FleetHost): void {
    if (JSON.stringify(session.host) === JSON.stringify(host)) return
    session.host = host
    this._hostChanges.set(host)
  }

  private _close (peer: RpcPeer): void {
    const session = this._sessions.get(peer)
    if (!session) return
    this._sessions.delete(peer)
    const { hostId, hostName } = session.host
    // A host that has connected again follows by its newer connection.
    const newer = [...this._sessions.values()].findLast(({ host }) => host.hostId === hostId)
    if (newer) this._hostChanges.set(newer.host)
    else this._lose(session.host)
    this._parts.logger.event(ControlEvent.FollowerLost, { hostId, hostName, reason: peer.connection.scope.closeReason ?? '' })
  }

  private _lose (host: FleetHost): void {
    this._hostChanges.remove(host.hostId)
    this._lost.set(host.hostId, { host, lostAtMs: this._parts.clock.nowMs() })
  }

  private _forgetSilentEndpoints (): void {
    const silent = this._parts.directory.expire()
    for (const endpoint of silent) {
      this._parts.logger.event(ControlEvent.EndpointSilent, { endpointId: endpoint.endpointId, service: endpoint.service, sequence: endpoint.sequence })
    }
    if (silent.length > 0) this._notify({ silent: silent.map(({ endpointId, sequence }) => ({ endpointId, sequence })) })
  }

  /** @param role of the followers to tell; all of them without one */
  private _notify (update: FleetUpdate, role?: HostRole): void {
    const told = [...this._sessions.values()].filter(({ host }) => role === undefined || host.role === role)
    RpcPeer.notifyAll(told.map(({ peer }) => peer), fleetUpdateMethod, update)
  }

  private _pushToAll (): void {
    for (const { follower, update } of this._hostChanges.take()) this._notify(update, follower)
    this._pushRouting()
    this._reviewState()
    for (const session of this._sessions.values()) {
      const update = this._updateFor(session)
      if (Object.keys(update).length > 0) session.peer.notify(fleetUpdateMethod, update)
    }
  }

  /** To those that it falls to this host to tell; the others are told when they call and still lack it. */
  private _pushRouting (): void {
    const { routing, version } = this._parts.node.state.routing
    if (!routing) return
    const told = [...this._sessions.values()].filter(session => this._isPusherOf(session) && session.routing.takePush(version))
    RpcPeer.notifyAll(told.map(({ peer }) => peer), fleetUpdateMethod, { routing })
  }

  private _isPusherOf (session: Session): boolean {
    const { core } = this._parts.node.replica
    const members = core.members.map(({ peerAddress }) => peerAddress)
    const membersText = members.join(' ')
    if (session.pusher.members !== membersText) session.pusher = { members: membersText, address: pusherOf(session.host.hostId, members) }
    const own = core.members.find(({ replicaId }) => replicaId === core.replicaId)
    return own !== undefined && own.peerAddress === session.pusher.address
  }

  /** Once for all followers, and only then for each: most entries of the log change nothing here. */
  private _reviewState (): void {
    const { routing } = this._parts.node.state
    const state = { weights: routing.namedWeights(), storeGroup: routing.storeGroup, retirements: routing.retirements() }
    const stateText = JSON.stringify(state)
    if (stateText === this._stateText) return
    this._state = state
    this._stateText = stateText
    this._stateRevision++
  }

  /** What the session lacks of the replicated state besides the routing configuration; marks it as sent. */
  private _updateFor (session: Session): FleetUpdate {
    const { routing } = this._parts.node.state
    const update: FleetUpdate = {}
    if (session.sentStateRevision !== this._stateRevision) {
      Object.assign(update, this._state)
      session.sentStateRevision = this._stateRevision
    }
    if (routing.leaves.lastNumber !== session.sentLeaveNumber) {
      update.leaves = routing.leaves.since(session.sentLeaveNumber)
      session.sentLeaveNumber = routing.leaves.lastNumber
    }
    if (routing.ends.lastNumber !== session.sentQuarantineNumber) {
      update.quarantine = routing.ends.since(session.sentQuarantineNumber)
      session.sentQuarantineNumber = routing.ends.lastNumber
    }
    return update
  }

  private _controlAddressesFor (session: Session): string[] | undefined {
    const addresses = this._parts.node.replica.core.members.map(member => member.peerAddress)
    const text = addresses.join(' ')
    if (text === session.sentControlAddresses) return undefined
    session.sentControlAddresses = text
    return addresses
  }
}

function forgetSent (session: Session): void {
  session.sentStateRevision = 0
  session.sentLeaveNumber = 0
  session.sentQuarantineNumber = 0
  session.sentControlAddresses = ''
}
