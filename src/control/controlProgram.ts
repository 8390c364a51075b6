/**
 * The wiring of a control host.
 */
import { createServer, maxHeaderSize, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { ClientRoom, defaultRoomBounds } from '../clients/clientRoom.js'
import { heapLimitBytes } from '../utils/heapLimit.js'
import { ClientGuard } from '../clients/guardedServer.js'
import { problemStatus, type RequestBody } from '../clients/requestBody.js'
import { followMethod } from '../transport/fleetMethods.js'
import { TcpTransport } from '../transport/tcpTransport.js'
import type { RpcHandlers, RpcPeer } from '../transport/rpcPeer.js'
import { PROCESS_STARTED_AT_MS, systemClock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import { everySecond } from '../utils/everySecond.js'
import { Progress } from '../utils/progress.js'
import type { Logger } from '../utils/logger.js'
import type { Metrics } from '../utils/metrics.js'
import { systemRandom } from '../utils/randomSource.js'
import { Scope } from '../utils/scope.js'
import { Supervisor } from '../utils/supervisor.js'
import { adminRouter } from './admin/adminRouter.js'
import { adminClient, LeaderAccess } from './admin/leaderAccess.js'
import { ClientSessions } from './clientSessions.js'
import { ControlEvent } from './controlEvents.js'
import { ControlNode } from './controlNode.js'
import type { ControlSettings } from './controlSettings.js'
import { ControlState } from './controlState.js'
import { EndpointAnnouncements } from './fleet/endpointAnnouncements.js'
import { EndpointDirectory } from './fleet/endpointDirectory.js'
import { FollowerSessions } from './fleet/followerSessions.js'
import { StoreFormation } from './fleet/storeFormation.js'
import { UsageDuty, type UsageDutySettings } from './fleet/usageDuty.js'
import { SilentHostRemoval } from './hosts/silentHostRemoval.js'
import type { Infrastructure } from '../duties/infrastructure.js'
import type { LedgersFactory } from './ledgers/ledgers.js'
import { ClusterFormation, type FormationOptions, type InitialMember, type JoinCall } from '../replication/log/clusterFormation.js'
import { defaultSnapshotPolicy } from '../replication/log/logApplier.js'
import { identifyMethod } from '../replication/log/raftMethods.js'
import { Replica } from '../replication/log/replica.js'
import { placementFor } from '../replication/log/replicaPlacement.js'
import { setReplicaGauges } from '../replication/log/replicaGauges.js'
import { defaultTimings } from '../replication/log/timings.js'
import { OperatorApi } from './operatorApi/operatorApi.js'
import { QuarantineCalls } from './operatorApi/quarantineCalls.js'
import { WatchStreams } from './operatorApi/watchStream.js'
import { WeightNaming } from './fleet/weightNaming.js'
import { LeaderCalls } from './routing/leaderCalls.js'
import { VoterWatch } from '../replication/log/voterWatch.js'
import type { ReplicatedState } from '../replication/replicatedState.js'
import { FileDisk } from '../replication/storage/fileDisk.js'
import { openReplica } from '../replication/openReplica.js'
import type { OpenedReplica } from '../replication/storage/replicaStorage.js'

export interface ControlProgramOptions {
  settings: ControlSettings
  createLedgers: LedgersFactory
  logger: Logger
  metrics: Metrics
  /** Called once when the process has to stop because its state may be invalid. */
  onFatal: (error: unknown) => void
  /** Closes when a stop is asked for during the start; ends the wait for the data folder. */
  startScope?: Scope
  fleet?: FleetOptions
  /** The account of what clients cost this process; one of its own if undefined. */
  clients?: ClientGuard
}

/** Options of control hosts to which endpoints announce themselves. */
export interface FleetOptions {
  /** Interval at which endpoints announce themselves. */
  heartbeatMs: number
  /** Whether this start may form a cluster; false for a host that was added later or lost its disk. */
  mayForm: boolean
  /** A voter that was silent for this long is removed from the members, as long as enough voters remain. */
  strikeSilentAfterMs: number
  /** Number of disks that may be lost at the same time. */
  toleratedLosses: number
  /** Absent if no usage is reported. */
  usageDuty?: { settings: UsageDutySettings, infrastructure: Infrastructure } | undefined
}

/** Interval of endpoint announcements if the deployment sets none. */
const DEFAULT_HEARTBEAT_MS = 1_200
/** Number of disks that may be lost at the same time if the deployment sets none. */
const DEFAULT_TOLERATED_LOSSES = 1
/** Time limit for the confirmation of a follower's first routing configuration. */
const CONFIRM_TIMEOUT_MS = 350
/** A handover takes a few messages and disk syncs; a host that cannot complete one stops anyway. */
const HANDOVER_TIMEOUT_MS = 800
/** Operators, their watches, and the control hosts among each other. */
const MAX_OPERATOR_CONNECTIONS_COUNT = 2_000
const OPERATOR_REST_MS = 15_000
const MAX_ADMIN_BODY_BYTES = 64 * 1024

export class ControlProgram {
  readonly transport: TcpTransport
  private readonly _options: ControlProgramOptions
  private readonly _scope = new Scope('control')
  private readonly _supervisor: Supervisor
  readonly node: ControlNode
  readonly leaderCalls: LeaderCalls
  readonly directory: EndpointDirectory
  readonly announcements: EndpointAnnouncements
  readonly followers: FollowerSessions
  readonly weightNaming: WeightNaming
  private readonly _sessions: ClientSessions
  private readonly _servers: Server[] = []
  private readonly _formationOptions: FormationOptions

  private constructor (options: ControlProgramOptions, opened: OpenedReplica, readMs: number) {
    this._options = options
    this.transport = new TcpTransport(options)
    this._formationOptions = { initialMembers: options.settings.cluster.initialMembers, mayForm: options.fleet?.mayForm ?? true }
    this._supervisor = new Supervisor(this._scope, (_task, error) => options.onFatal(error))
    const state = new ControlState(options.createLedgers)
    const replica = new Replica({
      clock: systemClock,
      random: systemRandom(),
      metrics: options.metrics,
      logger: options.logger,
      timings: defaultTimings,
      transport: this.transport,
      supervisor: this._supervisor,
      onFatal: options.onFatal,
      opened,
      state: state as ReplicatedState<unknown, unknown>,
      snapshotPolicy: defaultSnapshotPolicy,
      startedAtMs: PROCESS_STARTED_AT_MS,
      readMs,
      strikeSilentAfterMs: options.fleet?.strikeSilentAfterMs,
      toleratedLosses: options.fleet?.toleratedLosses
    })
    this.node = new ControlNode(replica, state, systemClock)
    this._sessions = new ClientSessions(this.node, systemClock, options.onFatal)
    this.leaderCalls = new LeaderCalls(this.node)
    this.directory = new EndpointDirectory(systemClock, options.fleet?.heartbeatMs ?? DEFAULT_HEARTBEAT_MS, state.routing.leaves)
    this.followers = new FollowerSessions({
      node: this.node,
      directory: this.directory,
      clock: systemClock,
      logger: options.logger,
      confirm: async progress => (await this.leaderCalls.read(progress)).kind === 'confirmed'
    })
    const { node, directory, followers, leaderCalls } = this
    this.announcements = new EndpointAnnouncements({ node, directory, leaderCalls, followers, clock: systemClock, logger: options.logger })
    this.weightNaming = new WeightNaming({ leaderCalls: this.leaderCalls, followers: this.followers, links: replica.links })
  }

  /**
   * Waits until the data folder can be used, and starts serving.
   * @throws StorageError if the data folder can never be used.
   */
  static async start (options: ControlProgramOptions): Promise<ControlProgram> {
    const { settings, logger, startScope = new Scope('start') } = options
    const folder = settings.storage.dataFolder
    const { opened, readMs } = await openReplica({ folder, openDisk: () => FileDisk.open(folder), hostId: settings.host.hostId, newId: () => systemRandom().id(), clock: systemClock, logger, scope: startScope })
    const program = new ControlProgram(options, opened, readMs)
    await program._start()
    return program
  }

  /** Planned stop: first hands leadership over. Accepted commands are already on disk. */
  async stop (): Promise<void> {
    this._options.logger.event(ControlEvent.Stopping)
    await this.handOver()
    for (const server of this._servers) {
      server.close()
      server.closeAllConnections()
    }
    await this._supervisor.stop('planned stop')
  }

  /** Hands leadership over to another host if this one leads; calls that arrive meanwhile are forwarded to it. */
  async handOver (): Promise<void> {
    await this.node.replica.handOver(new Progress(systemClock, this._scope, systemClock.nowMs() + HANDOVER_TIMEOUT_MS))
  }

  /** Sets the hosts through which this host looks for the cluster from now on. */
  setInitialMembers (initialMembers: InitialMember[]): void {
    this._formationOptions.initialMembers = initialMembers
  }

  private async _start (): Promise<void> {
    const { settings, logger } = this._options
    const { hostId, peerAddress, operatorAddress } = settings.host
    const { replica } = this.node
    await this.transport.listen(peerAddress, this._scope, connection => {
      const peer = this._sessions.accept(connection, (handlers, peerOf) => {
        this._serveReplicas(handlers)
        this._serveFollower(handlers, peerOf)
      })
      this.followers.watch(peer)
    })
    replica.start()
    // Control serves without it; only newcomers and the operators of this host wait for it.
    this._supervisor.spawn('operators', scope => this._listenForOperators(operatorAddress, scope))
    const own = { hostId, peerAddress, operatorAddress }
    const formation = new ClusterFormation(replica.core, replica.links, own, this._formationOptions, joinByAdmin)
    const silentHosts = new SilentHostRemoval(this.node, systemClock, logger)
    this._supervisor.spawn('cluster formation', scope => formation.run(scope))
    this._supervisor.spawn('pushed changes', scope => this._sessions.pushChanges(scope))
    this._supervisor.spawn('followers', scope => this.followers.review(scope))
    this._supervisor.spawn('pushes to followers', scope => this.followers.pushChanges(scope))
    this._supervisor.spawn('store formation', scope => this._formStore(scope))
    this._startUsageDuty()
    this._supervisor.spawn('gauges', scope => this._reportState(scope))
    this._supervisor.spawn('silent hosts', scope => silentHosts.run(scope))
    logger.event(ControlEvent.Started, { hostId, replicaId: replica.core.replicaId, appliedIndex: replica.appliedIndex })
  }

  private _startUsageDuty (): void {
    const { fleet, logger, metrics } = this._options
    if (!fleet?.usageDuty) return
    const duty = new UsageDuty({ ...fleet.usageDuty, node: this.node, followers: this.followers, clock: systemClock, logger, metrics, supervisor: this._supervisor })
    this._supervisor.spawn('usage duty', scope => duty.run(scope))
    this._supervisor.spawn('closed windows', scope => duty.forgetClosed(scope))
  }

  private async _reportState (scope: Scope): Promise<void> {
    const { replica } = this.node
    const voterWatch = new VoterWatch(replica)
    await everySecond(systemClock, scope, () => {
      setReplicaGauges(replica, this._options.metrics)
      voterWatch.review()
    })
  }

  private async _formStore (scope: Scope): Promise<void> {
    const { logger, fleet } = this._options
    const placement = placementFor(fleet?.toleratedLosses ?? DEFAULT_TOLERATED_LOSSES)
    const formation = new StoreFormation({ node: this.node, followers: this.followers, clock: systemClock, random: systemRandom(), logger, placement })
    await formation.run(scope)
  }

  private _serveFollower (handlers: RpcHandlers, peerOf: () => RpcPeer): void {
    handlers.on(followMethod, (request, remainingMs) => {
      const waitMs = Math.min(remainingMs, CONFIRM_TIMEOUT_MS)
      const progress = new Progress(systemClock, peerOf().connection.scope, systemClock.nowMs() + waitMs)
      return this.followers.follow(peerOf(), request, progress)
    })
  }

  private _serveReplicas (handlers: RpcHandlers): void {
    const { core } = this.node.replica
    this.node.replica.serve(handlers)
    handlers.on(identifyMethod, () => ({
      replicaId: core.replicaId,
      hostId: this._options.settings.host.hostId,
      peerAddress: this._options.settings.host.peerAddress,
      operatorAddress: this._options.settings.host.operatorAddress,
      clusterId: core.clusterId,
      leader: core.leader
    }))
  }

  private async _listenForOperators (operatorAddress: string, scope: Scope): Promise<void> {
    const access = new LeaderAccess(this.node, systemClock, this._scope)
    const { node, leaderCalls } = this
    const watches = new WatchStreams(node, leaderCalls, systemClock)
    const { logger, metrics, clients = new ClientGuard({ room: new ClientRoom(defaultRoomBounds(MAX_OPERATOR_CONNECTIONS_COUNT, heapLimitBytes())), clock: systemClock, logger, metrics }) } = this._options
    const api = new OperatorApi({ node, access, leaderCalls, watches, quarantine: new QuarantineCalls(node, leaderCalls), clock: systemClock, bodyOf: request => clients.bodyOf(request) })
    const admin = createHTTPHandler({
      router: adminRouter,
      basePath: '/trpc/',
      createContext: () => ({ node: this.node, clock: systemClock, scope: this._scope })
    })
    const server = createServer({ headersTimeout: OPERATOR_REST_MS, keepAliveTimeout: OPERATOR_REST_MS, requestTimeout: 0 }, (request, response) => {
      if (request.url?.startsWith('/trpc/')) this._handleAdmin(admin, clients.bodyOf(request), request, response)
      else this._handle(api, request, response)
    })
    clients.guard(server, 'operators', () => ({ maxHeadBytes: maxHeaderSize, maxRestMs: OPERATOR_REST_MS }))
    await clients.listen(server, 'operators', operatorAddress, scope)
    this._servers.push(server)
  }

  /** The handler gets a body that was read whole within the bounds on clients. */
  private _handleAdmin (admin: RequestListener, body: RequestBody, request: IncomingMessage, response: ServerResponse): void {
    body.whole(MAX_ADMIN_BODY_BYTES, systemClock.nowMs() + OPERATOR_REST_MS).then(read => {
      if (read.kind === 'read') admin(Object.assign(request, { body: read.body.toString() }), response)
      else response.writeHead(problemStatus[read.kind]).end()
    }).catch(error => this._options.onFatal(error))
  }

  /** Handles one HTTP request in a scope that ends with the response. */
  private _handle (api: OperatorApi, request: IncomingMessage, response: ServerResponse): void {
    const scope = this._scope.child('operator')
    response.on('close', () => scope.close('exchange over'))
    api.handle(request, response, scope).then(isKnown => {
      if (!isKnown) response.writeHead(404).end()
    }).catch(error => {
      if (!(error instanceof ScopeClosedError)) this._options.onFatal(error)
      response.destroy()
    })
  }
}

/** Joins through the admin interface of the leader, or of the host that answered if it knows no leader. */
const joinByAdmin: JoinCall = async (via, newcomer, progress) => {
  const target = via.leader?.operatorAddress ?? via.operatorAddress
  const reply = adminClient(target).join.mutate(newcomer).then(outcome => outcome.kind, (error: Error) => error.message)
  const outcome = await progress.race(reply)
  return outcome.kind === 'done' ? outcome.value : 'no answer in time'
}
