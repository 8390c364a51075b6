/**
 * The engines as the leader of the batch store sees them: the runs on each, the
 * time per event, and the weight versions loaded on each engine. Only the leader
 * assigns runs to engines, so its own count of runs is their load.
 */
import type { EndpointHealth } from '../endpoints/endpointHealth.js'
import type { EndpointPool } from '../endpoints/endpointPool.js'
import type { FleetEndpoint } from '../protocol/fleet.js'
import type { NamedWeights } from '../protocol/routingCommands.js'
import type { Clock } from '../utils/clock.js'
import { EnginePace } from './enginePace.js'

/** Weight version that is loaded on an engine when the engine starts. */
const INITIAL_VERSION = 1

export class Engine {
  endpoint: FleetEndpoint
  runningCount = 0
  /** Tokens that the runs of the engine are expected to occupy in its KV cache. */
  reservedTokensCount = 0
  /** The weight load in progress, or a weight load whose outcome is not known yet. */
  load: { model: string, version: number } | undefined
  readonly pace: EnginePace
  readonly health: EndpointHealth
  private readonly _versions = new Map<string, number>()

  constructor (endpoint: FleetEndpoint, health: EndpointHealth, clock: Clock) {
    this.endpoint = endpoint
    this.health = health
    this.pace = new EnginePace(clock)
    this.recordWeights(endpoint.weights)
  }

  get id (): string {
    return this.endpoint.endpointId
  }

  get freeSlotsCount (): number {
    return Math.max(0, this.endpoint.slotsCount - this.runningCount)
  }

  version (model: string): number {
    return this._versions.get(model) ?? INITIAL_VERSION
  }

  /** Never lowers a version: a heartbeat may be older than the latest report. */
  recordWeights (weights: readonly NamedWeights[]): void {
    for (const { model, version } of weights) this.recordVersion(model, version)
  }

  recordVersion (model: string, version: number): void {
    if (version > this.version(model)) this._versions.set(model, version)
  }

  /** Sets what the engine itself reported, even if lower: an order that was carried out late may have restored an older version. */
  setVersion (model: string, version: number): void {
    this._versions.set(model, version)
  }

  /** Whether the engine accepts new runs, regardless of free slots. */
  get isHealthy (): boolean {
    return this.health.isAvailable && !this.health.isFull
  }

  /** Whether the engine accepts new runs of a model, regardless of free slots. A weight load blocks only the model that it loads. */
  acceptsRuns (model: string): boolean {
    return this.isHealthy && this.load?.model !== model
  }

  /** Whether a run of the model can start now. An engine that needs a probe gets a single run. */
  canStartRun (model: string): boolean {
    const hasRoom = this.pace.needsProbe ? this.runningCount === 0 : this.freeSlotsCount > 0
    return hasRoom && this.acceptsRuns(model)
  }

  /** Occupies a slot. */
  addRun (tokensCount: number): void {
    this.health.began()
    this.runningCount++
    this.reservedTokensCount += tokensCount
  }

  /** Frees a slot. */
  removeRun (tokensCount: number): void {
    this.runningCount--
    this.reservedTokensCount -= tokensCount
  }
}

export class EngineFleet {
  private readonly _pool: EndpointPool
  private readonly _clock: Clock
  private readonly _engines = new Map<string, Engine>()

  constructor (pool: EndpointPool, clock: Clock) {
    this._pool = pool
    this._clock = clock
  }

  /** The ready engines of a service. */
  ofService (service: string): Engine[] {
    return this._pool.ofService(service).map(endpoint => this._engineOf(endpoint))
  }

  private _engineOf (endpoint: FleetEndpoint): Engine {
    let engine = this._engines.get(endpoint.endpointId)
    if (!engine) {
      engine = new Engine(endpoint, this._pool.health(endpoint.endpointId), this._clock)
      this._engines.set(endpoint.endpointId, engine)
    }
    if (engine.endpoint !== endpoint) {
      engine.endpoint = endpoint
      engine.recordWeights(endpoint.weights)
    }
    return engine
  }
}
