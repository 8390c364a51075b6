/**
 * Brings engines to the weight versions that trainers named. Only the leader of
 * the batch store sends load orders, and it sends none to an engine that another
 * host ordered within the order lease. `nextLoad` decides what to load next, from
 * the state that this module collects.
 */
import type { EndpointClient } from '../endpoints/endpointClient.js'
import type { FleetView } from '../fleet/fleetView.js'
import { EndpointLifecycle } from '../protocol/fleet.js'
import type { Leadership } from '../replication/log/leadership.js'
import type { Replica } from '../replication/log/replica.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import type { Metrics } from '../utils/metrics.js'
import type { Scope } from '../utils/scope.js'
import type { Supervisor } from '../utils/supervisor.js'
import type { BatchDispatcher } from './batchDispatcher.js'
import type { Engine } from '../batchScheduling/engineFleet.js'
import { ASSUMED_TOKEN_MS } from '../batchScheduling/itemOrder.js'
import { LoadConcurrency } from './loadConcurrency.js'
import type { OrderHistory } from './orderHistory.js'
import { MAX_ORDER_TRANSIT_MS, WeightLoad, type RequestedLoad } from './weightLoad.js'
import { nextLoad, type PlannedEngine, type PlannedModel } from './weightPlanner.js'
import type { ModelEngine } from '../protocol/routing.js'

const PLANNING_INTERVAL_MS = 30

export interface WeightRolloutOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  client: EndpointClient
  view: FleetView
  dispatcher: BatchDispatcher
  leadership: Leadership
  replica: Replica
  orders: OrderHistory
  supervisor: Supervisor
  /** Name of this host in orders to engines. */
  holder: string
  /** Time within which no two hosts may both send load orders to one engine. */
  orderLeaseMs: number
}

export class WeightRollout {
  private readonly _options: WeightRolloutOptions
  private readonly _load: WeightLoad
  private readonly _concurrency: LoadConcurrency
  private readonly _startedAtMs: number

  /** To be created once the replicated state has everything that earlier leaders committed, including their announcements. */
  constructor (options: WeightRolloutOptions) {
    this._options = options
    this._concurrency = new LoadConcurrency(options.clock, options.orders.lanesCount)
    this._load = new WeightLoad({ ...options, sustainedLoadsCount: () => this._concurrency.sustainedCount })
    this._startedAtMs = options.clock.nowMs()
  }

  async run (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      this._startLoads()
      await sleepUntil(clock, scope, clock.nowMs() + PLANNING_INTERVAL_MS)
    }
  }

  private _startLoads (): void {
    for (const service of this._options.view.routing?.services ?? []) {
      if (service.engine) this._startLoadsOf(service.name, service.engine)
    }
  }

  private _startLoadsOf (service: string, modelEngine: ModelEngine): void {
    const models = modelEngine.models.map(model => this._plannedModel(model))
    const engines = this._options.dispatcher.engines.ofService(service)
    // At most one load per engine and pass, also if loads end at once because this host is stopping.
    for (let attempt = 0; attempt < engines.length && !this._concurrency.isFull; attempt++) {
      const next = nextLoad(engines.map(engine => this._plannedEngine(engine, modelEngine)), models, this._concurrency)
      const engine = engines.find(({ id }) => id === next?.engineId)
      if (!next || !engine) return
      this._start({ engine, model: next.model, version: next.version, reason: next.reason })
    }
  }

  private _start (requested: RequestedLoad): void {
    const { engine, model, version } = requested
    const timedLoad = this._concurrency.start(engine.id)
    let isLoaded = false
    engine.load = { model, version }
    this._options.supervisor.spawn(`load on ${engine.id}`, async scope => {
      scope.onClose(() => {
        this._concurrency.end(timedLoad, isLoaded)
        engine.load = undefined
        this._options.dispatcher.enginesChanged()
      })
      isLoaded = await this._load.run(requested, scope)
    })
  }

  private _plannedModel (model: string): PlannedModel {
    const { view, dispatcher } = this._options
    const { demand } = dispatcher
    const namedVersion = view.namedVersion(model)
    demand.recordNamedVersion(model, namedVersion)
    return {
      model,
      namedVersion,
      neededVersion: Math.max(dispatcher.neededVersion(model), namedVersion - demand.stalenessVersions(model)),
      waitingCount: dispatcher.waitingCount(model),
      stepItemsCount: demand.stepItemsCount(model),
      versionIntervalMs: demand.versionIntervalMs(model),
      priority: dispatcher.priorityOf(model)
    }
  }

  private _plannedEngine (engine: Engine, { tokensPerEvent }: ModelEngine): PlannedEngine {
    return {
      engineId: engine.id,
      isFailing: engine.health.isFailing,
      isAvailable: !engine.health.isSuspect && engine.endpoint.lifecycle === EndpointLifecycle.Ready,
      acceptsOrders: engine.load === undefined && this._mayOrder(engine),
      gapMs: engine.pace.expectedGapMs ?? ASSUMED_TOKEN_MS * tokensPerEvent,
      baselineGapMs: engine.pace.baselineGapMs,
      slotsCount: engine.endpoint.slotsCount,
      freeSlotsCount: engine.freeSlotsCount,
      versionOf: model => (engine.load?.model === model ? engine.load.version : engine.version(model))
    }
  }

  /**
   * Whether no order of an earlier leadership can conflict with a new one: an order
   * of another host must be older than the lease, and one of this host must have
   * arrived, so that no lower fencing number follows a higher one.
   */
  private _mayOrder (engine: Engine): boolean {
    const { clock, orders, holder, orderLeaseMs } = this._options
    const latest = orders.latest(engine.endpoint.name)
    if (!latest || latest.recordedAtMs > this._startedAtMs) return true
    const leaseMs = latest.holder === holder ? 0 : orderLeaseMs
    return clock.nowMs() >= latest.recordedAtMs + leaseMs + MAX_ORDER_TRANSIT_MS
  }
}
