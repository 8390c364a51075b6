/**
 * The engines as the leader of the batch store knows them: what it runs on
 * each, how fast events come, and which versions of weights each holds. Only
 * the leader sends to them, so its own count of runs is the load.
 */
import type { EndpointHealth } from '../endpoints/endpointHealth.js'
import type { EndpointPool } from '../endpoints/endpointPool.js'
import type { FleetEndpoint } from '../protocol/fleet.js'
import type { NamedWeights } from '../protocol/routingCommands.js'
import type { Clock } from '../utils/clock.js'
import { EnginePace } from './enginePace.js'

/** Engines start with the first version. */
const FIRST_VERSION = 1

export class Engine {
  endpoint: FleetEndpoint
  runningCount = 0
  /** Tokens that its runs are expected to hold in its memory. */
  heldTokensCount = 0
  /** The load that is under way, or whose outcome is not known yet. */
  load: { model: string, version: number } | undefined
  readonly pace: EnginePace
  readonly health: EndpointHealth
  private readonly _versions = new Map<string, number>()

  constructor (endpoint: FleetEndpoint, health: EndpointHealth, clock: Clock) {
    this.endpoint = endpoint
    this.health = health
    this.pace = new EnginePace(clock)
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

  /** Whether it takes new runs, apart from room. */
  get isSound (): boolean {
    return this.health.isOpen && !this.health.isFull
  }

  /** Whether it takes new runs of a model, apart from room: while one loads, the others go on. */
  mayBegin (model: string): boolean {
    return this.isSound && this.load?.model !== model
  }

  /** Whether a run of the model may begin now; one alone where it has yet to show that slowness has passed. */
  mayRun (model: string): boolean {
    const hasRoom = this.pace.isInDoubt ? this.runningCount === 0 : this.freeSlotsCount > 0
    return hasRoom && this.mayBegin(model)
  }

  /** A run takes a slot. */
  enter (tokensCount: number): void {
    this.health.began()
    this.runningCount++
    this.heldTokensCount += tokensCount
  }

  /** A run gives its slot back. */
  leave (tokensCount: number): void {
    this.runningCount--
    this.heldTokensCount -= tokensCount
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
      engine.learnWeights(endpoint.weights)
    }
    return engine
  }
}
