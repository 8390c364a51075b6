/**
 * Brings engines to the versions of weights that trainers named. Only the
 * leader of the batch store gives orders. It announces each in the replicated
 * log first, and leaves an engine alone that another host ordered within the
 * lease in which two hosts may not both order. Each order names the count of
 * orders that the engine had taken, so that one which is carried out late,
 * after newer ones, is void.
 */
import { LoadMode, type EndpointClient, type EndpointReport, type OrderOutcome } from '../endpoints/endpointClient.js'
import type { FleetView } from '../fleet/fleetView.js'
import { BatchCommandKind } from '../protocol/batches.js'
import type { Leadership } from '../replication/log/leadership.js'
import type { Replica } from '../replication/log/replica.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { Supervisor } from '../utils/supervisor.js'
import { BatchEvent } from './batchEvents.js'
import type { BatchDispatcher } from './batchDispatcher.js'
import type { Engine } from './engineFleet.js'
import type { OrderHistory } from './orderHistory.js'

const LOOK_INTERVAL_MS = 30
const REPORT_TIMEOUT_MS = 400
/** An engine answers within some milliseconds, or not at all. */
const ORDER_TIMEOUT_MS = 300
/** A report shows what the engine did some hundred milliseconds ago. */
const REPORT_LAG_MS = 200
/** An order is sent within this time of its announcement or not at all; a commit takes a few milliseconds. */
const ANNOUNCED_FOR_MS = 300
/** An order may reach its engine this much after its announcement, with some slack for clocks that run at different rates. */
const UNDER_WAY_MS = ANNOUNCED_FOR_MS + ORDER_TIMEOUT_MS + 200
/** A load takes about a second; the engine is asked from then on. */
const FIRST_CHECK_MS = 900
const CHECK_INTERVAL_MS = 150
/** A load that has not ended by then is given up; the engine is looked at anew. */
const LOAD_TIMEOUT_MS = 6_000
/** Pause before an engine is ordered again whose order had no effect. */
const RETRY_PAUSE_MS = 300
/** Share of a model's engines that load a version although what they hold would still do, so that they do not all have to at the next one. */
const EAGER_SHARE = 0.5

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
  /** Engines that load at once; more only slow each other down. */
  maxLoadsCount: number
}

interface WantedLoad {
  engine: Engine
  model: string
  version: number
  isNeeded: boolean
}

export class WeightRollout {
  private readonly _parts: WeightRolloutParts
  private readonly _startedAtMs: number
  private _loadsCount = 0

  /** Made once the state holds everything that earlier leaders committed, their announcements among it. */
  constructor (parts: WeightRolloutParts) {
    this._parts = parts
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
    const { maxLoadsCount, supervisor } = this._parts
    if (this._loadsCount >= maxLoadsCount) return
    for (const wanted of this._wantedLoads()) {
      if (this._loadsCount >= maxLoadsCount) return
      if (wanted.engine.isLoading || !this._mayOrder(wanted.engine)) continue
      wanted.engine.isLoading = true
      this._loadsCount++
      supervisor.spawn(`load on ${wanted.engine.id}`, async scope => {
        scope.onClose(() => {
          this._loadsCount--
          wanted.engine.isLoading = false
          this._parts.dispatcher.enginesChanged()
        })
        await this._load(wanted, scope)
      })
    }
  }

  /**
   * Whether no order of an earlier leadership can meet one of this: another
   * host's has to be older than the lease, this host's own must have arrived,
   * so that no lower fencing number comes after a higher one.
   */
  private _mayOrder (engine: Engine): boolean {
    const { clock, orders, holder, orderLeaseMs } = this._parts
    const latest = orders.latest(engine.id)
    if (!latest || latest.learnedAtMs > this._startedAtMs) return true
    const leaseMs = latest.holder === holder ? 0 : orderLeaseMs
    return clock.nowMs() >= latest.learnedAtMs + leaseMs + UNDER_WAY_MS
  }

  /** What engines lack, the most urgent first. */
  private _wantedLoads (): WantedLoad[] {
    const { view, dispatcher } = this._parts
    const wanted: WantedLoad[] = []
    for (const service of view.routing?.services ?? []) {
      const engines = service.engine ? dispatcher.engines.ofService(service.name) : []
      for (const model of service.engine?.models ?? []) wanted.push(...this._wantedOf(engines, model))
    }
    return wanted.sort((left, right) => Number(right.isNeeded) - Number(left.isNeeded) || left.engine.runningCount - right.engine.runningCount)
  }

  private _wantedOf (engines: Engine[], model: string): WantedLoad[] {
    const { view, dispatcher } = this._parts
    const version = view.namedVersion(model)
    const neededVersion = dispatcher.neededVersion(model)
    const currentCount = engines.filter(engine => engine.version(model) >= version).length
    let eagerCount = Math.ceil(EAGER_SHARE * engines.length) - currentCount
    const wanted: WantedLoad[] = []
    for (const engine of engines) {
      const held = engine.version(model)
      if (held >= version || engine.health.isSuspect) continue
      const isNeeded = held < neededVersion || held < version - 1
      if (isNeeded) wanted.push({ engine, model, version, isNeeded })
      else if (eagerCount-- > 0) wanted.push({ engine, model, version, isNeeded })
    }
    return wanted
  }

  private async _load (wanted: WantedLoad, scope: Scope): Promise<void> {
    const { engine, model, version } = wanted
    const before = await this._report(engine, scope)
    if (!before) {
      engine.health.failed()
      return
    }
    this._learn(engine, before)
    if (before.isBusy || engine.version(model) >= version) return await this._pause(scope)
    const outcome = await this._order(wanted, before, scope)
    if (outcome?.kind === 'unknown' && !(await this._wasTaken(wanted, before, scope))) {
      // Ordered again at once; the count of orders makes the first one void should it come later.
      this._parts.logger.event(BatchEvent.OrderSettled, { endpointId: engine.id, model, version, outcome: outcome.kind, isLoaded: false, wasTaken: false })
      return
    }
    const isLoaded = await this._settle(wanted, outcome, scope)
    this._parts.metrics.count(MetricName.OrderSettled, { outcome: outcome?.kind ?? 'not_sent' })
    this._parts.logger.event(BatchEvent.OrderSettled, { endpointId: engine.id, model, version, outcome: outcome?.kind ?? 'not sent', isLoaded })
    if (!isLoaded) await this._pause(scope)
  }

  /** Waits for what comes of an order; true once the engine holds the version. */
  private async _settle (wanted: WantedLoad, outcome: OrderOutcome | undefined, scope: Scope): Promise<boolean> {
    const { engine, model, version } = wanted
    switch (outcome?.kind) {
      case 'underWay':
      case 'unknown':
        return await this._untilLoaded(wanted, scope)
      case 'alreadyHolds':
        engine.learnVersion(model, version)
        return true
      case 'misdirected':
        this._parts.view.markGone(engine.id)
        return false
      default:
        return false
    }
  }

  /** Whether an engine has taken an order that it did not answer, as far as its report shows. */
  private async _wasTaken ({ engine, model, version }: WantedLoad, before: EndpointReport, scope: Scope): Promise<boolean> {
    const { clock } = this._parts
    await sleepUntil(clock, scope, clock.nowMs() + REPORT_LAG_MS)
    const report = await this._report(engine, scope)
    if (!report) return true
    this._learn(engine, report)
    return report.isBusy || report.ordersCount > before.ordersCount || engine.version(model) >= version
  }

  private async _order ({ engine, model, version, isNeeded }: WantedLoad, before: EndpointReport, scope: Scope): Promise<OrderOutcome | undefined> {
    const { clock, client, leadership, holder, logger } = this._parts
    const sendBeforeMs = clock.nowMs() + ANNOUNCED_FOR_MS
    const isAnnounced = await this._announce(engine, sendBeforeMs, scope)
    // Checked at the last moment: a host that was frozen may have a successor by now.
    if (!isAnnounced || clock.nowMs() > sendBeforeMs || !leadership.holdsLease()) return undefined
    const order = { model, version, mode: LoadMode.Retain, holder, fencingNumber: leadership.term, expectedOrdersCount: before.ordersCount }
    logger.event(BatchEvent.OrderGiven, { endpointId: engine.id, model, version, heldVersion: engine.version(model), isNeeded, ordersCount: before.ordersCount, term: leadership.term })
    return await client.orderLoad(engine.endpoint, order, clock.nowMs() + ORDER_TIMEOUT_MS, scope)
  }

  /** True once every leader to come will know of the order. */
  private async _announce (engine: Engine, deadlineMs: number, scope: Scope): Promise<boolean> {
    const { clock, replica, holder } = this._parts
    const command = { kind: BatchCommandKind.AnnounceOrder, endpointId: engine.id, holder }
    const outcome = await replica.propose(command, new Progress(clock, scope, deadlineMs))
    return outcome.kind === 'committed'
  }

  private async _untilLoaded ({ engine, model, version }: WantedLoad, scope: Scope): Promise<boolean> {
    const { clock } = this._parts
    const giveUpAtMs = clock.nowMs() + LOAD_TIMEOUT_MS
    await sleepUntil(clock, scope, clock.nowMs() + FIRST_CHECK_MS)
    while (clock.nowMs() < giveUpAtMs) {
      if (engine.version(model) >= version) return true
      const report = await this._report(engine, scope)
      if (report) {
        this._learn(engine, report)
        if (!report.isBusy) return engine.version(model) >= version
      }
      await sleepUntil(clock, scope, clock.nowMs() + CHECK_INTERVAL_MS)
    }
    return false
  }

  private async _report (engine: Engine, scope: Scope): Promise<EndpointReport | undefined> {
    const { clock, client } = this._parts
    return await client.report(engine.endpoint, clock.nowMs() + REPORT_TIMEOUT_MS, scope)
  }

  private _learn (engine: Engine, report: EndpointReport): void {
    for (const { model, version } of report.weights) engine.setVersion(model, version)
  }

  private async _pause (scope: Scope): Promise<void> {
    const { clock } = this._parts
    await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
  }
}
