/**
 * Sessions of the hosts that follow this control host: tracks what each follower
 * has been sent and whether it is alive, and pushes updates. Every follower keeps
 * a connection to every control host, so control hosts need not exchange updates
 * with each other. A push to many followers is encoded once.
 */
import { ServiceTotalsTable } from '../../balancing/serviceTotals.js'
import { UsageTally } from '../../duties/usageTally.js'
import { fleetUpdateMethod } from '../../transport/fleetMethods.js'
import { RoutingPacker } from '../../transport/packedRouting.js'
import { RpcPeer } from '../../transport/rpcPeer.js'
import type { EndpointLeave } from '../../protocol/endpointLeaves.js'
import { HostRole, type FleetEndpoint, type FleetHost, type FleetUpdate, type FollowReply, type FollowRequest, type HostLoad } from '../../protocol/fleet.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import { unreachable } from '../../utils/errors.js'
import type { Logger } from '../../utils/logger.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import { ControlEvent } from '../controlEvents.js'
import type { ControlNode } from '../controlNode.js'
import type { EndpointDirectory } from './endpointDirectory.js'
import { EndpointUpdateKind } from './endpointUpdateKind.js'
import { HostClocks } from './hostClocks.js'
import { HostChanges } from './hostChanges.js'
import { pusherOf, RoutingDelivery } from './routingPush.js'

/** A follower calls twice a second; after three missed calls its connection is closed. */
export const FOLLOWER_TIMEOUT_MS = 1_600
const REVIEW_INTERVAL_MS = 200
/** Followers that connect within this time share one encoding of the host list; when a whole fleet starts, hundreds connect within a second. */
const HOST_LIST_BATCH_MS = 20
/** Figures of services that arrive within this time are summed together; when a service fills up, most hosts see it within a few tens of milliseconds. */
const TOTALS_BATCH_MS = 20
/** Limit for followers to confirm a departure, so that a disconnected follower does not delay the leaving endpoint. */
export const FOLLOWERS_CONFIRM_TIMEOUT_MS = 300
/** A host that has not reconnected within this time, several times what a reconnect takes, counts as lost. */
const RECENTLY_LOST_MS = 5_000

interface Session {
  peer: RpcPeer
  host: FleetHost
  /** Undefined until the follower has reported a load. */
  load: HostLoad | undefined
  heardAtMs: number
  routing: RoutingDelivery
  acceptsPackedRouting: boolean
  /** Address of the control host that pushes the routing configuration to this follower, chosen among these members. */
  pusher: { members: string, address: string | undefined }
  sentStateRevision: number
  sentLeaveNumber: number
  sentQuarantineNumber: number
  sentControlAddresses: string
}

export interface FollowerSessionsOptions {
  node: ControlNode
  directory: EndpointDirectory
  clock: Clock
  logger: Logger
  /** Whether a quorum confirms that this host's state is current. */
  confirm: (progress: Progress) => Promise<boolean>
}

export class FollowerSessions {
  /** Usage of client accounts as reported by followers. */
  readonly usage = new UsageTally()
  private readonly _options: FollowerSessionsOptions
  private readonly _sessions = new Map<RpcPeer, Session>()
  private readonly _hostChanges = new HostChanges()
  private readonly _packer = new RoutingPacker()
  private readonly _clocks: HostClocks
  private readonly _serviceTotals = new ServiceTotalsTable()
  private _isTellingTotals = false
  /** Lost hosts by id; a host is removed when it reconnects. */
  private readonly _lost = new Map<string, { host: FleetHost, lostAtMs: number }>()
  /** Followers that have not received the host list yet. */
  private _newcomers: Session[] = []
  private _state: FleetUpdate = {}
  private _stateText = ''
  private _stateRevision = 0

  constructor (options: FollowerSessionsOptions) {
    this._options = options
    this._clocks = new HostClocks(options.clock)
  }

  /** Hosts that follow this control host now. */
  hosts (): FleetHost[] {
    return this._hostChanges.all()
  }

  entryHostIds (): string[] {
    return this.hosts().filter(({ role }) => role === HostRole.Entry).map(({ hostId }) => hostId)
  }

  /** The time of day: the median of the followers' clocks and this host's own. */
  wallMs (): number {
    return this._clocks.wallMs()
  }

  storeHosts (): FleetHost[] {
    return this.hosts().filter(({ role }) => role === HostRole.Store)
  }

  /** Store hosts that were disconnected recently and may be reconnecting. */
  recentlyLostStoreHosts (): FleetHost[] {
    const sinceMs = this._options.clock.nowMs() - RECENTLY_LOST_MS
    for (const [hostId, { lostAtMs }] of this._lost) if (lostAtMs < sinceMs) this._lost.delete(hostId)
    return [...this._lost.values()].map(({ host }) => host).filter(({ role }) => role === HostRole.Store)
  }

  /**
   * Answers a call of a follower. The first call, and one after a call that was not answered
   * in time, carries the follower's description; the reply then repeats the full state.
   */
  async follow (peer: RpcPeer, request: FollowRequest, progress: Progress): Promise<FollowReply> {
    const { clock } = this._options
    const known = this._sessions.get(peer)
    const session = known ?? (request.host && this._openSession(peer, request.host, request.acceptsPackedRouting === true))
    if (!session) return this._refuse(peer)
    if (request.host) this._updateHost(session, request.host)
    if (request.load) this._updateLoad(session, request.load)
    const needsFullUpdate = request.host !== undefined
    if (needsFullUpdate) resetSent(session)
    session.heardAtMs = clock.nowMs()
    this._recordReport(session.host.hostId, request)
    const needsConfirmation = request.routingVersion === undefined
    const isRoutingConfirmed = needsConfirmation && await this._options.confirm(progress)
    if (needsFullUpdate) this._refreshState()
    const update = this._updateFor(session)
    this._sendRoutingIfLacking(session, request.routingVersion, update)
    if (needsFullUpdate) update.endpoints = this._options.directory.all()
    const confirmedRoutingVersion = isRoutingConfirmed ? this._options.node.state.routing.routing?.version : undefined
    return { controlAddresses: this._controlAddressesFor(session), isRoutingConfirmed, confirmedRoutingVersion, fleetWallMs: Math.round(this.wallMs()), update }
  }

  /** Pushes the configuration, so that it counts also when the reply comes too late; a follower that takes only replies gets it with the reply. */
  private _sendRoutingIfLacking (session: Session, knownVersion: number | undefined, reply: FleetUpdate): void {
    const { routing, version } = this._options.node.state.routing
    if (!routing || !session.routing.recordCall(knownVersion, version)) return
    if (session.acceptsPackedRouting) session.peer.notify(fleetUpdateMethod, { packedRouting: this._packer.of(routing) })
    else reply.routing = routing
  }

  private _recordReport (hostId: string, { wallMs, usage, services = [] }: FollowRequest): void {
    if (wallMs !== undefined) this._clocks.record(hostId, wallMs)
    if (usage) this.usage.addReport(hostId, usage)
    for (const figures of services) this._serviceTotals.record(hostId, figures)
    if (services.length > 0) this._tellTotalsSoon()
  }

  private _tellTotalsSoon (): void {
    if (this._isTellingTotals) return
    this._isTellingTotals = true
    this._options.clock.callAt(this._options.clock.nowMs() + TOTALS_BATCH_MS, () => {
      this._isTellingTotals = false
      this._tellTotals()
    })
  }

  /** Entry hosts take the requests of callers, so they are the ones to let in or refuse. */
  private _tellTotals (): void {
    const { clock, logger } = this._options
    const { due, begun, ended } = this._serviceTotals.takeDue(clock.nowMs(), Math.round(this.wallMs()))
    if (due.length > 0) this._notify({ serviceTotals: due }, HostRole.Entry)
    for (const service of begun) logger.event(ControlEvent.ServiceFiguresHeld, { service, isHeld: true })
    for (const service of ended) logger.event(ControlEvent.ServiceFiguresHeld, { service, isHeld: false })
  }

  /** Notifies the followers that need this kind of update about an endpoint. */
  announce (endpoint: FleetEndpoint, updateKind: EndpointUpdateKind): void {
    const update = { endpoints: [endpoint] }
    switch (updateKind) {
      case EndpointUpdateKind.Weights:
        return this._notify(update, HostRole.Store)
      case EndpointUpdateKind.Endpoint:
        return this._notify(update)
      default:
        return unreachable(updateKind)
    }
  }

  /**
   * Notifies followers of a recorded departure and waits until they confirm or the time limit
   * passes. The other followers receive the departure from any control host that they follow.
   * @returns the number of followers of this host, and how many of them confirmed
   */
  async tellLeave (leave: EndpointLeave, scope: Scope): Promise<{ followersCount: number, knowingCount: number }> {
    const { clock, logger } = this._options
    const progress = new Progress(clock, scope, clock.nowMs() + FOLLOWERS_CONFIRM_TIMEOUT_MS)
    const calls = [...this._sessions.values()].map(async ({ peer, host }) => {
      const outcome = await peer.call(fleetUpdateMethod, { leaves: [leave] }, progress)
      if (outcome.kind !== 'replied') logger.event(ControlEvent.FollowerUnconfirmed, { hostId: host.hostId, reason: outcome.reason })
      return outcome.kind === 'replied'
    })
    const confirmations = await Promise.all(calls)
    return { followersCount: confirmations.length, knowingCount: confirmations.filter(isConfirmed => isConfirmed).length }
  }

  /** Pushes changes of the replicated state as they are applied. */
  async pushChanges (scope: Scope): Promise<void> {
    for (;;) {
      await this._options.node.replica.applied.wait(scope)
      this._pushToAll()
    }
  }

  /** Closes the connections of silent followers and removes silent endpoints. */
  async review (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + REVIEW_INTERVAL_MS)
      for (const session of this._sessions.values()) {
        if (clock.nowMs() - session.heardAtMs > FOLLOWER_TIMEOUT_MS) session.peer.connection.close('the follower is silent')
      }
      this._forgetSilentEndpoints()
      this._tellTotals()
      this._pushToAll()
    }
  }

  /** Ends the session when the connection closes. */
  watch (peer: RpcPeer): void {
    peer.connection.scope.onClose(() => this._closeSession(peer))
  }

  /** Closes the connection of a follower that did not send its description in the first call. */
  private _refuse (peer: RpcPeer): FollowReply {
    peer.connection.close('the first call of a follower lacks its host description')
    return { isRoutingConfirmed: false, update: {} }
  }

  private _openSession (peer: RpcPeer, host: FleetHost, acceptsPackedRouting: boolean): Session {
    const session = { peer, host, load: undefined, heardAtMs: 0, routing: new RoutingDelivery(acceptsPackedRouting), acceptsPackedRouting, pusher: { members: '', address: undefined }, sentStateRevision: 0, sentLeaveNumber: 0, sentQuarantineNumber: 0, sentControlAddresses: '' }
    this._sessions.set(peer, session)
    this._lost.delete(host.hostId)
    this._hostChanges.set(host)
    // The list is pushed instead of being part of the reply, so that updates pushed meanwhile arrive after it.
    if (this._newcomers.push(session) === 1) this._options.clock.callAt(this._options.clock.nowMs() + HOST_LIST_BATCH_MS, () => this._sendHostLists())
    this._options.logger.event(ControlEvent.FollowerJoined, { hostId: host.hostId, hostName: host.hostName, role: host.role })
    return session
  }

  private _sendHostLists (): void {
    const newcomers = this._newcomers
    this._newcomers = []
    for (const role of Object.values(HostRole)) {
      const peers = newcomers.filter(({ host }) => host.role === role).map(({ peer }) => peer)
      if (peers.length > 0) RpcPeer.notifyAll(peers, fleetUpdateMethod, this._hostChanges.fullListFor(role))
    }
  }

  private _updateHost (session: Session, host: FleetHost): void {
    if (JSON.stringify(session.host) === JSON.stringify(host)) return
    session.host = host
    this._hostChanges.set(describedHost(session))
  }

  private _updateLoad (session: Session, load: HostLoad): void {
    session.load = load
    this._hostChanges.setLoad(session.host.hostId, load)
  }

  private _closeSession (peer: RpcPeer): void {
    const session = this._sessions.get(peer)
    if (!session) return
    this._sessions.delete(peer)
    const { hostId, hostName } = session.host
    // A host that has already reconnected continues with its newer connection.
    const newer = [...this._sessions.values()].findLast(({ host }) => host.hostId === hostId)
    if (newer) this._hostChanges.set(describedHost(newer))
    else this._recordLostHost(session.host)
    this._options.logger.event(ControlEvent.FollowerLost, { hostId, hostName, reason: peer.connection.scope.closeReason ?? '' })
  }

  private _recordLostHost (host: FleetHost): void {
    this._hostChanges.remove(host.hostId)
    this._lost.set(host.hostId, { host, lostAtMs: this._options.clock.nowMs() })
  }

  private _forgetSilentEndpoints (): void {
    const silent = this._options.directory.expire()
    for (const endpoint of silent) {
      this._options.logger.event(ControlEvent.EndpointSilent, { endpointId: endpoint.endpointId, service: endpoint.service, sequence: endpoint.sequence })
    }
    if (silent.length > 0) this._notify({ silent: silent.map(({ endpointId, sequence }) => ({ endpointId, sequence })) })
  }

  /** @param role of the followers to notify; all followers if undefined */
  private _notify (update: FleetUpdate, role?: HostRole): void {
    const recipients = [...this._sessions.values()].filter(({ host }) => role === undefined || host.role === role)
    RpcPeer.notifyAll(recipients.map(({ peer }) => peer), fleetUpdateMethod, update)
  }

  private _pushToAll (): void {
    for (const { follower, update } of this._hostChanges.takePending()) this._notify(update, follower)
    this._pushRouting()
    this._refreshState()
    for (const session of this._sessions.values()) {
      const update = this._updateFor(session)
      if (Object.keys(update).length > 0) session.peer.notify(fleetUpdateMethod, update)
    }
  }

  /** Pushes to the followers assigned to this host; the others get the configuration in a reply if they still lack it. */
  private _pushRouting (): void {
    const { routing, version } = this._options.node.state.routing
    if (!routing) return
    const recipients = [...this._sessions.values()].filter(session => this._isPusherOf(session) && session.routing.recordPush(version))
    if (recipients.length === 0) return
    const packed = recipients.filter(({ acceptsPackedRouting }) => acceptsPackedRouting)
    const plain = recipients.filter(({ acceptsPackedRouting }) => !acceptsPackedRouting)
    RpcPeer.notifyAll(packed.map(({ peer }) => peer), fleetUpdateMethod, { packedRouting: this._packer.of(routing) })
    RpcPeer.notifyAll(plain.map(({ peer }) => peer), fleetUpdateMethod, { routing })
  }

  private _isPusherOf (session: Session): boolean {
    const { core } = this._options.node.replica
    const members = core.members.map(({ peerAddress }) => peerAddress)
    const membersText = members.join(' ')
    if (session.pusher.members !== membersText) session.pusher = { members: membersText, address: pusherOf(session.host.hostId, members) }
    const own = core.members.find(({ replicaId }) => replicaId === core.replicaId)
    return own !== undefined && own.peerAddress === session.pusher.address
  }

  /** Detects changes once for all followers, because most log entries change nothing here. */
  private _refreshState (): void {
    const { routing } = this._options.node.state
    const state = { weights: routing.namedWeights(), storeGroup: routing.storeGroup, retirements: routing.retirements() }
    const stateText = JSON.stringify(state)
    if (stateText === this._stateText) return
    this._state = state
    this._stateText = stateText
    this._stateRevision++
  }

  /** The replicated state that the session lacks, except for the routing configuration; marks it as sent. */
  private _updateFor (session: Session): FleetUpdate {
    const { routing } = this._options.node.state
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
    const addresses = this._options.node.replica.core.members.map(member => member.peerAddress)
    const text = addresses.join(' ')
    if (text === session.sentControlAddresses) return undefined
    session.sentControlAddresses = text
    return addresses
  }
}

/** The description of a follower together with its load. */
function describedHost ({ host, load }: Session): FleetHost {
  return load ? { ...host, load } : host
}

function resetSent (session: Session): void {
  session.sentStateRevision = 0
  session.sentLeaveNumber = 0
  session.sentQuarantineNumber = 0
  session.sentControlAddresses = ''
}
