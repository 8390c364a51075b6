/**
 * One weight load on one engine, from the engine's report to the end of the order.
 * The order is announced in the replicated log first. It carries the number of
 * orders that the engine had accepted before, so that the engine rejects it if it
 * arrives late, after newer ones.
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
import type { Engine } from '../batchScheduling/engineFleet.js'
import type { LoadReason } from './weightPlanner.js'

const REPORT_TIMEOUT_MS = 400
/** An engine that answers a load order at all does so within some milliseconds. */
const ORDER_TIMEOUT_MS = 300
/** A report may lag behind the engine by some hundred milliseconds. */
const REPORT_LAG_MS = 200
/** An order is sent within this time of its announcement, or not at all. A commit takes a few milliseconds. */
const ANNOUNCEMENT_TTL_MS = 300
/** Longest time from the announcement of an order to its arrival, with some margin for clocks that run at different rates. */
export const MAX_ORDER_TRANSIT_MS = ANNOUNCEMENT_TTL_MS + ORDER_TIMEOUT_MS + 200
/** Delay before the first poll: a load takes about a second. */
const FIRST_CHECK_MS = 900
/** Polling interval, short because a report is cheap for the engine. A finished load is noticed half an interval late on average, and the load counts against the limit of concurrent loads until then. */
const CHECK_INTERVAL_MS = 50
/** After this time a load counts as failed, and the state of the engine is read again. */
const LOAD_TIMEOUT_MS = 6_000
/** Delay before the next load order after a load order without effect. */
const RETRY_PAUSE_MS = 300

export interface WeightLoadOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  client: EndpointClient
  view: FleetView
  leadership: Leadership
  replica: Replica
  /** Name of this host in orders to engines. */
  holder: string
  /** Concurrent loads that the weight store has sustained. */
  sustainedLoadsCount: () => number
}

export interface RequestedLoad {
  engine: Engine
  model: string
  version: number
  reason: LoadReason
}

export class WeightLoad {
  private readonly _options: WeightLoadOptions

  constructor (options: WeightLoadOptions) {
    this._options = options
  }

  /**
   * Returns once no part of the load is in progress. True if the engine confirmed the
   * order and then reached the version, so that the duration reflects the store.
   */
  async run (requested: RequestedLoad, scope: Scope): Promise<boolean> {
    const { engine, model, version } = requested
    const before = await this._report(engine, scope)
    if (!before) {
      return false
    }
    this._recordReport(engine, before)
    const outcome = before.isBusy || engine.version(model) >= version ? undefined : await this._order(requested, before, scope)
    const isLoaded = await this._settle(requested, before, outcome, scope)
    if (!isLoaded && outcome?.kind !== 'unknown') await this._pause(scope)
    return isLoaded && outcome?.kind === 'underWay'
  }

  /** Waits for the outcome of an order and reports the outcome; true if the version is loaded on the engine. */
  private async _settle (requested: RequestedLoad, before: EndpointReport, outcome: OrderOutcome | undefined, scope: Scope): Promise<boolean> {
    const isLoaded = await this._waitForOutcome(requested, before, outcome, scope)
    const { engine, model, version } = requested
    this._options.metrics.count(MetricName.OrderSettled, { outcome: outcome?.kind ?? 'not_sent' })
    this._options.logger.event(BatchEvent.OrderSettled, { endpointId: engine.id, model, version, outcome: outcome?.kind ?? 'not sent', isLoaded })
    return isLoaded
  }

  private async _waitForOutcome (requested: RequestedLoad, before: EndpointReport, outcome: OrderOutcome | undefined, scope: Scope): Promise<boolean> {
    const { engine, model, version } = requested
    switch (outcome?.kind) {
      case 'underWay':
        return await this._waitUntilLoaded(requested, scope)
      case 'unknown':
        // An order that was not accepted is sent again at once; the expected count of orders makes the engine reject the first one if it arrives later.
        return await this._wasAccepted(requested, before, scope) && await this._waitUntilLoaded(requested, scope)
      case 'alreadyHolds':
        engine.recordVersion(model, version)
        return true
      case 'misdirected':
        this._options.view.markRemoved(engine.id)
        return false
      default:
        return false
    }
  }

  /** Whether the engine has accepted an unanswered order; true if no report of the engine arrives. */
  private async _wasAccepted ({ engine, model, version }: RequestedLoad, before: EndpointReport, scope: Scope): Promise<boolean> {
    const { clock } = this._options
    await sleepUntil(clock, scope, clock.nowMs() + REPORT_LAG_MS)
    const report = await this._report(engine, scope)
    if (!report) return true
    this._recordReport(engine, report)
    return report.isBusy || report.ordersCount > before.ordersCount || engine.version(model) >= version
  }

  private async _order ({ engine, model, version, reason }: RequestedLoad, before: EndpointReport, scope: Scope): Promise<OrderOutcome | undefined> {
    const { clock, client, leadership, holder, logger } = this._options
    const sendBeforeMs = clock.nowMs() + ANNOUNCEMENT_TTL_MS
    const trustedUntilMs = clock.leaseNowMs() + ANNOUNCEMENT_TTL_MS
    const isAnnounced = await this._announce(engine, sendBeforeMs, scope)
    // Checked immediately before sending: if this process was suspended, another host may lead by now.
    if (!isAnnounced || clock.leaseNowMs() > trustedUntilMs || !leadership.holdsLease()) return undefined
    const order = { model, version, mode: LoadMode.Retain, holder, fencingNumber: leadership.term, expectedOrdersCount: before.ordersCount }
    logger.event(BatchEvent.OrderSent, { endpointId: engine.id, model, version, heldVersion: engine.version(model), reason, ordersCount: before.ordersCount, term: leadership.term })
    return await client.orderLoad(engine.endpoint, order, clock.nowMs() + ORDER_TIMEOUT_MS, scope)
  }

  /** Announces the order; true once the announcement is committed, so that every later leader knows the order. */
  private async _announce (engine: Engine, deadlineMs: number, scope: Scope): Promise<boolean> {
    const { clock, replica, holder, sustainedLoadsCount } = this._options
    // The engine is identified by the name that it keeps across restarts, since an order in flight may arrive after a restart.
    const command = { kind: BatchCommandKind.AnnounceOrder, endpointId: engine.endpoint.name, holder, lanesCount: sustainedLoadsCount() }
    const outcome = await replica.propose(command, new Progress(clock, scope, deadlineMs))
    return outcome.kind === 'committed'
  }

  private async _waitUntilLoaded ({ engine, model, version }: RequestedLoad, scope: Scope): Promise<boolean> {
    const { clock } = this._options
    const deadlineMs = clock.nowMs() + LOAD_TIMEOUT_MS
    await sleepUntil(clock, scope, clock.nowMs() + FIRST_CHECK_MS)
    while (clock.nowMs() < deadlineMs) {
      if (engine.version(model) >= version) return true
      const report = await this._report(engine, scope)
      if (report) {
        this._recordReport(engine, report)
        if (!report.isBusy) return engine.version(model) >= version
      }
      await sleepUntil(clock, scope, clock.nowMs() + CHECK_INTERVAL_MS)
    }
    return false
  }

  private async _report (engine: Engine, scope: Scope): Promise<EndpointReport | undefined> {
    const { clock, client } = this._options
    const startedAtMs = clock.nowMs()
    const report = await client.report(engine.endpoint, startedAtMs + REPORT_TIMEOUT_MS, scope)
    if (report) engine.health.responded()
    else engine.health.failed(FailureReason.NoReport, startedAtMs)
    return report
  }

  private _recordReport (engine: Engine, report: EndpointReport): void {
    for (const { model, version } of report.weights) engine.setVersion(model, version)
  }

  private async _pause (scope: Scope): Promise<void> {
    const { clock } = this._options
    await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
  }
}
