/**
 * Follows every control host at once: one task and one connection each. What
 * any of them tells is merged into the view, so that no single control host
 * that is cut off, slow or behind holds this host back.
 */
import type { FleetHost, FleetUpdate, FollowReply } from '../protocol/fleet.js'
import type { UsageReport } from '../protocol/usage.js'
import type { Routing } from '../protocol/routing.js'
import type { Transport } from '../transport/connection.js'
import { fleetUpdateMethod, followMethod } from '../transport/fleetMethods.js'
import { RpcHandlers, RpcPeer } from '../transport/rpcPeer.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import type { Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { Signal } from '../utils/signal.js'
import type { Supervisor } from '../utils/supervisor.js'
import { FleetEvent } from './fleetEvents.js'
import { FleetTime } from './fleetTime.js'
import type { FleetView } from './fleetView.js'

/** Three of these within the time after which a control host calls a follower silent. */
const FOLLOW_INTERVAL_MS = 500
/**
 * The same while a configuration is known that no quorum has confirmed: the host serves nothing until one has.
 * A control host holds such a call for up to 350 ms until it can confirm, so that more than three a second come
 * from no follower; a call that just missed the election of the leader would otherwise cost another 150 ms, and
 * so would each further one.
 */
const UNCONFIRMED_INTERVAL_MS = 100
const FOLLOW_TIMEOUT_MS = 600
const CONNECT_TIMEOUT_MS = 600
const RECONNECT_PAUSE_MS = 150
/** Calls in a row without a reply after which a connection is replaced. */
const MAX_UNANSWERED_COUNT = 2
/**
 * A follower whose calls a majority of the control hosts answer knows of a
 * confirmed leave by then, also when every push of it was lost: the log has it
 * on a majority, one of which the follower reaches; that one applies it (20 ms
 * after the commit, or 150 ms with the next heartbeat of the log), and the next
 * call, with its reply, brings it.
 */
export const LEAVE_KNOWN_WITHIN_MS = 150 + FOLLOW_INTERVAL_MS + FOLLOW_TIMEOUT_MS
/** A host that waited so long for a confirmed routing configuration takes an unconfirmed one: without a quorum none will come. */
const ACCEPT_UNCONFIRMED_AFTER_MS = 3_000
/** A control host that is in no list of members any more is given up after so long. */
const FORGET_ADDRESS_AFTER_MS = 30_000

export interface FleetFollowerOptions {
  clock: Clock
  transport: Transport
  logger: Logger
  supervisor: Supervisor
  view: FleetView
  /** Control hosts as the settings name them. */
  seedAddresses: string[]
  /** What the deployment promises of endpoints that leave: nothing is sent to one so long after its leave was confirmed. */
  drainMs?: number
  /** This host as it is at the moment. */
  describe: () => FleetHost
  /** What it has to tell of the use of client accounts, if anything: all that changed since a revision. */
  usage?: { reportSince: (revision: number) => { revision: number, report: UsageReport } } | undefined
  onFatal: (error: unknown) => void
}

interface FollowedHost {
  scope: Scope
  /** When it last was in a list of members, or answered. */
  lastListedAtMs: number
  /** The control hosts that it told of last. */
  listedAddresses: string[]
  /** When the latest call that it answered was made. */
  lastAnsweredCallAtMs: number
}

/** What a connection has told of the use of client accounts. */
interface SentUsage {
  revision: number
  settledBefore: number
}

export class FleetFollower {
  /** The time of day as most hosts have it. */
  readonly time: FleetTime
  private readonly _options: FleetFollowerOptions
  private readonly _followed = new Map<string, FollowedHost>()
  private readonly _hostChanged = new Signal()
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

  /** Control hosts followed now. */
  get addresses (): string[] {
    return [...this._followed.keys()]
  }

  /** For how long no majority of the control hosts has answered: what they have decided since may not be known here. */
  outOfTouchMs (): number {
    const answered = [...this._followed.values()].map(({ lastAnsweredCallAtMs }) => lastAnsweredCallAtMs).sort((left, right) => right - left)
    const majorityAnsweredAtMs = answered[Math.floor(answered.length / 2)] ?? Number.NEGATIVE_INFINITY
    return this._options.clock.nowMs() - majorityAnsweredAtMs
  }

  /** Tells all control hosts at once that this host has changed. */
  announceChange (): void {
    this._hostChanged.notify()
  }

  /** Follows these control hosts too. */
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
    this._followed.set(address, { scope, lastListedAtMs: clock.nowMs(), listedAddresses: [], lastAnsweredCallAtMs: Number.NEGATIVE_INFINITY })
  }

  private async _run (address: string, scope: Scope): Promise<void> {
    const { clock, view, logger } = this._options
    for (;;) {
      const peer = await this._connect(address, scope)
      if (peer) {
        logger.event(FleetEvent.ControlHostFollowed, { address })
        await this._followOver(peer, address, scope)
        view.removeHostsOf(address)
        logger.event(FleetEvent.ControlHostLost, { address, reason: peer.connection.scope.closeReason ?? '' })
      }
      await sleepUntil(clock, scope, clock.nowMs() + RECONNECT_PAUSE_MS)
    }
  }

  /** Repeats the call until the connection is lost, or calls over it go unanswered. */
  private async _followOver (peer: RpcPeer, address: string, scope: Scope): Promise<void> {
    const { clock } = this._options
    let unansweredCount = 0
    /** How this host was described in the last call, if that was answered: the other side tells all again otherwise. */
    let sentDescription = ''
    const usage: SentUsage = { revision: 0, settledBefore: Number.NEGATIVE_INFINITY }
    while (!peer.connection.scope.isClosed && unansweredCount < MAX_UNANSWERED_COUNT) {
      const calledAtMs = clock.nowMs()
      const host = this._options.describe()
      const description = JSON.stringify(host)
      const isAnswered = await this._callOnce(peer, address, scope, description === sentDescription ? undefined : host, usage)
      sentDescription = isAnswered ? description : ''
      unansweredCount = isAnswered ? 0 : unansweredCount + 1
      if (isAnswered) await this._hostChanged.wait(scope, { clock, deadlineMs: calledAtMs + this._intervalMs() })
    }
    peer.connection.close('calls go unanswered')
  }

  private _intervalMs (): number {
    const waitsForQuorum = this._options.view.routing === undefined && this._unconfirmed !== undefined
    return waitsForQuorum ? UNCONFIRMED_INTERVAL_MS : FOLLOW_INTERVAL_MS
  }

  private async _callOnce (peer: RpcPeer, address: string, scope: Scope, host: FleetHost | undefined, sentUsage: SentUsage): Promise<boolean> {
    const { clock, view } = this._options
    const calledAtMs = clock.nowMs()
    const usage = this._usageSince(sentUsage)
    const request = { host, routingVersion: view.routing?.version, wallMs: clock.wallMs(), usage: usage?.report }
    const outcome = await peer.call(followMethod, request, new Progress(clock, scope, calledAtMs + FOLLOW_TIMEOUT_MS))
    if (outcome.kind !== 'replied') return false
    if (usage) Object.assign(sentUsage, { revision: usage.revision, settledBefore: usage.report.settledBefore })
    this._recordAnswer(address, calledAtMs, outcome.body.fleetWallMs)
    this._onReply(address, outcome.body)
    return true
  }

  /** Undefined when the connection has told all that there is. */
  private _usageSince ({ revision, settledBefore }: SentUsage): { revision: number, report: UsageReport } | undefined {
    const usage = this._options.usage?.reportSince(revision)
    const hasChanged = usage !== undefined && (usage.revision !== revision || usage.report.settledBefore !== settledBefore)
    return hasChanged ? usage : undefined
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
    this._removeUnlistedAddresses()
  }

  /** The first routing configuration has to be confirmed; later ones can only be newer. */
  private _merge (address: string, update: FleetUpdate, isRoutingConfirmed: boolean): void {
    const { view, clock, logger } = this._options
    const isFirst = view.routing === undefined
    if (update.routing && isFirst && !isRoutingConfirmed) {
      this._unconfirmed = newer(this._unconfirmed, update.routing)
      view.merge(address, { ...update, routing: undefined })
    } else {
      view.merge(address, update)
    }
    const waitedTooLong = clock.nowMs() - this._startedAtMs > ACCEPT_UNCONFIRMED_AFTER_MS
    if (view.routing || !this._unconfirmed || !waitedTooLong) return
    logger.event(FleetEvent.RoutingUnconfirmed, { routingVersion: this._unconfirmed.version })
    view.merge(address, { routing: this._unconfirmed })
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
    const cancelTimer = clock.callAt(clock.nowMs() + CONNECT_TIMEOUT_MS, () => connectScope.close('connecting takes too long'))
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
      this._merge(address, update, false)
      return {}
    })
    return handlers
  }
}

function newer (left: Routing | undefined, right: Routing): Routing {
  return left && left.version >= right.version ? left : right
}
