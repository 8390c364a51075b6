/**
 * Brings engines to the versions of weights that trainers named. Only the
 * leader of the batch store gives orders, and it leaves an engine alone that
 * another host ordered within the lease in which two hosts may not both order.
 * What loads next is decided by `nextLoad`, from what this module observes.
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
import type { Engine } from './engineFleet.js'
import { ASSUMED_TOKEN_MS } from './itemOrder.js'
import { LoadLanes } from './loadLanes.js'
import type { OrderHistory } from './orderHistory.js'
import { ORDER_UNDER_WAY_MS, WeightLoad, type WantedLoad } from './weightLoad.js'
import { nextLoad, type PlannedEngine, type PlannedModel } from './weightPlanner.js'
import type { ModelEngine } from '../protocol/routing.js'

const LOOK_INTERVAL_MS = 30

export interface WeightRolloutParts {
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
  /** This host, as engines are told. */
  holder: string
  /** Two hosts may not both order an engine within this time. */
  orderLeaseMs: number
}

export class WeightRollout {
  private readonly _parts: WeightRolloutParts
  private readonly _load: WeightLoad
  private readonly _lanes: LoadLanes
  private readonly _startedAtMs: number

  /** Made once the state holds everything that earlier leaders committed, their announcements among it. */
  constructor (parts: WeightRolloutParts) {
    this._parts = parts
    this._lanes = new LoadLanes(parts.clock, parts.orders.lanesCount)
    this._load = new WeightLoad({ ...parts, provenLanesCount: () => this._lanes.provenCount })
    this._startedAtMs = parts.clock.nowMs()
  }

  async run (scope: Scope): Promise<void> {
    const { clock } = this._parts
    for (;;) {
      this._startLoads()
      await sleepUntil(clock, scope, clock.nowMs() + LOOK_INTERVAL_MS)
    }
  }

  private _startLoads (): void {
    for (const service of this._parts.view.routing?.services ?? []) {
      if (service.engine) this._startLoadsOf(service.name, service.engine)
    }
  }

  private _startLoadsOf (service: string, modelEngine: ModelEngine): void {
    const models = modelEngine.models.map(model => this._planned(model))
    const engines = this._parts.dispatcher.engines.ofService(service)
    // At most one load an engine in a look, also when the loads end at once because this host stops.
    for (let turn = 0; turn < engines.length && !this._lanes.isFull; turn++) {
      const next = nextLoad(engines.map(engine => this._plannedEngine(engine, modelEngine)), models, this._lanes)
      const engine = engines.find(({ id }) => id === next?.engineId)
      if (!next || !engine) return
      this._start({ engine, model: next.model, version: next.version, reason: next.reason })
    }
  }

  private _start (wanted: WantedLoad): void {
    const { engine, model, version } = wanted
    const timed = this._lanes.begin(engine.id)
    let isLoaded = false
    engine.load = { model, version }
    this._parts.supervisor.spawn(`load on ${engine.id}`, async scope => {
      scope.onClose(() => {
        this._lanes.end(timed, isLoaded)
        engine.load = undefined
        this._parts.dispatcher.enginesChanged()
      })
      isLoaded = await this._load.run(wanted, scope)
    })
  }

  private _planned (model: string): PlannedModel {
    const { view, dispatcher } = this._parts
    const { demand } = dispatcher
    const namedVersion = view.namedVersion(model)
    demand.named(model, namedVersion)
    return {
      model,
      namedVersion,
      neededVersion: Math.max(dispatcher.neededVersion(model), namedVersion - demand.stalenessVersions(model)),
      waitingCount: dispatcher.waitingCount(model),
      stepItemsCount: demand.stepItemsCount(model),
      namingIntervalMs: demand.namingIntervalMs(model),
      priority: dispatcher.priorityOf(model)
    }
  }

  private _plannedEngine (engine: Engine, { tokensPerEvent }: ModelEngine): PlannedEngine {
    return {
      engineId: engine.id,
      isFailing: engine.health.isFailing,
      isSound: !engine.health.isSuspect && engine.endpoint.lifecycle === EndpointLifecycle.Ready,
      mayBeOrdered: engine.load === undefined && this._mayOrder(engine),
      gapMs: engine.pace.expectedGapMs ?? ASSUMED_TOKEN_MS * tokensPerEvent,
      slotsCount: engine.endpoint.slotsCount,
      freeSlotsCount: engine.freeSlotsCount,
      versionOf: model => (engine.load?.model === model ? engine.load.version : engine.version(model))
    }
  }

  /**
   * Whether no order of an earlier leadership can meet one of this: another
   * host's has to be older than the lease, this host's own must have arrived,
   * so that no lower fencing number comes after a higher one.
   */
  private _mayOrder (engine: Engine): boolean {
    const { clock, orders, holder, orderLeaseMs } = this._parts
    const latest = orders.latest(engine.endpoint.name)
    if (!latest || latest.learnedAtMs > this._startedAtMs) return true
    const leaseMs = latest.holder === holder ? 0 : orderLeaseMs
    return clock.nowMs() >= latest.learnedAtMs + leaseMs + ORDER_UNDER_WAY_MS
  }
}
