/**
 * The entry host: the one module that wires its parts, and the supervisor
 * tree they run in.
 *
 *     entry
 *     ├─ http, operators     one scope for each request
 *     ├─ peers               one task for each connection to another entry host
 *     ├─ directory           expiry, digests
 *     ├─ calls               unrepeatable calls that were started
 *     └─ registration, topology, host state, readiness
 */
import { Agent } from 'undici'
import type { ControlClient } from '../controlClient/controlClient.js'
import { Executed, RefusalReason, type Refusal } from '../protocol/refusals.js'
import { ResourceKind } from '../protocol/resources.js'
import type { Transport } from '../transport/connection.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { RandomSource } from '../utils/randomSource.js'
import type { Scope } from '../utils/scope.js'
import type { Supervisor } from '../utils/supervisor.js'
import { AdviceRoute } from './advice/adviceRoute.js'
import { CompletionRoute } from './completions/completionRoute.js'
import { EngineCompletions } from './completions/engineCompletions.js'
import { Announcements } from './directory/announcements.js'
import { Gossip } from './directory/gossip.js'
import { HostStates } from './directory/hostStates.js'
import { LiveDirectory } from './directory/liveDirectory.js'
import { RecordStore } from './directory/recordStore.js'
import { Topology } from './directory/topology.js'
import { EntryEvent } from './entryEvents.js'
import type { EntrySettings } from './entrySettings.js'
import { HostRegistration } from './hostRegistration.js'
import { Answers } from './http/answers.js'
import { HttpServer } from './http/httpServer.js'
import { RequestJournal } from './http/requestJournal.js'
import type { Route } from './http/route.js'
import { operatorRoutes } from './operators/operatorRoutes.js'
import { PeerMesh } from './peers/peerMesh.js'
import { stopAsPlanned } from './plannedStop.js'
import { createScheduler } from './scheduling/priorityScheduler.js'
import type { Scheduler } from './scheduling/scheduler.js'
import { PlainCalls } from './services/plainCalls.js'
import { ServiceRoute } from './services/serviceRoute.js'
import { UnrepeatableCalls } from './services/unrepeatableCalls.js'

const TOPOLOGY_INTERVAL_MS = 500
const READINESS_INTERVAL_MS = 25

export interface EntryEnvironment {
  clock: Clock
  random: RandomSource
  transport: Transport
  metrics: Metrics
  logger: Logger
  supervisor: Supervisor
  control: ControlClient
  /** Grows with every start of the process. */
  incarnation: number
}

enum ServingState {
  Starting = 'starting',
  Serving = 'serving',
  /** Out of the advice, but still taking work. */
  Leaving = 'leaving',
  Refusing = 'refusing'
}

export class EntryProgram {
  private readonly _settings: EntrySettings
  private readonly _environment: EntryEnvironment
  private readonly _journal = new RequestJournal()
  private readonly _answers: Answers
  private readonly _store: RecordStore
  private readonly _mesh: PeerMesh
  private readonly _topology: Topology
  private readonly _gossip: Gossip
  private readonly _hosts: HostStates
  private readonly _directory: LiveDirectory
  private readonly _announcements: Announcements
  private readonly _advice: AdviceRoute
  private readonly _scheduler: Scheduler
  private readonly _completions: EngineCompletions
  private readonly _plainCalls: PlainCalls
  private readonly _unrepeatable: UnrepeatableCalls
  private readonly _engines: Agent
  private readonly _registration: HostRegistration
  private readonly _http: HttpServer
  private readonly _operators: HttpServer
  private _state = ServingState.Starting
  private _stopping: Promise<void> | undefined

  constructor (settings: EntrySettings, environment: EntryEnvironment) {
    const { clock, random, metrics, logger, control, supervisor } = environment
    const { host, limits } = settings
    this._settings = settings
    this._environment = environment
    this._answers = new Answers(host.hostId, metrics, random, limits.slowReaderTimeoutMs)
    this._store = new RecordStore(clock)
    this._mesh = this._createMesh()
    this._topology = this._createTopology()
    this._gossip = new Gossip({
      hostId: host.hostId,
      store: this._store,
      mesh: this._mesh,
      topology: this._topology,
      clock,
      random,
      logger,
      supervisor: supervisor.child('directory'),
      leaseMs: Math.min(limits.endpointLeaseMs, limits.hostLeaseMs)
    })
    this._hosts = this._createHostStates()
    this._directory = new LiveDirectory(this._store, metrics, logger)
    this._announcements = this._createAnnouncements()
    this._advice = this._createAdvice()
    this._scheduler = createScheduler({ clock, random, directory: this._directory, configuration: control.configuration, metrics, scope: supervisor.scope })
    this._engines = new Agent({ connect: { timeout: limits.connectTimeoutMs, noDelay: true }, pipelining: 1 })
    this._completions = this._createCompletions()
    this._plainCalls = new PlainCalls({ ...this._callParts(), answers: this._answers, metrics, connectTimeoutMs: limits.connectTimeoutMs })
    this._unrepeatable = new UnrepeatableCalls({
      ...this._callParts(),
      hostId: host.hostId,
      control,
      peers: this._mesh,
      supervisor: supervisor.child('calls'),
      clock,
      limits
    })
    this._registration = new HostRegistration({ ...host, incarnation: environment.incarnation }, control, clock, logger)
    this._http = this._createServer('http', this._callerRoutes())
    this._operators = this._createServer('operators', this._operatorRoutes())
  }

  /** The directory that this host knows, for parts that are started beside it. */
  get directory (): LiveDirectory {
    return this._directory
  }

  /** Whether this host takes new work now. */
  get takesWork (): boolean {
    return this._state === ServingState.Serving && this._environment.control.holdsLease()
  }

  async start (): Promise<void> {
    const { supervisor, logger } = this._environment
    const { host } = this._settings
    await this._mesh.listen(host.peerAddress)
    await this._http.listen(host.callerAddress)
    await this._operators.listen(host.operatorAddress)
    this._gossip.start()
    supervisor.spawn('registration', scope => this._registration.run(scope))
    supervisor.spawn('topology', scope => this._followTopology(scope))
    supervisor.spawn('host state', scope => this._hosts.publishRepeatedly(scope))
    supervisor.spawn('readiness', scope => this._becomeReady(scope))
    supervisor.spawn('lease reports', scope => this._reportLease(scope))
    logger.event(EntryEvent.Started, { callerAddress: host.callerAddress })
  }

  /** The planned stop; resolves when nothing runs any more. */
  stop (): Promise<void> {
    this._stopping ??= this._stop()
    return this._stopping
  }

  private async _stop (): Promise<void> {
    const { supervisor, clock, logger } = this._environment
    const { adviceValidMs, maxStopMs } = this._settings.limits
    this._state = ServingState.Leaving
    await stopAsPlanned({
      clock,
      logger,
      adviceValidMs,
      maxStopMs,
      leaveAdvice: scope => this._hosts.leaveAdvice(this._topology.othersNearestFirst(), scope),
      refuseNewWork: () => { this._state = ServingState.Refusing },
      runningCount: () => this._http.inFlightCount + this._unrepeatable.runningCount
    }, supervisor.scope)
    await this._registration.remove(supervisor.scope)
    await supervisor.stop('planned stop')
    await Promise.all([this._plainCalls.close(), this._engines.destroy()])
  }

  private _createMesh (): PeerMesh {
    const { clock, random, transport, logger, supervisor, control } = this._environment
    return new PeerMesh({
      hostId: this._settings.host.hostId,
      supervisor: supervisor.child('peers'),
      clock,
      random,
      transport,
      logger,
      onFatal: error => this._onFatal('peers', error),
      addressOf: hostId => control.configuration.entryHosts().find(host => host.hostId === hostId)?.peerAddress
    })
  }

  private _createTopology (): Topology {
    const { hostId, dataCentre } = this._settings.host
    return new Topology({
      hostId,
      dataCentre,
      entryHosts: () => this._environment.control.configuration.entryHosts(),
      connectedHostIds: () => this._mesh.connectedHostIds(),
      mayLive: id => this._hosts.mayLive(id)
    })
  }

  private _createHostStates (): HostStates {
    const { clock, incarnation } = this._environment
    const { host, limits } = this._settings
    return new HostStates({
      hostId: host.hostId,
      incarnation,
      dataCentre: host.dataCentre,
      callerAddress: host.callerAddress,
      clock,
      store: this._store,
      gossip: this._gossip,
      mesh: this._mesh,
      hostLeaseMs: limits.hostLeaseMs,
      inFlightCount: () => this._http.inFlightCount,
      takesWork: () => this.takesWork
    })
  }

  private _createAnnouncements (): Announcements {
    return new Announcements({
      store: this._store,
      gossip: this._gossip,
      hosts: this._hosts,
      answers: this._answers,
      endpointLeaseMs: this._settings.limits.endpointLeaseMs
    })
  }

  private _createAdvice (): AdviceRoute {
    const { random, control } = this._environment
    const { host, limits } = this._settings
    return new AdviceRoute({
      dataCentre: host.dataCentre,
      hosts: this._hosts,
      random,
      answers: this._answers,
      adviceValidMs: limits.adviceValidMs,
      revision: () => control.configuration.revision
    })
  }

  private _createCompletions (): EngineCompletions {
    const { random, metrics, logger, control } = this._environment
    return new EngineCompletions({
      scheduler: this._scheduler,
      dispatcher: this._engines,
      random,
      metrics,
      logger,
      journal: this._journal,
      engineSilenceMs: this._settings.limits.engineSilenceMs,
      paidWeightOf: name => control.configuration.get(ResourceKind.PriorityClass, name)?.spec.paidWeight
    })
  }

  private _callParts (): { scheduler: Scheduler, random: RandomSource, logger: Logger, journal: RequestJournal } {
    const { random, logger } = this._environment
    return { scheduler: this._scheduler, random, logger, journal: this._journal }
  }

  private _createServer (name: string, routes: Route[]): HttpServer {
    const { clock, random, metrics, supervisor } = this._environment
    return new HttpServer({
      scope: supervisor.scope.child(name),
      clock,
      random,
      metrics,
      answers: this._answers,
      journal: this._journal,
      limits: this._settings.limits,
      routes,
      refusalOf: route => this._refusalOf(route),
      onFatal: (task, error) => this._onFatal(task, error)
    })
  }

  private _callerRoutes (): Route[] {
    const { control, random } = this._environment
    const { maxBodyBytes } = this._settings.limits
    const shared = { configuration: control.configuration, answers: this._answers, maxBodyBytes }
    const completions = new CompletionRoute({ ...shared, completions: this._completions })
    const services = new ServiceRoute({ ...shared, random, plain: this._plainCalls, unrepeatable: this._unrepeatable })
    return [this._advice.route(), this._announcements.route(), completions.route(), services.route()]
  }

  private _operatorRoutes (): Route[] {
    return operatorRoutes({
      answers: this._answers,
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
      case ServingState.Starting: return this._goElsewhere(RefusalReason.HostNotReady, 'this host does not know the endpoints yet')
      case ServingState.Refusing: return this._goElsewhere(RefusalReason.HostStopping, 'this host is stopping')
      case ServingState.Serving:
      case ServingState.Leaving:
        if (control.holdsLease()) return undefined
        return this._goElsewhere(RefusalReason.LeaseLost, 'this host may work under an old configuration')
    }
  }

  private _goElsewhere (reason: RefusalReason, message: string): Refusal {
    const { callerAddress } = this._settings.host
    const otherHosts = this._advice.advise(undefined).hosts.filter(address => address !== callerAddress)
    return { reason, executed: Executed.No, message, otherHosts }
  }

  private async _followTopology (scope: Scope): Promise<void> {
    const { clock } = this._environment
    for (;;) {
      this._mesh.keepConnected(this._topology.wantedConnections())
      await sleepUntil(clock, scope, clock.nowMs() + TOPOLOGY_INTERVAL_MS)
    }
  }

  /** Takes work only once the configuration and the endpoints are known. */
  private async _becomeReady (scope: Scope): Promise<void> {
    const { clock, control, logger } = this._environment
    while (!control.holdsLease()) await sleepUntil(clock, scope, clock.nowMs() + READINESS_INTERVAL_MS)
    // With no host to ask, every endpoint has announced itself again by then.
    const waitMs = this._settings.limits.endpointLeaseMs / 3
    await this._gossip.learnFromPeers(scope, clock.nowMs() + waitMs, () => this._directory.all().length > 0)
    if (this._state === ServingState.Starting) this._state = ServingState.Serving
    this._hosts.publish()
    logger.event(EntryEvent.Ready, { endpointsCount: this._directory.all().length })
  }

  private async _reportLease (scope: Scope): Promise<void> {
    const { clock, control, logger, metrics } = this._environment
    let held = false
    for (;;) {
      const holds = control.holdsLease()
      if (holds !== held) {
        logger.event(holds ? EntryEvent.LeaseHeld : EntryEvent.LeaseLost, { revision: control.configuration.revision })
        if (!holds) metrics.count(MetricName.LeaseLost)
        this._hosts.publish()
      }
      held = holds
      await sleepUntil(clock, scope, clock.nowMs() + TOPOLOGY_INTERVAL_MS)
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
      inFlightCount: this._http.inFlightCount,
      unrepeatableRunningCount: this._unrepeatable.runningCount,
      connectedHostIds: this._mesh.connectedHostIds(),
      servingHosts: this._hosts.serving(),
      endpoints: this._directory.all().map(({ announcement }) => announcement),
      metrics: metrics.snapshot()
    }
  }

  private _onFatal (task: string, error: unknown): void {
    this._environment.supervisor.fatal(task, error)
  }
}
