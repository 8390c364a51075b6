/**
 * Creates and connects the parts that hold an entry host's knowledge of
 * endpoints and other hosts: connections to peers, gossip of records between
 * them, and the views that the rest of the host reads.
 */
import type { EntryHost } from '../../protocol/hostCommands.js'
import type { Transport } from '../../transport/connection.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import type { Metrics } from '../../utils/metrics.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import type { Supervisor } from '../../utils/supervisor.js'
import type { EntrySettings } from '../entrySettings.js'
import { PeerMesh } from '../peers/peerMesh.js'
import { Gossip } from './gossip.js'
import { HostStates } from './hostStates.js'
import { LiveDirectory } from './liveDirectory.js'
import { RecordStore } from './recordStore.js'
import { Topology } from './topology.js'

const TOPOLOGY_INTERVAL_MS = 500

export interface FleetOptions {
  settings: EntrySettings
  incarnation: number
  clock: Clock
  random: RandomSource
  transport: Transport
  metrics: Metrics
  logger: Logger
  supervisor: Supervisor
  /** Returns all registered entry hosts. */
  entryHosts: () => EntryHost[]
  inFlightCount: () => number
  takesWork: () => boolean
}

export class Fleet {
  readonly store: RecordStore
  readonly mesh: PeerMesh
  readonly topology: Topology
  readonly gossip: Gossip
  readonly hosts: HostStates
  readonly directory: LiveDirectory
  private readonly _options: FleetOptions

  constructor (options: FleetOptions) {
    const { settings, clock, random, logger, supervisor, transport, entryHosts } = options
    const { hostId, dataCentre, callerAddress } = settings.host
    const { endpointLeaseMs, hostLeaseMs } = settings.limits
    this._options = options
    this.store = new RecordStore(clock)
    this.mesh = new PeerMesh({
      hostId,
      supervisor: supervisor.child('peers'),
      clock,
      random,
      transport,
      logger,
      onFatal: error => supervisor.fatal('peers', error),
      addressOf: id => entryHosts().find(host => host.hostId === id)?.peerAddress
    })
    this.topology = new Topology({
      hostId,
      dataCentre,
      entryHosts,
      connectedHostIds: () => this.mesh.connectedHostIds(),
      mayBeAlive: id => this.hosts.mayBeAlive(id)
    })
    const { mesh, store, topology } = this
    const leaseMs = Math.min(endpointLeaseMs, hostLeaseMs)
    this.gossip = new Gossip({ hostId, store, mesh, topology, clock, random, logger, supervisor: supervisor.child('directory'), leaseMs })
    this.hosts = new HostStates({
      hostId,
      incarnation: options.incarnation,
      dataCentre,
      callerAddress,
      clock,
      store,
      gossip: this.gossip,
      mesh,
      hostLeaseMs,
      inFlightCount: options.inFlightCount,
      takesWork: options.takesWork
    })
    this.directory = new LiveDirectory(store, options.metrics, logger)
  }

  async start (): Promise<void> {
    const { settings, supervisor } = this._options
    await this.mesh.listen(settings.host.peerAddress)
    this.gossip.start()
    supervisor.spawn('topology', scope => this._maintainConnections(scope))
    supervisor.spawn('host state', scope => this.hosts.publishPeriodically(scope))
  }

  /** Resolves when this host has fetched the records of its peers, or the wait limit has passed. */
  async syncFromPeers (scope: Scope): Promise<void> {
    const { clock, settings } = this._options
    // If no peer answers, every endpoint has announced itself again within a third of its lease.
    const waitMs = settings.limits.endpointLeaseMs / 3
    await this.gossip.syncFromPeers(scope, clock.nowMs() + waitMs, () => this.directory.all().length > 0)
  }

  private async _maintainConnections (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      this.mesh.keepConnected(this.topology.wantedConnections())
      await sleepUntil(clock, scope, clock.nowMs() + TOPOLOGY_INTERVAL_MS)
    }
  }
}
