/**
 * The endpoints of all services with their health, and the choice among them:
 * the one where a request should be done first, by the requests there and the
 * time that its recent ones took.
 */
import type { FleetEndpoint } from '../protocol/fleet.js'
import type { FleetView } from '../fleet/fleetView.js'
import type { Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { RandomSource } from '../utils/randomSource.js'
import { EndpointEvent } from './endpointEvents.js'
import { EndpointHealth, type HealthParts } from './endpointHealth.js'

/** A request to another data centre costs its transfer; below this gain it stays. */
const FOREIGN_PENALTY = 1.1
/** Stands in for the duration of calls to an endpoint that had none lately, in milliseconds. */
const UNKNOWN_MEAN_MS = 30
/** Answers of a service that are remembered: enough for a quantile of 0.95, few enough to follow a change. */
const MAX_DURATIONS_COUNT = 100
/** Breaks ties, so that hosts do not all choose the same endpoint. */
const JITTER = 0.1

/** With more of a service's endpoints accused, the fault is hardly theirs: they are tried instead of being left out for long. */
const MAX_LEFT_OUT_SHARE = 0.5

const NONE: ReadonlySet<string> = new Set()

export interface EndpointPoolParts {
  view: FleetView
  clock: Clock
  random: RandomSource
  dataCentre: string
  logger: Logger
  metrics: Metrics
}

export class EndpointPool {
  private readonly _parts: EndpointPoolParts
  private readonly _health = new Map<string, EndpointHealth>()
  /** Durations of recent answers by service, the oldest first. */
  private readonly _durations = new Map<string, number[]>()

  constructor (parts: EndpointPoolParts) {
    this._parts = parts
  }

  /** Ready endpoints of a service. */
  ofService (service: string): FleetEndpoint[] {
    return this._parts.view.ready().filter(endpoint => endpoint.service === service)
  }

  health (endpointId: string): EndpointHealth {
    let health = this._health.get(endpointId)
    if (!health) {
      health = new EndpointHealth(this._healthPartsOf(endpointId))
      this._health.set(endpointId, health)
    }
    return health
  }

  private _healthPartsOf (endpointId: string): HealthParts {
    const { clock, logger, metrics, view } = this._parts
    return {
      clock,
      onLeftOut: (reason, forMs, failuresCount) => {
        const service = view.endpoint(endpointId)?.service ?? ''
        logger.event(EndpointEvent.LeftOut, { endpointId, service, reason, forMs, failuresCount })
        metrics.count(MetricName.EndpointLeftOut, { pool: service, reason })
      },
      onProven: () => logger.event(EndpointEvent.Proven, { endpointId }),
      isWidespread: () => this._isWidespread(view.endpoint(endpointId)?.service)
    }
  }

  /** Whether most endpoints of a service are accused at this moment. */
  private _isWidespread (service: string | undefined): boolean {
    if (service === undefined) return false
    const endpoints = this.ofService(service)
    const accusedCount = endpoints.filter(({ endpointId }) => this._health.get(endpointId)?.isAccused === true).length
    return accusedCount > MAX_LEFT_OUT_SHARE * endpoints.length
  }

  /**
   * The endpoint to try next.
   * @param tried endpoints that were tried already; chosen only if there is no other
   * @param risky endpoints that may end soon; chosen only if there is no other that was not tried
   */
  choose (service: string, tried: ReadonlySet<string>, risky: ReadonlySet<string> = NONE): FleetEndpoint | undefined {
    const all = this.ofService(service).filter(({ endpointId }) => !this.health(endpointId).isFull)
    const fresh = all.filter(({ endpointId }) => !tried.has(endpointId))
    const safe = fresh.filter(({ endpointId }) => !risky.has(endpointId))
    const candidates = [safe, fresh, all].find(({ length }) => length > 0) ?? []
    const open = candidates.filter(({ endpointId }) => this.health(endpointId).isOpen)
    if (open.length > 0) return this._lowest(open, endpoint => this._expectedMs(endpoint))
    const listening = candidates.filter(({ endpointId }) => !this.health(endpointId).isRefusing)
    return this._lowest(listening.length > 0 ? listening : candidates, ({ endpointId }) => this.health(endpointId).suspectUntilMs)
  }

  /** Slots of the service's endpoints that did not say lately that they are full. */
  roomCount (service: string): number {
    return this.ofService(service).reduce((sum, { endpointId, slotsCount }) => sum + (this.health(endpointId).isFull ? 0 : slotsCount), 0)
  }

  /** Whether it is too soon to connect to an endpoint again, which has just refused that. */
  isRefusing ({ endpointId }: FleetEndpoint): boolean {
    return this.health(endpointId).isRefusing
  }

  /** What a service can do for a request now; undefined when no endpoint of it is known. */
  forecast (service: string): { waitMs: number, typicalMs: number } | undefined {
    const endpoints = this.ofService(service)
    if (endpoints.length === 0) return undefined
    const typicalMs = this.typicalMs(service)
    return { waitMs: Math.min(...endpoints.map(({ endpointId }) => this.health(endpointId).expectedWaitMs(typicalMs))), typicalMs }
  }

  /** An endpoint of the service answered after this time. */
  answeredAfter (service: string, durationMs: number): void {
    const durations = this._durations.get(service) ?? []
    durations.push(durationMs)
    if (durations.length > MAX_DURATIONS_COUNT) durations.shift()
    this._durations.set(service, durations)
  }

  /** Mean duration of recent answers. */
  typicalMs (service: string): number {
    const durations = this._durations.get(service) ?? []
    return durations.length === 0 ? UNKNOWN_MEAN_MS : durations.reduce((sum, durationMs) => sum + durationMs, 0) / durations.length
  }

  /** Durations of recent answers, the shortest first. */
  sortedDurationsMs (service: string): number[] {
    return [...(this._durations.get(service) ?? [])].sort((left, right) => left - right)
  }

  /** Forgets endpoints that are known no more. */
  prune (): void {
    for (const [endpointId, health] of this._health) {
      if (health.runningCount === 0 && !this._parts.view.endpoint(endpointId)) this._health.delete(endpointId)
    }
  }

  private _expectedMs (endpoint: FleetEndpoint): number {
    const health = this.health(endpoint.endpointId)
    const queueFactor = 1 + health.busyCount / Math.max(1, endpoint.slotsCount)
    const distanceFactor = endpoint.dataCentre === this._parts.dataCentre ? 1 : FOREIGN_PENALTY
    const jitter = 1 + JITTER * this._parts.random.real()
    return (health.meanMs ?? UNKNOWN_MEAN_MS) * queueFactor * distanceFactor * jitter
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
