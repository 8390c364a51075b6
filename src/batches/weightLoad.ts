/**
 * One load of weights, from the engine's report to the end of its order. The
 * order is announced in the replicated log first, and names the count of orders
 * that the engine had taken, so that one which is carried out late, after newer
 * ones, is void.
 */
import { LoadMode, type EndpointClient, type EndpointReport, type OrderOutcome } from '../endpoints/endpointClient.js'
import { FailureReason } from '../endpoints/endpointHealth.js'
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
import { BatchEvent } from './batchEvents.js'
import type { Engine } from './engineFleet.js'
import type { LoadReason } from './weightPlanner.js'

const REPORT_TIMEOUT_MS = 400
/** An engine answers within some milliseconds, or not at all. */
const ORDER_TIMEOUT_MS = 300
/** A report shows what the engine did some hundred milliseconds ago. */
const REPORT_LAG_MS = 200
/** An order is sent within this time of its announcement or not at all; a commit takes a few milliseconds. */
const ANNOUNCED_FOR_MS = 300
/** An order may reach its engine this much after its announcement, with some slack for clocks that run at different rates. */
export const ORDER_UNDER_WAY_MS = ANNOUNCED_FOR_MS + ORDER_TIMEOUT_MS + 200
/** A load takes about a second; the engine is asked from then on. */
const FIRST_CHECK_MS = 900
/** A report costs the engine next to nothing; half of this is lost of each load on average, while its lane stands idle. */
const CHECK_INTERVAL_MS = 50
/** A load that has not ended by then is given up; the engine is looked at anew. */
const LOAD_TIMEOUT_MS = 6_000
/** Pause before an engine is ordered again whose order had no effect. */
const RETRY_PAUSE_MS = 300

export interface WeightLoadParts {
  clock: Clock
  logger: Logger
  metrics: Metrics
  client: EndpointClient
  view: FleetView
  leadership: Leadership
  replica: Replica
  /** This host, as engines are told. */
  holder: string
  /** Loads at a time that the store was seen to feed. */
  provenLanesCount: () => number
}

export interface WantedLoad {
  engine: Engine
  model: string
  version: number
  reason: LoadReason
}

export class WeightLoad {
  private readonly _parts: WeightLoadParts

  constructor (parts: WeightLoadParts) {
    this._parts = parts
  }

  /**
   * Ends once nothing of the load is under way any more; true when it took its
   * course from the order to the version, so that its time tells of the store.
   */
  async run (wanted: WantedLoad, scope: Scope): Promise<boolean> {
    const { engine, model, version } = wanted
    const before = await this._report(engine, scope)
    if (!before) {
      return false
    }
    this._learn(engine, before)
    const outcome = before.isBusy || engine.version(model) >= version ? undefined : await this._order(wanted, before, scope)
    const isLoaded = await this._settle(wanted, before, outcome, scope)
    if (!isLoaded && outcome?.kind !== 'unknown') await this._pause(scope)
    return isLoaded && outcome?.kind === 'underWay'
  }

  /** Waits for what comes of an order; true once the engine holds the version. */
  private async _settle (wanted: WantedLoad, before: EndpointReport, outcome: OrderOutcome | undefined, scope: Scope): Promise<boolean> {
    const isLoaded = await this._untilSettled(wanted, before, outcome, scope)
    const { engine, model, version } = wanted
    this._parts.metrics.count(MetricName.OrderSettled, { outcome: outcome?.kind ?? 'not_sent' })
    this._parts.logger.event(BatchEvent.OrderSettled, { endpointId: engine.id, model, version, outcome: outcome?.kind ?? 'not sent', isLoaded })
    return isLoaded
  }

  private async _untilSettled (wanted: WantedLoad, before: EndpointReport, outcome: OrderOutcome | undefined, scope: Scope): Promise<boolean> {
    const { engine, model, version } = wanted
    switch (outcome?.kind) {
      case 'underWay':
        return await this._untilLoaded(wanted, scope)
      case 'unknown':
        // What was not taken is ordered again at once; the count of orders makes the first one void should it come later.
        return await this._wasTaken(wanted, before, scope) && await this._untilLoaded(wanted, scope)
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

  private async _order ({ engine, model, version, reason }: WantedLoad, before: EndpointReport, scope: Scope): Promise<OrderOutcome | undefined> {
    const { clock, client, leadership, holder, logger } = this._parts
    const sendBeforeMs = clock.nowMs() + ANNOUNCED_FOR_MS
    const trustedUntilMs = clock.leaseNowMs() + ANNOUNCED_FOR_MS
    const isAnnounced = await this._announce(engine, sendBeforeMs, scope)
    // Checked at the last moment: a host that was frozen or suspended may have a successor by now.
    if (!isAnnounced || clock.leaseNowMs() > trustedUntilMs || !leadership.holdsLease()) return undefined
    const order = { model, version, mode: LoadMode.Retain, holder, fencingNumber: leadership.term, expectedOrdersCount: before.ordersCount }
    logger.event(BatchEvent.OrderGiven, { endpointId: engine.id, model, version, heldVersion: engine.version(model), reason, ordersCount: before.ordersCount, term: leadership.term })
    return await client.orderLoad(engine.endpoint, order, clock.nowMs() + ORDER_TIMEOUT_MS, scope)
  }

  /** True once every leader to come will know of the order. */
  private async _announce (engine: Engine, deadlineMs: number, scope: Scope): Promise<boolean> {
    const { clock, replica, holder, provenLanesCount } = this._parts
    // By the name that it keeps: an order on its way may meet the engine after it has started again.
    const command = { kind: BatchCommandKind.AnnounceOrder, endpointId: engine.endpoint.name, holder, lanesCount: provenLanesCount() }
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
    const beganAtMs = clock.nowMs()
    const report = await client.report(engine.endpoint, beganAtMs + REPORT_TIMEOUT_MS, scope)
    if (report) engine.health.worked()
    else engine.health.failed(FailureReason.NoReport, beganAtMs)
    return report
  }

  private _learn (engine: Engine, report: EndpointReport): void {
    for (const { model, version } of report.weights) engine.setVersion(model, version)
  }

  private async _pause (scope: Scope): Promise<void> {
    const { clock } = this._parts
    await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
  }
}
