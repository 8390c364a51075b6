/**
 * Follows all control hosts at the same time, with one task and one connection
 * each. Updates of all control hosts are merged into the view, so that a single control
 * host that is disconnected, slow or outdated does not delay this host.
 */
import type { FleetHost, FleetUpdate, FollowReply, HostLoad, PackedRouting } from '../protocol/fleet.js'
import type { ServiceFigures, ServiceTotals } from '../protocol/serviceFigures.js'
import type { UsageReport } from '../protocol/usage.js'
import type { Routing } from '../protocol/routing.js'
import type { Transport } from '../transport/connection.js'
import { fleetUpdateMethod, followMethod } from '../transport/fleetMethods.js'
import { unpackRouting } from '../transport/packedRouting.js'
import { RpcHandlers, RpcPeer } from '../transport/rpcPeer.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import type { Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import { rendezvousChoice } from '../utils/rendezvous.js'
import type { Scope } from '../utils/scope.js'
import { Signal } from '../utils/signal.js'
import type { Supervisor } from '../utils/supervisor.js'
import { FleetEvent } from './fleetEvents.js'
import { FleetTime } from './fleetTime.js'
import type { FleetView } from './fleetView.js'

/** Three calls fit into the time after which a control host considers a follower silent. */
const FOLLOW_INTERVAL_MS = 500
/**
 * The interval while only a configuration is known that no quorum has confirmed: the host serves nothing until a quorum
 * has confirmed one. A control host delays its reply to such a call for up to 350 ms until it can confirm, so that a follower makes no more than
 * about three calls a second. With the usual interval, each call that just missed the election of the leader would
 * cost another 150 ms.
 */
const UNCONFIRMED_INTERVAL_MS = 100
const FOLLOW_TIMEOUT_MS = 600
const CONNECT_TIMEOUT_MS = 600
const RECONNECT_PAUSE_MS = 150
/** Consecutive calls without a reply after which a connection is replaced. */
const MAX_UNANSWERED_COUNT = 2
/**
 * Time within which a follower whose calls are answered by a majority of the control
 * hosts knows of a confirmed departure, even if every push of it is lost: a majority has
 * the departure in its log, and the follower reaches at least one of these hosts. That
 * host applies the departure (20 ms after the commit, or 150 ms with the next heartbeat of the
 * log), and the reply to the next call contains the departure.
 */
export const LEAVE_KNOWN_WITHIN_MS = 150 + FOLLOW_INTERVAL_MS + FOLLOW_TIMEOUT_MS
/** A host that has waited this long for a confirmed routing configuration accepts an unconfirmed one: without a quorum, none will be confirmed. */
const ACCEPT_UNCONFIRMED_AFTER_MS = 3_000
/** The same while a control host that has not answered yet accepts connections. It may be frozen; if it is only slow, it most likely knows a newer configuration than the hosts that answered. */
const ACCEPT_OUTDATED_AFTER_MS = 8_000
/** A control host whose calls are not answered for this time, two calls and a timeout, holds no figures of services any more. */
const HOLDER_TIMEOUT_MS = 2 * FOLLOW_INTERVAL_MS + FOLLOW_TIMEOUT_MS
/** A control host that has been in no list of members for this long is no longer followed. */
const FORGET_ADDRESS_AFTER_MS = 30_000

export interface FleetFollowerOptions {
  clock: Clock
  transport: Transport
  logger: Logger
  supervisor: Supervisor
  view: FleetView
  /** Addresses of the control hosts from the settings. */
  seedAddresses: string[]
  /** Configured bound for leaving endpoints: they get no requests later than this after their departure was confirmed. */
  drainMs?: number
  /** Returns the current description of this host. */
  describe: () => FleetHost
  /** Returns the current load of this host: the same object until it changes; absent or undefined while nothing is to report. */
  describeLoad?: () => HostLoad | undefined
  /** Source of the usage of client accounts, if this host counts usage: all counts that changed since a revision. */
  usage?: { reportSince: (revision: number) => { revision: number, report: UsageReport } } | undefined
  /** Counts how full services are, and gets the sums over all hosts, if this host uses services. */
  services?: ServiceFiguresExchange | undefined
  onFatal: (error: unknown) => void
}

export interface ServiceFiguresExchange {
  /** The figures to send with the next call to a control host; marks them as sent. */
  takeDue: (address: string, holderOf: (service: string) => string | undefined) => ServiceFigures[]
  receive: (totals: readonly ServiceTotals[]) => void
}

interface FollowedHost {
  scope: Scope
  /** When the control host was last in a list of members. */
  lastListedAtMs: number
  /** The control hosts that this control host listed in its latest reply with a list. */
  listedAddresses: string[]
  /** When the latest answered call was made. */
  lastAnsweredCallAtMs: number
  lastConnectedAtMs: number
  /** Notified when this control host is to be called at once. */
  callDue: Signal
}

/** The reports that were sent over a connection and answered. */
interface SentReports {
  usageRevision: number
  usageSettledBefore: number
  load: HostLoad | undefined
}

export class FleetFollower {
  /** The time of day of the fleet. */
  readonly time: FleetTime
  private readonly _options: FleetFollowerOptions
  private readonly _followed = new Map<string, FollowedHost>()
  private readonly _startedAtMs: number
  private _unconfirmed: Routing | undefined

  constructor (options: FleetFollowerOptions) {
    this._options = options
    this._startedAtMs = options.clock.nowMs()
    this.time = new FleetTime(options.clock)
  }

  start (): void {
    const { drainMs, logger } = this._options
    if (drainMs !== undefined && drainMs < LEAVE_KNOWN_WITHIN_MS) logger.event(FleetEvent.LeaveBoundShort, { drainMs, knownWithinMs: LEAVE_KNOWN_WITHIN_MS })
    this.follow(this._options.seedAddresses)
  }

  /** Addresses of the control hosts that are followed now. */
  get addresses (): string[] {
    return [...this._followed.keys()]
  }

  /** Time since a majority of the control hosts last answered, in milliseconds. Later decisions may be unknown to this host. */
  disconnectedMs (): number {
    const answered = [...this._followed.values()].map(({ lastAnsweredCallAtMs }) => lastAnsweredCallAtMs).sort((left, right) => right - left)
    const majorityAnsweredAtMs = answered[Math.floor(answered.length / 2)] ?? Number.NEGATIVE_INFINITY
    return this._options.clock.nowMs() - majorityAnsweredAtMs
  }

  /** Calls all control hosts immediately, as the description of this host has changed. */
  announceChange (): void {
    for (const { callDue } of this._followed.values()) callDue.notify()
  }

  /** Sends the figures of a service to their holder at once. */
  announceFigures (service: string): void {
    const holder = this._holderOf(service)
    if (holder !== undefined) this._followed.get(holder)?.callDue.notify()
  }

  /** Starts to follow these control hosts, in addition to the current ones. */
  follow (addresses: string[]): void {
    const nowMs = this._options.clock.nowMs()
    for (const address of addresses) {
      const followed = this._followed.get(address)
      if (followed) followed.lastListedAtMs = nowMs
      else this._startFollowing(address)
    }
  }

  private _startFollowing (address: string): void {
    const { supervisor, clock } = this._options
    const scope = supervisor.spawn(`control host ${address}`, taskScope => this._run(address, taskScope))
    this._followed.set(address, {
      scope,
      lastListedAtMs: clock.nowMs(),
      listedAddresses: [],
      lastAnsweredCallAtMs: Number.NEGATIVE_INFINITY,
      lastConnectedAtMs: Number.NEGATIVE_INFINITY,
      callDue: new Signal()
    })
  }

  private async _run (address: string, scope: Scope): Promise<void> {
    const { clock, view, logger } = this._options
    for (;;) {
      const peer = await this._connect(address, scope)
      if (peer) {
        logger.event(FleetEvent.ControlHostFollowed, { address })
        this._recordConnected(address)
        await this._followOver(peer, address, scope)
        view.removeHostsOf(address)
        logger.event(FleetEvent.ControlHostLost, { address, reason: peer.connection.scope.closeReason ?? '' })
      }
      await sleepUntil(clock, scope, clock.nowMs() + RECONNECT_PAUSE_MS)
    }
  }

  /** Repeats the call until the connection is lost or several calls in a row are not answered. */
  private async _followOver (peer: RpcPeer, address: string, scope: Scope): Promise<void> {
    const { clock } = this._options
    let unansweredCount = 0
    /** The description of this host in the last call, if that call was answered. Otherwise the description is sent again, and the control host replies with its complete state. */
    let sentDescription = ''
    const sent: SentReports = { usageRevision: 0, usageSettledBefore: Number.NEGATIVE_INFINITY, load: undefined }
    while (!peer.connection.scope.isClosed && unansweredCount < MAX_UNANSWERED_COUNT) {
      const calledAtMs = clock.nowMs()
      const host = this._options.describe()
      const description = JSON.stringify(host)
      const isAnswered = await this._callOnce(peer, address, scope, description === sentDescription ? undefined : host, sent)
      sentDescription = isAnswered ? description : ''
      unansweredCount = isAnswered ? 0 : unansweredCount + 1
      if (isAnswered) await this._callDueOf(address).wait(scope, { clock, deadlineMs: calledAtMs + this._intervalMs() })
    }
    peer.connection.close('calls are not answered')
  }

  private _callDueOf (address: string): Signal {
    return this._followed.get(address)?.callDue ?? new Signal()
  }

  /** All hosts that reach the same control hosts choose the same one. */
  private _holderOf (service: string): string | undefined {
    const sinceMs = this._options.clock.nowMs() - HOLDER_TIMEOUT_MS
    const reachable = [...this._followed].filter(([, { lastAnsweredCallAtMs }]) => lastAnsweredCallAtMs >= sinceMs)
    return rendezvousChoice(service, reachable.map(([address]) => address))
  }

  /** Absent where there is nothing to send. */
  private _figuresFor (address: string): ServiceFigures[] | undefined {
    const figures = this._options.services?.takeDue(address, service => this._holderOf(service)) ?? []
    return figures.length > 0 ? figures : undefined
  }

  private _intervalMs (): number {
    const waitsForQuorum = this._options.view.routing === undefined && this._unconfirmed !== undefined
    return waitsForQuorum ? UNCONFIRMED_INTERVAL_MS : FOLLOW_INTERVAL_MS
  }

  private async _callOnce (peer: RpcPeer, address: string, scope: Scope, host: FleetHost | undefined, sent: SentReports): Promise<boolean> {
    const { clock, view } = this._options
    const calledAtMs = clock.nowMs()
    const usage = this._usageSince(sent)
    const load = this._options.describeLoad?.()
    const request = {
      host,
      ...(load === sent.load ? {} : { load }),
      routingVersion: view.routing?.version,
      acceptsPackedRouting: host ? true : undefined,
      wallMs: clock.wallMs(),
      usage: usage?.report,
      services: this._figuresFor(address)
    }
    const outcome = await peer.call(followMethod, request, new Progress(clock, scope, calledAtMs + FOLLOW_TIMEOUT_MS))
    if (outcome.kind !== 'replied') return false
    if (usage) Object.assign(sent, { usageRevision: usage.revision, usageSettledBefore: usage.report.settledBefore })
    sent.load = load
    this._recordAnswer(address, calledAtMs, outcome.body.fleetWallMs)
    this._onReply(address, outcome.body)
    return true
  }

  /** Returns the usage to report; undefined when everything was already sent over the connection. */
  private _usageSince ({ usageRevision, usageSettledBefore }: SentReports): { revision: number, report: UsageReport } | undefined {
    const usage = this._options.usage?.reportSince(usageRevision)
    const hasChanged = usage !== undefined && (usage.revision !== usageRevision || usage.report.settledBefore !== usageSettledBefore)
    return hasChanged ? usage : undefined
  }

  private _recordConnected (address: string): void {
    const followed = this._followed.get(address)
    if (followed) followed.lastConnectedAtMs = this._options.clock.nowMs()
  }

  private _recordAnswer (address: string, calledAtMs: number, fleetWallMs: number | undefined): void {
    const followed = this._followed.get(address)
    if (followed) followed.lastAnsweredCallAtMs = calledAtMs
    if (fleetWallMs !== undefined) this.time.addSample(address, { fleetWallMs, calledAtMs, answeredAtMs: this._options.clock.nowMs() })
  }

  private _onReply (address: string, reply: FollowReply): void {
    const followed = this._followed.get(address)
    if (followed && reply.controlAddresses) followed.listedAddresses = reply.controlAddresses
    this.follow(followed?.listedAddresses ?? [])
    this._merge(address, reply.update, reply.isRoutingConfirmed)
    this._acceptFirstRouting(address, reply.confirmedRoutingVersion)
    this._removeUnlistedAddresses()
  }

  /** The first routing configuration must be confirmed by a quorum; later configurations replace it only if they are newer. */
  private _merge (address: string, update: FleetUpdate, isRoutingConfirmed: boolean): void {
    const { view, logger, services } = this._options
    if (update.serviceTotals) services?.receive(update.serviceTotals)
    const isFirst = view.routing === undefined
    if (update.routing && isFirst && !isRoutingConfirmed) {
      this._unconfirmed = newer(this._unconfirmed, update.routing)
      view.merge(address, { ...update, routing: undefined })
    } else {
      view.merge(address, update)
    }
    if (view.routing || !this._unconfirmed || !this._hasWaitedLong()) return
    logger.event(FleetEvent.RoutingUnconfirmed, { routingVersion: this._unconfirmed.version })
    view.merge(address, { routing: this._unconfirmed })
  }

  /** Whether this host has waited long enough for a confirmed configuration. */
  private _hasWaitedLong (): boolean {
    const nowMs = this._options.clock.nowMs()
    const waitedMs = nowMs - this._startedAtMs
    const mayLearnMore = [...this._followed.values()].some(({ lastConnectedAtMs, lastAnsweredCallAtMs }) => (
      lastAnsweredCallAtMs === Number.NEGATIVE_INFINITY && nowMs - lastConnectedAtMs <= ACCEPT_UNCONFIRMED_AFTER_MS
    ))
    return waitedMs > (mayLearnMore ? ACCEPT_OUTDATED_AFTER_MS : ACCEPT_UNCONFIRMED_AFTER_MS)
  }

  /** Puts the first configuration into effect if it is at least as new as the one that a quorum confirmed; a connection delivers it before the confirmation. */
  private _acceptFirstRouting (address: string, confirmedVersion: number | undefined): void {
    const { view } = this._options
    if (view.routing || !this._unconfirmed || confirmedVersion === undefined) return
    if (this._unconfirmed.version >= confirmedVersion) view.merge(address, { routing: this._unconfirmed })
  }

  /** Reads a packed configuration; undefined if this host has it or a newer one already, as the control hosts do not know what the others have sent. */
  private _unpack (address: string, packed: PackedRouting): Routing | undefined {
    const known = this._options.view.routing ?? this._unconfirmed
    if (known && known.version >= packed.version) return undefined
    try {
      return unpackRouting(packed)
    } catch (error) {
      this._options.logger.event(FleetEvent.RoutingUnreadable, { address, routingVersion: packed.version, reason: (error as Error).message })
      return undefined
    }
  }

  private _removeUnlistedAddresses (): void {
    const nowMs = this._options.clock.nowMs()
    for (const [address, { scope, lastListedAtMs }] of this._followed) {
      if (nowMs - lastListedAtMs < FORGET_ADDRESS_AFTER_MS || this._followed.size <= 1) continue
      this._followed.delete(address)
      this._options.view.removeHostsOf(address)
      scope.close('no longer a control host')
    }
  }

  private async _connect (address: string, scope: Scope): Promise<RpcPeer | undefined> {
    const { clock, transport, onFatal } = this._options
    const connectScope = scope.child('connection')
    const cancelTimer = clock.callAt(clock.nowMs() + CONNECT_TIMEOUT_MS, () => connectScope.close('connecting timed out'))
    try {
      const outcome = await transport.connect(address, connectScope)
      if (outcome.kind === 'connected') {
        outcome.connection.scope.onClose(() => connectScope.close('connection closed'))
        return new RpcPeer(outcome.connection, this._handlers(address), onFatal)
      }
    } catch (error) {
      if (!(error instanceof ScopeClosedError) || scope.isClosed) throw error
    } finally {
      cancelTimer()
    }
    connectScope.close('not connected')
    return undefined
  }

  private _handlers (address: string): RpcHandlers {
    const handlers = new RpcHandlers()
    handlers.on(fleetUpdateMethod, update => {
      const routing = update.packedRouting ? this._unpack(address, update.packedRouting) : update.routing
      this._merge(address, { ...update, routing }, false)
      return {}
    })
    return handlers
  }
}

function newer (left: Routing | undefined, right: Routing): Routing {
  return left && left.version >= right.version ? left : right
}
