/**
 * The engines as the leader of the batch store knows them: what it runs on
 * each, how fast events come, and which versions of weights each holds. Only
 * the leader sends to them, so its own count of runs is the load.
 */
import type { EndpointHealth } from '../endpoints/endpointHealth.js'
import type { EndpointPool } from '../endpoints/endpointPool.js'
import type { FleetEndpoint } from '../protocol/fleet.js'
import type { NamedWeights } from '../protocol/routingCommands.js'

/** Weight of a new gap between events in the running mean. */
const GAP_WEIGHT = 0.1
/** Engines start with the first version. */
const FIRST_VERSION = 1

export class Engine {
  endpoint: FleetEndpoint
  runningCount = 0
  /** Tokens that its runs are expected to hold in its memory. */
  heldTokensCount = 0
  /** A load is under way, or its outcome is not known yet. */
  isLoading = false
  /** Mean time between two events of a run; undefined before any. */
  meanGapMs: number | undefined
  readonly health: EndpointHealth
  private readonly _versions = new Map<string, number>()

  constructor (endpoint: FleetEndpoint, health: EndpointHealth) {
    this.endpoint = endpoint
    this.health = health
    this.learnWeights(endpoint.weights)
  }

  get id (): string {
    return this.endpoint.endpointId
  }

  get freeSlotsCount (): number {
    return Math.max(0, this.endpoint.slotsCount - this.runningCount)
  }

  version (model: string): number {
    return this._versions.get(model) ?? FIRST_VERSION
  }

  /** Versions only grow; a heartbeat may be older than what an answer said. */
  learnWeights (weights: readonly NamedWeights[]): void {
    for (const { model, version } of weights) this.learnVersion(model, version)
  }

  learnVersion (model: string, version: number): void {
    if (version > this.version(model)) this._versions.set(model, version)
  }

  /** The engine itself says so: an order that was carried out late may have taken it back. */
  setVersion (model: string, version: number): void {
    this._versions.set(model, version)
  }

  sawGap (gapMs: number): void {
    this.meanGapMs = this.meanGapMs === undefined ? gapMs : this.meanGapMs + GAP_WEIGHT * (gapMs - this.meanGapMs)
  }

  mayRun (): boolean {
    return !this.isLoading && this.freeSlotsCount > 0 && !this.health.isSuspect && !this.health.isFull
  }
}

export class EngineFleet {
  private readonly _pool: EndpointPool
  private readonly _engines = new Map<string, Engine>()

  constructor (pool: EndpointPool) {
    this._pool = pool
  }

  /** The ready engines of a service. */
  ofService (service: string): Engine[] {
    return this._pool.ofService(service).map(endpoint => this._engineOf(endpoint))
  }

  private _engineOf (endpoint: FleetEndpoint): Engine {
    let engine = this._engines.get(endpoint.endpointId)
    if (!engine) {
      engine = new Engine(endpoint, this._pool.health(endpoint.endpointId))
      this._engines.set(endpoint.endpointId, engine)
    }
    if (engine.endpoint !== endpoint) {
      engine.endpoint = endpoint
      engine.learnWeights(endpoint.weights)
    }
    return engine
  }
}
