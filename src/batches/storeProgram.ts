/**
 * Assembles a store host: a replica of the batch store and, while it leads, the
 * item dispatcher, the weight rollout, the engine supply and host retirements.
 */
import { ServiceAdmission } from '../balancing/serviceAdmission.js'
import { DutyLease } from '../duties/dutyLease.js'
import type { Infrastructure } from '../duties/infrastructure.js'
import { EngineSupply } from '../engineSupply/engineSupply.js'
import { BatchCommandKind, type BatchCommand } from '../protocol/batches.js'
import type { EndpointClient } from '../endpoints/endpointClient.js'
import { EndpointPool } from '../endpoints/endpointPool.js'
import { ControlCommands } from '../fleet/controlCommands.js'
import { FleetFollower } from '../fleet/fleetFollower.js'
import { FleetView } from '../fleet/fleetView.js'
import { RequestQuarantine } from '../quarantine/requestQuarantine.js'
import { RequestForwarder } from '../gateway/requestForwarder.js'
import { routeFinder } from '../gateway/routeTable.js'
import { HostRole, type FleetHost } from '../protocol/fleet.js'
import type { StoreReplica } from '../protocol/routingCommands.js'
import type { Leadership } from '../replication/log/leadership.js'
import type { SnapshotPolicy } from '../replication/log/logApplier.js'
import { Replica } from '../replication/log/replica.js'
import { placementFor } from '../replication/log/replicaPlacement.js'
import { setReplicaGauges } from '../replication/log/replicaGauges.js'
import { defaultTimings, type LogTimings } from '../replication/log/timings.js'
import { VoterWatch } from '../replication/log/voterWatch.js'
import type { ReplicatedState } from '../replication/replicatedState.js'
import { FileDisk } from '../replication/storage/fileDisk.js'
import { openReplica } from '../replication/openReplica.js'
import type { OpenedReplica } from '../replication/storage/replicaStorage.js'
import type { Connection } from '../transport/connection.js'
import { joinStoreMethod } from '../transport/batchMethods.js'
import { reportTasksMethod, type TasksReport, type TasksReportReply } from '../transport/runnerMethods.js'
import { RpcHandlers, RpcPeer } from '../transport/rpcPeer.js'
import { TcpTransport } from '../transport/tcpTransport.js'
import { PROCESS_STARTED_AT_MS, systemClock } from '../utils/clock.js'
import { everySecond } from '../utils/everySecond.js'
import type { Logger } from '../utils/logger.js'
import type { Metrics } from '../utils/metrics.js'
import { Progress } from '../utils/progress.js'
import { systemRandom } from '../utils/randomSource.js'
import { Scope } from '../utils/scope.js'
import { Supervisor } from '../utils/supervisor.js'
import { BatchDispatcher } from './batchDispatcher.js'
import { BatchEvent } from './batchEvents.js'
import { reportExpired, setBatchGauges } from './batchReports.js'
import { BatchService } from './batchService.js'
import { BatchState } from './batchState.js'
import { BatchAges } from './batchTimes.js'
import { LocalExecutor } from './localExecutor.js'
import { OrderHistory } from './orderHistory.js'
import { RunnerPool } from './runnerPool.js'
import { RunnerService } from './runnerService.js'
import { StoreMembership } from './storeMembership.js'
import { StoreRetirement } from './storeRetirement.js'
import { WeightRollout } from './weightRollout.js'

export interface StoreSettings {
  hostId: string
  hostName: string
  dataCentre: string
  /** Address on which the other processes of the system connect. */
  peerAddress: string
  dataFolder: string
  /** Control hosts to contact first. */
  controlAddresses: string[]
  /** How long results can be read after their batch was accepted. */
  keepBatchesMs: number
  /** Nothing is sent to an endpoint once this time has passed since the departure of the endpoint was confirmed. */
  drainMs: number
  /** Time within which no two hosts may both send load orders to one engine, or both order engines from the infrastructure. */
  orderLeaseMs: number
  /** A replica that is unreachable for this long is removed from the members. */
  strikeSilentAfterMs: number
  /** Limit of the estimated size of the state; undefined for no limit. Submissions that would exceed the limit are refused. */
  stateCapacityBytes: number | undefined
  /** Disks that may be lost at the same time. */
  toleratedLosses: number
}

export interface StoreProgramOptions {
  settings: StoreSettings
  client: EndpointClient
  /** Absent if this deployment orders no engines. */
  infrastructure?: Infrastructure | undefined
  logger: Logger
  metrics: Metrics
  onFatal: (error: unknown) => void
  /** Closes when a stop is asked for during the start; ends the wait for the data folder. */
  startScope?: Scope
}

/** A snapshot has all stored batches, some tens of megabytes. Log entries since the last snapshot stay in memory as well: 12 MB of log entries instead of 24 MB lower the peak memory of a busy store by 20 to 30 MB (tests/processes/storeMemory). */
export const storeSnapshotPolicy: SnapshotPolicy = { everyEntriesCount: 20_000, everyBytes: 12 * 1024 * 1024, keptEntriesCount: 256, keptBytes: 4 * 1024 * 1024 }
/** Entries of the store wait longer for others than those of control, since results come at a high rate and none is urgent by milliseconds. */
export const storeTimings: LogTimings = { ...defaultTimings, appendIntervalMs: 20 }
/** Source name in the view for versions from the log of the store itself. */
const STORE_LOG_SOURCE = 'log of the store'
/** A handover takes a few messages and disk syncs; without a handover in time, the host stops anyway. */
const HANDOVER_TIMEOUT_MS = 800
const SUPPLY_COMMIT_TIMEOUT_MS = 1_000
/** Longest wait of a new leader for the answers of hosts that may run items, which takes a few milliseconds while all of them run. */
const ANNOUNCE_TIMEOUT_MS = 100

export class StoreProgram {
  private readonly _options: StoreProgramOptions
  private readonly _scope = new Scope('store')
  private readonly _supervisor: Supervisor
  private readonly _transport: TcpTransport
  private readonly _orders = new OrderHistory(systemClock)
  private readonly _view: FleetView
  private readonly _ages = new BatchAges(systemClock)
  private readonly _state = new BatchState({
    onBatchAdded: batch => this._ages.taken(batch),
    onOrder: (endpointId, holder, lanesCount) => this._orders.record(endpointId, holder, lanesCount),
    onNamed: weights => this._view.merge(STORE_LOG_SOURCE, { weights: [weights] }),
    onBatchExpired: (batch, decidedAtMs) => reportExpired(this._options.logger, batch, decidedAtMs)
  })

  private readonly _replica: Replica
  /** Counts reward calls, which share services with the requests of callers. */
  private readonly _services: ServiceAdmission
  private readonly _follower: FleetFollower
  private readonly _service: BatchService
  private readonly _commands: ControlCommands
  private readonly _quarantine: RequestQuarantine
  private readonly _routeOf: ReturnType<typeof routeFinder>
  private readonly _executor: LocalExecutor
  /** Runs items for the leader. */
  private readonly _runnerService: RunnerService
  /** Defined while this host leads. */
  private _dispatcher: BatchDispatcher | undefined
  private _runnerPool: RunnerPool | undefined

  private constructor (options: StoreProgramOptions, opened: OpenedReplica, readMs: number) {
    this._options = options
    this._transport = new TcpTransport(options)
    const { settings, logger, metrics, onFatal } = options
    this._supervisor = new Supervisor(this._scope, (_task, error) => onFatal(error))
    this._view = new FleetView(logger)
    this._replica = new Replica({
      clock: systemClock,
      random: systemRandom(),
      metrics,
      logger,
      timings: storeTimings,
      transport: this._transport,
      supervisor: this._supervisor,
      onFatal,
      opened,
      state: this._state as ReplicatedState<unknown, unknown>,
      snapshotPolicy: storeSnapshotPolicy,
      startedAtMs: PROCESS_STARTED_AT_MS,
      readMs,
      strikeSilentAfterMs: settings.strikeSilentAfterMs,
      toleratedLosses: settings.toleratedLosses,
      placement: placementFor(settings.toleratedLosses)
    })
    this._services = new ServiceAdmission({ clock: systemClock, random: systemRandom(), logger, metrics, wallAt: nowMs => this._follower.time.wallAt(nowMs), routing: () => this._view.routing })
    this._follower = new FleetFollower({
      clock: systemClock,
      transport: this._transport,
      logger,
      supervisor: this._supervisor,
      view: this._view,
      seedAddresses: settings.controlAddresses,
      drainMs: settings.drainMs,
      describe: () => this._describe(),
      services: this._services,
      onFatal
    })
    const { keepBatchesMs: keepMs, stateCapacityBytes } = settings
    this._service = new BatchService({ replica: this._replica, state: this._state, clock: systemClock, logger, scope: this._scope, keepMs, stateCapacityBytes, mayDropParts: () => this._allDropParts() })
    this._commands = new ControlCommands(() => this._follower.addresses, this._transport, this._scope, onFatal)
    this._quarantine = this._createQuarantine()
    this._routeOf = routeFinder(this._view)
    this._executor = this._createExecutor()
    this._runnerService = new RunnerService({ clock: systemClock, logger, supervisor: this._supervisor, links: this._replica.links, executor: this._executor, hostId: settings.hostId, incarnationId: systemRandom().id() })
  }

  /**
   * Waits until the data folder can be used, and starts serving.
   * @throws StorageError if the data folder can never be used.
   */
  static async start (options: StoreProgramOptions): Promise<StoreProgram> {
    const { settings, logger, startScope = new Scope('start') } = options
    const folder = settings.dataFolder
    const { opened, readMs } = await openReplica({ folder, openDisk: () => FileDisk.open(folder), hostId: settings.hostId, newId: () => systemRandom().id(), clock: systemClock, logger, scope: startScope })
    const program = new StoreProgram(options, opened, readMs)
    await program._start()
    return program
  }

  /** Graceful stop: stores unfinished output and hands leadership to another host first. */
  async stop (): Promise<void> {
    this._options.logger.event(BatchEvent.Stopping)
    const progress = new Progress(systemClock, this._scope, systemClock.nowMs() + HANDOVER_TIMEOUT_MS)
    await this._dispatcher?.replicateOutputs(progress)
    await this._replica.handOver(progress)
    await this._runnerService.stop(progress)
    await this._supervisor.stop('planned stop')
  }

  /** Replaces the control host addresses after a change of the settings. */
  setControlAddresses (addresses: string[]): void {
    this._follower.follow(addresses)
  }

  private async _start (): Promise<void> {
    const { settings, logger, onFatal } = this._options
    const { hostId, peerAddress, dataCentre } = settings
    const handlers = new RpcHandlers()
    this._replica.serve(handlers)
    this._service.serve(handlers)
    this._runnerService.serve(handlers)
    handlers.on(joinStoreMethod, newcomer => this._join(newcomer))
    handlers.on(reportTasksMethod, report => this._receiveReports(report))
    await this._transport.listen(peerAddress, this._scope, connection => { servePeer(connection, handlers, onFatal) })
    this._replica.start()
    this._follower.start()
    this._quarantine.start()
    const membership = new StoreMembership({ replica: this._replica, view: this._view, clock: systemClock, logger, hostId, peerAddress, dataCentre })
    this._supervisor.spawn('membership', scope => membership.run(scope))
    this._supervisor.spawn('gauges', scope => this._reportGauges(scope))
    this._supervisor.spawn('leading', scope => this._leadWhenElected(scope))
    logger.event(BatchEvent.Started, { hostId, replicaId: this._replica.core.replicaId, appliedIndex: this._replica.appliedIndex })
  }

  private async _reportGauges (scope: Scope): Promise<void> {
    const { metrics } = this._options
    const voterWatch = new VoterWatch(this._replica)
    await everySecond(systemClock, scope, () => {
      setReplicaGauges(this._replica, metrics)
      setBatchGauges(this._state, metrics)
      voterWatch.review()
    })
  }

  private _join (newcomer: StoreReplica) {
    if (!this._replica.leadership) return { kind: 'notLeader' as const, leaderAddress: this._replica.core.leader?.peerAddress }
    const outcome = this._replica.join({ ...newcomer, operatorAddress: newcomer.peerAddress })
    return { kind: 'answered' as const, outcome: outcome.kind === 'refused' ? outcome.reason : outcome.kind }
  }

  private _receiveReports ({ term, ...report }: TasksReport): TasksReportReply {
    if (this._runnerPool?.term !== term) return { kind: 'notLeader' }
    return { kind: 'received', unknownTaskIds: this._runnerPool.receive(report) }
  }

  private _describe (): FleetHost {
    const { hostId, hostName, dataCentre, peerAddress } = this._options.settings
    const { core, leadership } = this._replica
    const isLeader = leadership?.holdsLease() === true
    const memberIds = isLeader ? core.members.map(({ replicaId }) => replicaId) : []
    const store = { replicaId: core.replicaId, peerAddress, clusterId: core.clusterId, term: core.term, isLeader, memberIds, takesParts: true, dropsParts: true }
    return { hostId, hostName, dataCentre, role: HostRole.Store, isServing: true, store }
  }

  /** Whether all store hosts apply that parts of submissions give way. */
  private _allDropParts (): boolean {
    return this._view.hosts(HostRole.Store).every(({ store }) => store?.dropsParts === true)
  }

  private async _leadWhenElected (scope: Scope): Promise<void> {
    for (;;) {
      const { leadership } = this._replica
      if (!leadership) {
        await this._replica.core.leaderChanged.wait(scope)
        continue
      }
      this._follower.announceChange()
      await this._lead(leadership, scope)
      this._follower.announceChange()
    }
  }

  private async _lead (leadership: Leadership, scope: Scope): Promise<void> {
    const supervisor = this._supervisor.child(`dispatch in term ${leadership.term}`)
    leadership.scope.onClose(() => supervisor.scope.close('leadership over'))
    const ended = new Promise<void>(resolve => supervisor.scope.onClose(resolve))
    supervisor.spawn('dispatch', taskScope => this._dispatch(leadership, supervisor, taskScope))
    await scope.race(ended)
  }

  private async _dispatch (leadership: Leadership, supervisor: Supervisor, scope: Scope): Promise<void> {
    await this._replica.whenCaughtUp(scope)
    this._follower.announceChange()
    const runnerPool = this._createRunnerPool(leadership, supervisor)
    const dispatcher = this._createDispatcher(runnerPool, supervisor)
    this._dispatcher = dispatcher
    this._runnerPool = runnerPool
    scope.onClose(() => {
      this._dispatcher = undefined
      this._runnerPool = undefined
    })
    supervisor.spawn('runners', taskScope => runnerPool.watch(taskScope))
    const { settings, client, logger, metrics } = this._options
    const rollout = new WeightRollout({
      clock: systemClock,
      logger,
      metrics,
      client,
      view: this._view,
      dispatcher,
      leadership,
      replica: this._replica,
      orders: this._orders,
      supervisor,
      holder: settings.hostName,
      orderLeaseMs: settings.orderLeaseMs
    })
    const retirement = new StoreRetirement({ replica: this._replica, leadership, view: this._view, commands: this._commands, clock: systemClock, logger })
    supervisor.spawn('weights', taskScope => rollout.run(taskScope))
    this._spawnSupply(leadership, dispatcher, supervisor)
    supervisor.spawn('retirements', taskScope => retirement.run(taskScope))
    await runnerPool.announce(new Progress(systemClock, scope, systemClock.nowMs() + ANNOUNCE_TIMEOUT_MS))
    await dispatcher.run(scope)
  }

  private _spawnSupply (leadership: Leadership, dispatcher: BatchDispatcher, supervisor: Supervisor): void {
    const { settings, infrastructure, logger, metrics } = this._options
    if (!infrastructure) return
    const ledger = this._state.supply
    const holder = settings.hostName
    const lease = new DutyLease({ clock: systemClock, leadership, holder, latestHolder: () => ledger.holder, leaseMs: settings.orderLeaseMs })
    const commit = async (command: BatchCommand, scope: Scope): Promise<boolean> => {
      return (await this._replica.propose(command, new Progress(systemClock, scope, systemClock.nowMs() + SUPPLY_COMMIT_TIMEOUT_MS))).kind === 'committed'
    }
    const supply = new EngineSupply({
      clock: systemClock,
      logger,
      metrics,
      lease,
      ledger,
      infrastructure,
      holder,
      services: () => this._view.routing?.services ?? [],
      endpointsOf: service => this._view.endpointsOf(service),
      needOf: service => dispatcher.supplyNeedOf(service),
      claim: scope => commit({ kind: BatchCommandKind.ClaimSupply, holder }, scope),
      note: (order, scope) => commit({ kind: BatchCommandKind.OrderSupply, ...order }, scope)
    })
    supervisor.spawn('engine supply', taskScope => supply.run(taskScope))
  }

  private _createQuarantine (): RequestQuarantine {
    const { client, logger, metrics } = this._options
    return new RequestQuarantine({
      view: this._view,
      clock: systemClock,
      client,
      supervisor: this._supervisor,
      logger,
      metrics,
      submit: (command, progress) => this._commands.commit(command, progress)
    })
  }

  private _createPool (): EndpointPool {
    const { settings: { dataCentre, hostId }, logger, metrics } = this._options
    return new EndpointPool({ view: this._view, clock: systemClock, random: systemRandom(), dataCentre, hostId, logger, metrics })
  }

  private _createExecutor (): LocalExecutor {
    const { client, logger, metrics } = this._options
    const forwarder = new RequestForwarder({ view: this._view, pool: this._createPool(), client, quarantine: this._quarantine, random: systemRandom(), logger, metrics, admission: this._services })
    const isOverloaded = (): boolean => this._dispatcher?.isOverloaded ?? this._runnerService.isLate
    return new LocalExecutor({ clock: systemClock, metrics, client, forwarder, routeOf: this._routeOf, isOverloaded })
  }

  private _createRunnerPool (leadership: Leadership, supervisor: Supervisor): RunnerPool {
    const { settings: { hostId, dataCentre, peerAddress }, logger, metrics } = this._options
    const isOverloaded = (): boolean => this._dispatcher?.isOverloaded === true
    return new RunnerPool({
      clock: systemClock, logger, metrics, view: this._view, links: this._replica.links, local: this._executor, hostId, dataCentre, peerAddress, term: leadership.term, scope: supervisor.scope, holdsLease: () => leadership.holdsLease(), isOverloaded
    })
  }

  private _createDispatcher (executor: RunnerPool, supervisor: Supervisor): BatchDispatcher {
    const { logger, metrics } = this._options
    return new BatchDispatcher({
      clock: systemClock,
      random: systemRandom(),
      logger,
      metrics,
      executor,
      routeOf: this._routeOf,
      quarantine: this._quarantine,
      pool: this._createPool(),
      view: this._view,
      replica: this._replica,
      state: this._state,
      ages: this._ages,
      supervisor
    })
  }
}

function servePeer (connection: Connection, handlers: RpcHandlers, onFatal: (error: unknown) => void): RpcPeer {
  return new RpcPeer(connection, handlers, onFatal)
}
