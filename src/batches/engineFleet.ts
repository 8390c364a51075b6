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

/** Weight of a new gap between events in the running mean. */
const GAP_WEIGHT = 0.05
/** A pace that was not seen for so long may have changed. */
const GAP_LIFETIME_MS = 4_000
/** Engines start with the first version. */
const FIRST_VERSION = 1

export class Engine {
  endpoint: FleetEndpoint
  runningCount = 0
  /** Tokens that its runs are expected to hold in its memory. */
  heldTokensCount = 0
  /** A load is under way, or its outcome is not known yet. */
  isLoading = false
  readonly health: EndpointHealth
  private readonly _versions = new Map<string, number>()
  private readonly _clock: Clock
  private _meanGapMs: number | undefined
  private _gapAtMs = Number.NEGATIVE_INFINITY

  constructor (endpoint: FleetEndpoint, health: EndpointHealth, clock: Clock) {
    this.endpoint = endpoint
    this.health = health
    this._clock = clock
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

  /** Mean time between two events of a run; undefined when none was seen lately. */
  get meanGapMs (): number | undefined {
    return this._clock.nowMs() - this._gapAtMs < GAP_LIFETIME_MS ? this._meanGapMs : undefined
  }

  sawGap (gapMs: number): void {
    const meanGapMs = this.meanGapMs
    this._meanGapMs = meanGapMs === undefined ? gapMs : meanGapMs + GAP_WEIGHT * (gapMs - meanGapMs)
    this._gapAtMs = this._clock.nowMs()
  }

  /** Whether it takes new runs, apart from room. */
  get isSound (): boolean {
    return !this.isLoading && !this.health.isSuspect && !this.health.isFull
  }

  mayRun (): boolean {
    return this.isSound && this.freeSlotsCount > 0
  }

  /** A run takes a slot. */
  enter (tokensCount: number): void {
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
