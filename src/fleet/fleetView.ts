/**
 * The state of the fleet as known to this host, merged from all control hosts that
 * it follows. The routing version, the lifecycle of an endpoint and the named
 * version of weights only move forward.
 */
import { KnownLeaves, type EndpointLeave } from '../protocol/endpointLeaves.js'
import { EndpointLifecycle, HostRole, type FleetEndpoint, type FleetHost, type FleetUpdate } from '../protocol/fleet.js'
import { RetirementState, type Retirement, type StoreGroup } from '../protocol/routingCommands.js'
import type { Routing } from '../protocol/routing.js'
import type { Logger } from '../utils/logger.js'
import { Signal } from '../utils/signal.js'
import { FleetEvent } from './fleetEvents.js'
import { KnownQuarantine } from './knownQuarantine.js'

/** Number of removed endpoints, and of newest incarnations, that are remembered so that an outdated control host does not bring them back. */
const MAX_REMEMBERED_COUNT = 4_096

export class FleetView {
  /** Notified after any change. */
  readonly changed = new Signal()
  /** Quarantined requests, as reported by the control hosts. */
  readonly quarantine = new KnownQuarantine()
  routing: Routing | undefined
  storeGroup: StoreGroup | undefined
  private readonly _logger: Logger
  private readonly _endpoints = new Map<string, FleetEndpoint>()
  private readonly _removedIds = new Set<string>()
  /** Includes departures of endpoints that are unknown here: an outdated control host must not bring such endpoints back. */
  private readonly _leaves = new KnownLeaves()
  /** The newest known incarnation, by the name of the endpoint. */
  private readonly _newestIncarnations = new Map<string, FleetEndpoint>()
  /** Hosts, by the address of the control host that reported them and then by the id of the host. */
  private readonly _hosts = new Map<string, Map<string, FleetHost>>()
  /** Cached merge of `_hosts`; computed on first use after a change. */
  private _merged: FleetHost[] | undefined
  private readonly _weights = new Map<string, number>()
  private readonly _retirements = new Map<string, Retirement>()
  private readonly _listeners = new Set<() => void>()
  private _loggedStoreLeaderId: string | undefined

  constructor (logger: Logger) {
    this._logger = logger
  }

  /** Adds a listener that is called synchronously after every change; the returned function removes it. */
  onChange (listener: () => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /** Endpoints that accept new work. */
  ready (): FleetEndpoint[] {
    return [...this._endpoints.values()].filter(({ lifecycle }) => lifecycle === EndpointLifecycle.Ready)
  }

  /** Known endpoints of a service, including those that are leaving. */
  endpointsOf (service: string): FleetEndpoint[] {
    return [...this._endpoints.values()].filter(endpoint => endpoint.service === service)
  }

  endpoint (endpointId: string): FleetEndpoint | undefined {
    return this._endpoints.get(endpointId)
  }

  /** Whether this incarnation of the endpoint is known to be leaving or to have left, so that its termination is expected. */
  isLeaving (endpoint: FleetEndpoint): boolean {
    const lifecycle = this._endpoints.get(endpoint.endpointId)?.lifecycle ?? EndpointLifecycle.Ready
    return Math.max(lifecycle, this._leaves.lifecycleOf(endpoint)) > EndpointLifecycle.Ready
  }

  /** Hosts of a role that at least one control host is connected to. */
  hosts (role: HostRole): FleetHost[] {
    this._merged ??= mergeHosts(this._hosts.values())
    return this._merged.filter(host => host.role === role)
  }

  /** The leader of the batch store in the latest reported term. */
  storeLeader (): FleetHost | undefined {
    const leading = this.hosts(HostRole.Store).filter(({ store }) => store?.isLeader === true)
    return leading.sort((left, right) => termOf(right) - termOf(left))[0]
  }

  namedVersion (model: string): number {
    return this._weights.get(model) ?? 1
  }

  retirementOf (hostId: string): Retirement | undefined {
    return [...this._retirements.values()].find(retirement => retirement.hostId === hostId)
  }

  openRetirements (): Retirement[] {
    return [...this._retirements.values()].filter(({ state }) => state === RetirementState.Serving)
  }

  /** Merges an update of a control host. */
  merge (controlAddress: string, update: FleetUpdate): void {
    if (update.routing) this.replaceRouting(update.routing)
    this._updateHosts(controlAddress, update)
    this.storeGroup ??= update.storeGroup
    for (const { model, version } of update.weights ?? []) this._nameWeights(model, version)
    for (const retirement of update.retirements ?? []) this._retire(retirement)
    this.quarantine.merge(update.quarantine ?? [])
    this._updateEndpoints(update)
    this._notify()
  }

  /** Drops the hosts that a control host reported, as this control host is no longer connected. */
  removeHostsOf (controlAddress: string): void {
    if (!this._hosts.delete(controlAddress)) return
    this._merged = undefined
    this._logStoreLeader()
    this._notify()
  }

  /** Removes an endpoint whose address another endpoint has taken over. */
  markRemoved (endpointId: string): void {
    const known = this._endpoints.get(endpointId)
    if (known) this._mergeEndpoint({ ...known, lifecycle: EndpointLifecycle.Gone })
    this._notify()
  }

  replaceRouting (routing: Routing): void {
    if (this.routing && routing.version <= this.routing.version) return
    this.routing = routing
    this._logger.event(FleetEvent.RoutingInForce, { routingVersion: routing.version, routesCount: routing.routes.length })
  }

  private _notify (): void {
    for (const listener of this._listeners) listener()
    this.changed.notify()
  }

  /** Departures are applied first, so that an endpoint that has left is not used even for a moment. */
  private _updateEndpoints ({ leaves = [], endpoints = [], silent = [] }: FleetUpdate): void {
    for (const leave of leaves) this._applyLeave(leave)
    for (const endpoint of endpoints) this._mergeEndpoint(endpoint)
    for (const { endpointId, sequence } of silent) this._removeSilent(endpointId, sequence)
  }

  private _updateHosts (controlAddress: string, { hosts, changedHosts = [], lostHostIds = [], hostLoads = [] }: FleetUpdate): void {
    const changesCount = changedHosts.length + lostHostIds.length + hostLoads.length
    if (!hosts && changesCount === 0) return
    const known = hosts ? new Map<string, FleetHost>() : this._hosts.get(controlAddress) ?? new Map<string, FleetHost>()
    for (const host of [...hosts ?? [], ...changedHosts]) known.set(host.hostId, host)
    for (const hostId of lostHostIds) known.delete(hostId)
    setLoads(known, hostLoads)
    this._hosts.set(controlAddress, known)
    this._merged = undefined
    this._logStoreLeader()
  }

  private _logStoreLeader (): void {
    const leader = this.storeLeader()
    if (leader?.hostId === this._loggedStoreLeaderId) return
    this._loggedStoreLeaderId = leader?.hostId
    if (leader) this._logger.event(FleetEvent.StoreLeaderKnown, { hostId: leader.hostId, hostName: leader.hostName, term: termOf(leader) })
    else this._logger.event(FleetEvent.StoreLeaderLost)
  }

  private _nameWeights (model: string, version: number): void {
    if (version <= (this._weights.get(model) ?? 0)) return
    this._weights.set(model, version)
    this._logger.event(FleetEvent.WeightsNamed, { model, version })
  }

  private _retire (retirement: Retirement): void {
    const known = this._retirements.get(retirement.hostName)
    if (known?.state !== RetirementState.Completed) this._retirements.set(retirement.hostName, retirement)
  }

  private _applyLeave (leave: EndpointLeave): void {
    const newest = this._newestIncarnations.get(leave.name)
    this._leaves.record(leave, newest?.bornAtMs)
    const known = newest && this._endpoints.get(newest.endpointId)
    if (known && this._leaves.lifecycleOf(known) > known.lifecycle) this._mergeEndpoint(known)
  }

  private _mergeEndpoint (received: FleetEndpoint): void {
    const { endpointId } = received
    if (this._removedIds.has(endpointId) || !this._isNewestIncarnation(received)) return
    const known = this._endpoints.get(endpointId)
    const lifecycle = Math.max(known?.lifecycle ?? EndpointLifecycle.Ready, received.lifecycle, this._leaves.lifecycleOf(received))
    const newest = known && known.sequence > received.sequence ? known : received
    const endpoint = { ...newest, lifecycle }
    if (lifecycle === EndpointLifecycle.Gone) this._removeEndpoint(endpointId)
    else this._endpoints.set(endpointId, endpoint)
    this._logEndpoint(known, endpoint)
  }

  /** A newer incarnation replaces an earlier one, whose later updates are ignored as outdated. */
  private _isNewestIncarnation (received: FleetEndpoint): boolean {
    const newest = this._newestIncarnations.get(received.name)
    if (newest && received.bornAtMs < newest.bornAtMs) return false
    if (newest && newest.endpointId !== received.endpointId) this._removeEndpoint(newest.endpointId)
    this._newestIncarnations.delete(received.name)
    this._newestIncarnations.set(received.name, received)
    dropOldest(this._newestIncarnations)
    return true
  }

  private _logEndpoint (known: FleetEndpoint | undefined, endpoint: FleetEndpoint): void {
    const { endpointId, service, address, sequence, lifecycle } = endpoint
    const event = lifecycle === EndpointLifecycle.Ready ? FleetEvent.EndpointKnown : FleetEvent.EndpointLeft
    const hasChanged = known?.lifecycle !== lifecycle || JSON.stringify(known.weights) !== JSON.stringify(endpoint.weights)
    if (hasChanged) this._logger.event(event, { endpointId, service, address, sequence, weights: endpoint.weights.map(({ model, version }) => `${model}@${version}`) })
  }

  private _removeEndpoint (endpointId: string): void {
    this._endpoints.delete(endpointId)
    this._removedIds.add(endpointId)
    dropOldest(this._removedIds)
  }

  /** Removes an endpoint that sends no heartbeats, unless another control host has received a newer heartbeat. */
  private _removeSilent (endpointId: string, sequence: number): void {
    const known = this._endpoints.get(endpointId)
    if (!known || known.sequence > sequence) return
    this._endpoints.delete(endpointId)
    this._logger.event(FleetEvent.EndpointSilent, { endpointId, service: known.service, sequence })
  }
}

/** Loads of hosts that are not known here are dropped: the description that follows carries them. */
function setLoads (hosts: Map<string, FleetHost>, hostLoads: NonNullable<FleetUpdate['hostLoads']>): void {
  for (const { hostId, load } of hostLoads) {
    const host = hosts.get(hostId)
    if (host) hosts.set(hostId, { ...host, load })
  }
}

/** If several control hosts report a host, the entry with the latest term wins. */
function mergeHosts (hostsByControlHost: Iterable<Map<string, FleetHost>>): FleetHost[] {
  const merged = new Map<string, FleetHost>()
  for (const hosts of hostsByControlHost) {
    for (const host of hosts.values()) {
      const other = merged.get(host.hostId)
      if (!other || termOf(host) >= termOf(other)) merged.set(host.hostId, host)
    }
  }
  return [...merged.values()]
}

function termOf (host: FleetHost): number {
  return host.store?.term ?? 0
}

function dropOldest (remembered: Set<string> | Map<string, unknown>): void {
  if (remembered.size <= MAX_REMEMBERED_COUNT) return
  const [oldest] = remembered.keys()
  if (oldest !== undefined) remembered.delete(oldest)
}
