/**
 * Holds the health of the endpoints of all services and chooses among them: the
 * endpoint that is expected to finish a request first, based on the requests
 * that run or wait there and on the duration of recent requests.
 */
import type { FleetEndpoint } from '../protocol/fleet.js'
import type { FleetView } from '../fleet/fleetView.js'
import type { Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { RandomSource } from '../utils/randomSource.js'
import { EndpointEvent } from './endpointEvents.js'
import { EndpointHealth, type EndpointHealthOptions } from './endpointHealth.js'
import { isWorthLeaving, preferredEndpoints } from './endpointSubset.js'

/** Factor on the expected duration at an endpoint in another data centre: a remote endpoint has to gain more than the cost of the transfer. */
const REMOTE_PENALTY_FACTOR = 1.1
/** Assumed mean duration for an endpoint without recent calls. */
const DEFAULT_MEAN_MS = 30
/** Durations kept per service: enough for the 0.95 quantile, few enough to follow changes. */
const MAX_DURATIONS_COUNT = 100
/** Random share added to the expected duration, so that hosts do not all choose the same endpoint. */
const MAX_JITTER_SHARE = 0.1

/** If a larger share of a service's endpoints fails, the cause is probably not at the endpoints: they are tried again instead of being ejected for long. */
const MAX_EJECTED_SHARE = 0.5

const NO_ENDPOINT_IDS: ReadonlySet<string> = new Set()

export interface EndpointPoolOptions {
  view: FleetView
  clock: Clock
  random: RandomSource
  dataCentre: string
  /** Name of this host, by which it chooses the endpoints that it uses first; without it, all endpoints alike. */
  hostId?: string
  logger: Logger
  metrics: Metrics
}

export class EndpointPool {
  private readonly _options: EndpointPoolOptions
  private readonly _health = new Map<string, EndpointHealth>()
  /** Durations of recent answers per service, the oldest first. */
  private readonly _durations = new Map<string, number[]>()

  constructor (options: EndpointPoolOptions) {
    this._options = options
  }

  /** Ready endpoints of a service. */
  ofService (service: string): FleetEndpoint[] {
    return this._options.view.ready().filter(endpoint => endpoint.service === service)
  }

  health (endpointId: string): EndpointHealth {
    let health = this._health.get(endpointId)
    if (!health) {
      health = new EndpointHealth(this._healthOptionsOf(endpointId))
      this._health.set(endpointId, health)
    }
    return health
  }

  private _healthOptionsOf (endpointId: string): EndpointHealthOptions {
    const { clock, logger, metrics, view } = this._options
    return {
      clock,
      onEjected: (reason, forMs, failuresCount) => {
        const service = view.endpoint(endpointId)?.service ?? ''
        logger.event(EndpointEvent.Ejected, { endpointId, service, reason, forMs, failuresCount })
        metrics.count(MetricName.EndpointLeftOut, { pool: service, reason })
      },
      onReinstated: () => logger.event(EndpointEvent.Reinstated, { endpointId }),
      isWidespread: () => this._isWidespread(view.endpoint(endpointId)?.service)
    }
  }

  /** Whether most endpoints of a service have an open circuit breaker now. */
  private _isWidespread (service: string | undefined): boolean {
    if (service === undefined) return false
    const endpoints = this.ofService(service)
    const openBreakersCount = endpoints.filter(({ endpointId }) => this._health.get(endpointId)?.isBreakerOpen === true).length
    return openBreakersCount > MAX_EJECTED_SHARE * endpoints.length
  }

  /**
   * Chooses the endpoint to try next.
   * @param tried endpoints that were already tried; chosen only if there is no other endpoint
   * @param risky endpoints that may terminate soon; chosen only if no other untried endpoint is left
   */
  choose (service: string, tried: ReadonlySet<string>, risky: ReadonlySet<string> = NO_ENDPOINT_IDS): FleetEndpoint | undefined {
    const all = this.ofService(service).filter(({ endpointId }) => !this.health(endpointId).isFull)
    const untried = all.filter(({ endpointId }) => !tried.has(endpointId))
    const safe = untried.filter(({ endpointId }) => !risky.has(endpointId))
    const candidates = [safe, untried, all].find(({ length }) => length > 0) ?? []
    const open = candidates.filter(({ endpointId }) => this.health(endpointId).isAvailable)
    if (open.length > 0) return this._fastest(open)
    const listening = candidates.filter(({ endpointId }) => !this.health(endpointId).isRefusing)
    return this._lowest(listening.length > 0 ? listening : candidates, ({ endpointId }) => this.health(endpointId).ejectedUntilMs)
  }

  /** Slots of the service's endpoints that did not report recently that they are full. */
  availableSlotsCount (service: string): number {
    return this.ofService(service).reduce((sum, { endpointId, slotsCount }) => sum + (this.health(endpointId).isFull ? 0 : slotsCount), 0)
  }

  /** Whether the endpoint has just refused a connection, so that it is too early for another attempt. */
  isRefusing ({ endpointId }: FleetEndpoint): boolean {
    return this.health(endpointId).isRefusing
  }

  /** Estimates how soon the service can serve a request; undefined when none of its endpoints is known. */
  forecast (service: string): { waitMs: number, typicalMs: number } | undefined {
    const endpoints = this.ofService(service)
    if (endpoints.length === 0) return undefined
    const typicalMs = this.typicalMs(service)
    return { waitMs: Math.min(...endpoints.map(({ endpointId }) => this.health(endpointId).expectedWaitMs(typicalMs))), typicalMs }
  }

  /** Records how long an endpoint of the service took to answer. */
  recordDuration (service: string, durationMs: number): void {
    const durations = this._durations.get(service) ?? []
    durations.push(durationMs)
    if (durations.length > MAX_DURATIONS_COUNT) durations.shift()
    this._durations.set(service, durations)
  }

  /** Mean duration of recent answers. */
  typicalMs (service: string): number {
    const durations = this._durations.get(service) ?? []
    return durations.length === 0 ? DEFAULT_MEAN_MS : durations.reduce((sum, durationMs) => sum + durationMs, 0) / durations.length
  }

  /** Durations of recent answers, the shortest first. */
  sortedDurationsMs (service: string): number[] {
    return [...(this._durations.get(service) ?? [])].sort((left, right) => left - right)
  }

  /** Removes the health of endpoints that the fleet view no longer contains. */
  prune (): void {
    for (const [endpointId, health] of this._health) {
      if (health.runningCount === 0 && !this._options.view.endpoint(endpointId)) this._health.delete(endpointId)
    }
  }

  /** Expected duration of a request at the best endpoint of a service beside the one that has it; undefined without another. */
  expectedElsewhereMs (service: string, tried: ReadonlySet<string>): number | undefined {
    const others = this.ofService(service).filter(({ endpointId }) => !tried.has(endpointId) && this.health(endpointId).isAvailable)
    return others.length === 0 ? undefined : Math.min(...others.map(endpoint => this._expectedDurationMs(endpoint)))
  }

  /** The endpoint that is expected to answer first, and of those that this host uses first if they are about as good. */
  private _fastest (candidates: FleetEndpoint[]): FleetEndpoint | undefined {
    const { hostId } = this._options
    const expectedMs = new Map(candidates.map(endpoint => [endpoint, this._expectedMs(endpoint)]))
    const costOf = (endpoint: FleetEndpoint): number => expectedMs.get(endpoint) ?? Number.POSITIVE_INFINITY
    const fastest = this._lowest(candidates, costOf)
    if (hostId === undefined || !fastest) return fastest
    const preferred = this._lowest(preferredEndpoints(hostId, candidates), costOf)
    return preferred && !isWorthLeaving(costOf(preferred), costOf(fastest)) ? preferred : fastest
  }

  /** Cost of choosing an endpoint: its expected duration, more for a remote one, with jitter. */
  private _expectedMs (endpoint: FleetEndpoint): number {
    const distanceFactor = endpoint.dataCentre === this._options.dataCentre ? 1 : REMOTE_PENALTY_FACTOR
    const jitter = 1 + MAX_JITTER_SHARE * this._options.random.real()
    return this._expectedDurationMs(endpoint) * distanceFactor * jitter
  }

  private _expectedDurationMs (endpoint: FleetEndpoint): number {
    const health = this.health(endpoint.endpointId)
    const queueFactor = 1 + health.busyCount / Math.max(1, endpoint.slotsCount)
    return (health.meanMs ?? this._unknownMeanMs(endpoint)) * health.slowdownFactor * queueFactor
  }

  /** Mean duration assumed for an endpoint without recent calls. */
  private _unknownMeanMs ({ service }: FleetEndpoint): number {
    return this._options.hostId === undefined ? DEFAULT_MEAN_MS : this.typicalMs(service)
  }

  private _lowest (endpoints: FleetEndpoint[], valueOf: (endpoint: FleetEndpoint) => number): FleetEndpoint | undefined {
    let lowest: FleetEndpoint | undefined
    let lowestValue = Number.POSITIVE_INFINITY
    for (const endpoint of endpoints) {
      const value = valueOf(endpoint)
      if (lowest && value >= lowestValue) continue
      lowest = endpoint
      lowestValue = value
    }
    return lowest
  }
}
