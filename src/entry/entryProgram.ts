/**
 * The entry host: creates and connects its components, which run in this
 * supervisor tree.
 *
 *     entry
 *     ├─ http, operators     one scope for each request
 *     ├─ peers               one task for each connection to another entry host
 *     ├─ directory           expiry, digests
 *     ├─ calls               unrepeatable calls that were started
 *     ├─ rollouts            slots, samples, weights
 *     └─ topology, host state, readiness, lease reports
 */
import { ClientRoom, defaultRoomBounds } from '../clients/clientRoom.js'
import { ClientGuard } from '../clients/guardedServer.js'
import { heapLimitBytes } from '../utils/heapLimit.js'
import { Agent } from 'undici'
import type { ControlClient } from '../controlClient/controlClient.js'
import { Executed, RefusalReason, type Refusal } from '../protocol/refusals.js'
import { ResourceKind } from '../protocol/resources.js'
import type { Transport } from '../transport/connection.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { httpConnector } from '../utils/httpConnector.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { Progress } from '../utils/progress.js'
import type { RandomSource } from '../utils/randomSource.js'
import type { Scope } from '../utils/scope.js'
import type { Supervisor } from '../utils/supervisor.js'
import { AdviceRoute } from './advice/adviceRoute.js'
import { CompletionRoute } from './completions/completionRoute.js'
import { EngineCompletions } from './completions/engineCompletions.js'
import { Announcements } from './directory/announcements.js'
import { Fleet } from './directory/fleet.js'
import type { LiveDirectory } from './directory/liveDirectory.js'
import { EntryEvent } from './entryEvents.js'
import type { EntrySettings } from './entrySettings.js'
import { ResponseWriter } from './http/responseWriter.js'
import { HttpServer } from './http/httpServer.js'
import { RequestJournal } from './http/requestJournal.js'
import type { Route } from './http/route.js'
import { operatorRoutes } from './operators/operatorRoutes.js'
import { runPlannedStop } from './plannedStop.js'
import { createRollouts, type Rollouts } from './rollouts/rolloutProgram.js'
import { createScheduler } from './scheduling/priorityScheduler.js'
import type { Scheduler } from './scheduling/scheduler.js'
import { PlainCalls } from './services/plainCalls.js'
import { ServiceRoute } from './services/serviceRoute.js'
import { UnrepeatableCalls } from './services/unrepeatableCalls.js'

const LEASE_CHECK_INTERVAL_MS = 250
const READINESS_CHECK_INTERVAL_MS = 25
const DEREGISTER_TIMEOUT_MS = 2_000

export interface EntryEnvironment {
  clock: Clock
  random: RandomSource
  transport: Transport
  metrics: Metrics
  logger: Logger
  supervisor: Supervisor
  control: ControlClient
  /** Removes this host from the configuration, as the last step of a planned stop. */
  deregister: (progress: Progress) => Promise<void>
  /** Increases with every start of the process. */
  incarnation: number
  /** Called when a planned stop has ended. */
  onStopped: () => void
}

enum ServingState {
  Starting = 'starting',
  Serving = 'serving',
  /** Withdrawn from advice, but still accepting work. */
  Leaving = 'leaving',
  Refusing = 'refusing'
}

export class EntryProgram {
  private readonly _settings: EntrySettings
  private readonly _environment: EntryEnvironment
  private readonly _journal = new RequestJournal()
  private readonly _responseWriter: ResponseWriter
  private readonly _fleet: Fleet
  private readonly _announcements: Announcements
  private readonly _adviceRoute: AdviceRoute
  private readonly _scheduler: Scheduler
  private readonly _completions: EngineCompletions
  private readonly _plainCalls: PlainCalls
  private readonly _unrepeatableCalls: UnrepeatableCalls
  private readonly _engineAgent: Agent
  private readonly _rollouts: Rollouts
  /** The account of what clients cost this process. */
  private readonly _clients: ClientGuard
  private readonly _callerServer: HttpServer
  private readonly _operatorServer: HttpServer
  private _state = ServingState.Starting
  private _stopping: Promise<void> | undefined

  constructor (settings: EntrySettings, environment: EntryEnvironment) {
    const { clock, random, metrics, control, supervisor } = environment
    const { host, limits } = settings
    this._settings = settings
    this._environment = environment
    this._responseWriter = new ResponseWriter(host.hostId, metrics, random, limits.slowReaderTimeoutMs)
    this._fleet = this._createFleet()
    this._announcements = this._createAnnouncements()
    this._adviceRoute = this._createAdvice()
    this._scheduler = createScheduler({ clock, random, directory: this._fleet.directory, configuration: control.configuration, metrics, scope: supervisor.scope })
    // A connection for each call: the status of an engine's answer carries no id that would tell whose it is.
    this._engineAgent = new Agent({ connect: httpConnector({ timeout: limits.connectTimeoutMs, noDelay: true }), pipelining: 0 })
    this._completions = this._createCompletions()
    this._plainCalls = new PlainCalls({ ...this._sharedCallOptions(), responseWriter: this._responseWriter, metrics, connectTimeoutMs: limits.connectTimeoutMs })
    this._unrepeatableCalls = new UnrepeatableCalls({
      ...this._sharedCallOptions(),
      hostId: host.hostId,
      control,
      peers: this._fleet.mesh,
      supervisor: supervisor.child('calls'),
      clock,
      limits
    })
    this._rollouts = this._createRollouts()
    this._clients = new ClientGuard({ room: new ClientRoom(defaultRoomBounds(limits.maxConnectionsCount, heapLimitBytes())), clock, logger: environment.logger, metrics })
    this._callerServer = this._createServer('http', this._callerRoutes())
    this._operatorServer = this._createServer('operators', this._operatorRoutes())
  }

  /** The endpoint directory of this host, for components that run beside it. */
  get directory (): LiveDirectory {
    return this._fleet.directory
  }

  /** Number of caller requests whose response has not ended. */
  get inFlightCount (): number {
    return this._callerServer.inFlightCount
  }

  /** Whether this host accepts new work now. */
  get takesWork (): boolean {
    return this._state === ServingState.Serving && this._environment.control.holdsLease()
  }

  async start (): Promise<void> {
    const { supervisor, logger } = this._environment
    const { host } = this._settings
    await this._fleet.start()
    await this._callerServer.listen(host.callerAddress)
    await this._operatorServer.listen(host.operatorAddress)
    supervisor.spawn('readiness', scope => this._becomeReady(scope))
    supervisor.spawn('lease reports', scope => this._watchLease(scope))
    logger.event(EntryEvent.Started, { callerAddress: host.callerAddress })
  }

  /** Runs the planned stop; resolves when nothing runs any more. */
  stop (): Promise<void> {
    this._stopping ??= this._stop()
    return this._stopping
  }

  private async _stop (): Promise<void> {
    const { supervisor, clock, logger } = this._environment
    const { adviceValidMs, maxStopMs } = this._settings.limits
    this._state = ServingState.Leaving
    await runPlannedStop({
      clock,
      logger,
      adviceValidMs,
      maxStopMs,
      withdrawFromAdvice: scope => this._fleet.hosts.withdrawFromAdvice(this._fleet.topology.peersNearestFirst(), scope),
      refuseNewWork: () => { this._state = ServingState.Refusing },
      runningCount: () => this._callerServer.inFlightCount + this._unrepeatableCalls.runningCount
    }, supervisor.scope)
    await this._environment.deregister(new Progress(clock, supervisor.scope, clock.nowMs() + DEREGISTER_TIMEOUT_MS))
    await supervisor.stop('planned stop')
    await Promise.all([this._plainCalls.close(), this._engineAgent.destroy()])
    this._environment.onStopped()
  }

  private _createFleet (): Fleet {
    const { control } = this._environment
    return new Fleet({
      ...this._environment,
      settings: this._settings,
      entryHosts: () => control.configuration.entryHosts(),
      inFlightCount: () => this._callerServer.inFlightCount,
      takesWork: () => this.takesWork
    })
  }

  private _createAnnouncements (): Announcements {
    return new Announcements({
      store: this._fleet.store,
      gossip: this._fleet.gossip,
      hosts: this._fleet.hosts,
      responseWriter: this._responseWriter,
      endpointLeaseMs: this._settings.limits.endpointLeaseMs
    })
  }

  private _createAdvice (): AdviceRoute {
    const { random, control } = this._environment
    const { host, limits } = this._settings
    return new AdviceRoute({
      dataCentre: host.dataCentre,
      hosts: this._fleet.hosts,
      random,
      responseWriter: this._responseWriter,
      adviceValidMs: limits.adviceValidMs,
      revision: () => control.configuration.revision
    })
  }

  private _createCompletions (): EngineCompletions {
    const { random, metrics, logger, control } = this._environment
    return new EngineCompletions({
      scheduler: this._scheduler,
      dispatcher: this._engineAgent,
      random,
      metrics,
      logger,
      journal: this._journal,
      engineSilenceMs: this._settings.limits.engineSilenceMs,
      paidWeightOf: name => control.configuration.get(ResourceKind.PriorityClass, name)?.spec.paidWeight
    })
  }

  private _createRollouts (): Rollouts {
    const { control, clock, random, metrics, logger, incarnation } = this._environment
    return createRollouts({
      hostId: this._settings.host.hostId,
      hostIncarnation: incarnation,
      clock,
      random,
      control,
      completions: this._completions,
      scheduler: this._scheduler,
      directory: this._fleet.directory,
      peers: this._fleet.mesh,
      metrics,
      logger
    })
  }

  private _sharedCallOptions (): { scheduler: Scheduler, random: RandomSource, logger: Logger, journal: RequestJournal } {
    const { random, logger } = this._environment
    return { scheduler: this._scheduler, random, logger, journal: this._journal }
  }

  private _createServer (name: string, routes: Route[]): HttpServer {
    const { clock, random, metrics, supervisor } = this._environment
    return new HttpServer({
      scope: supervisor.scope.child(name),
      name,
      clients: this._clients,
      clock,
      random,
      metrics,
      responseWriter: this._responseWriter,
      journal: this._journal,
      limits: this._settings.limits,
      routes,
      refusalOf: route => this._refusalOf(route),
      settleLease: scope => this._environment.control.awaitLeaseRenewal(scope),
      onFatal: (task, error) => this._onFatal(task, error)
    })
  }

  private _callerRoutes (): Route[] {
    const { control, random } = this._environment
    const { maxBodyBytes } = this._settings.limits
    const shared = { configuration: control.configuration, responseWriter: this._responseWriter, maxBodyBytes }
    const completions = new CompletionRoute({ ...shared, completions: this._completions })
    const services = new ServiceRoute({ ...shared, random, plainCalls: this._plainCalls, unrepeatable: this._unrepeatableCalls })
    return [this._adviceRoute.route(), this._announcements.route(), completions.route(), services.route(), ...this._rollouts.routes]
  }

  private _operatorRoutes (): Route[] {
    return operatorRoutes({
      responseWriter: this._responseWriter,
      journal: this._journal,
      status: () => this._status(),
      drainHost: () => { this.stop().catch(error => this._onFatal('stop', error)) },
      drainEndpoint: endpointId => this._announcements.drain(endpointId),
      explainScheduling: requestId => this._scheduler.explain?.(requestId)
    })
  }

  private _refusalOf (route: Route): Refusal | undefined {
    if (route.servedWithoutLease) return undefined
    const { control } = this._environment
    switch (this._state) {
      case ServingState.Starting: return this._refuseWithOtherHosts(RefusalReason.HostNotReady, 'this host is starting and has not loaded the endpoint directory yet')
      case ServingState.Refusing: return this._refuseWithOtherHosts(RefusalReason.HostStopping, 'this host is stopping')
      case ServingState.Serving:
      case ServingState.Leaving:
        if (control.holdsLease()) return undefined
        return this._refuseWithOtherHosts(RefusalReason.LeaseLost, 'this host holds no configuration lease, so its configuration may be outdated')
    }
  }

  private _refuseWithOtherHosts (reason: RefusalReason, message: string): Refusal {
    const { callerAddress } = this._settings.host
    const otherHosts = this._adviceRoute.advise(undefined).hosts.filter(address => address !== callerAddress)
    return { reason, executed: Executed.No, message, otherHosts }
  }

  /** Starts serving once the configuration lease is held and the endpoint directory is loaded. */
  private async _becomeReady (scope: Scope): Promise<void> {
    const { clock, control, logger, supervisor } = this._environment
    while (!control.holdsLease()) await sleepUntil(clock, scope, clock.nowMs() + READINESS_CHECK_INTERVAL_MS)
    await this._fleet.syncFromPeers(scope)
    if (this._state === ServingState.Starting) this._state = ServingState.Serving
    this._rollouts.start(supervisor)
    this._fleet.hosts.publish()
    logger.event(EntryEvent.Ready, { endpointsCount: this._fleet.directory.all().length })
  }

  private async _watchLease (scope: Scope): Promise<void> {
    const { clock, control, logger, metrics } = this._environment
    let wasHeld = false
    for (;;) {
      const isHeld = control.holdsLease()
      if (isHeld !== wasHeld) {
        logger.event(isHeld ? EntryEvent.LeaseHeld : EntryEvent.LeaseLost, { revision: control.configuration.revision })
        if (!isHeld) metrics.count(MetricName.LeaseLost)
        this._fleet.hosts.publish()
      }
      wasHeld = isHeld
      await sleepUntil(clock, scope, clock.nowMs() + LEASE_CHECK_INTERVAL_MS)
    }
  }

  private _status (): unknown {
    const { control, metrics, incarnation } = this._environment
    return {
      ...this._settings.host,
      incarnation,
      state: this._state,
      revision: control.configuration.revision,
      holdsLease: control.holdsLease(),
      inFlightCount: this._callerServer.inFlightCount,
      unrepeatableRunningCount: this._unrepeatableCalls.runningCount,
      connectedHostIds: this._fleet.mesh.connectedHostIds(),
      servingHosts: this._fleet.hosts.serving(),
      endpoints: this._fleet.directory.all().map(({ announcement }) => announcement),
      metrics: metrics.snapshot()
    }
  }

  private _onFatal (task: string, error: unknown): void {
    this._environment.supervisor.fatal(task, error)
  }
}
