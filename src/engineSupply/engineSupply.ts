/**
 * Orders engines while this host leads the batch store: plans how many engines
 * each data centre should have, records a changed order in the replicated log, and
 * sends it to the infrastructure.
 */
import { DutyEvent } from '../duties/dutyEvents.js'
import type { DutyLease } from '../duties/dutyLease.js'
import { DutyKind, type DutyCall, type DutyOutcome, type Infrastructure } from '../duties/infrastructure.js'
import { EndpointLifecycle, type FleetEndpoint } from '../protocol/fleet.js'
import type { RoutingService, ServiceScaling } from '../protocol/routing.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { Scope } from '../utils/scope.js'
import type { SupplyLedger, SupplyOrder } from './supplyLedger.js'
import { neededEnginesCount, planSupply, type PlannedSupply, type DataCentreSupply, type SupplyNeed } from './supplyPlan.js'

const CHECK_INTERVAL_MS = 250
const CALL_TIMEOUT_MS = 1_500
/** Calls to the infrastructure are limited, and each call has a cost. */
const RETRY_PAUSE_MS = 1_000
/** Pause before engines are ordered again in a data centre without capacity. */
const OUT_OF_CAPACITY_PAUSE_MS = 5_000
/** Time after a notice to reclaimable engines for which their data centre is not expected to have others. */
const RECLAIM_PAUSE_MS = 10_000
/** Minimum time before an order is reduced: lost engines may come back and go again, and starting an engine takes seconds. */
const MIN_HOLD_MS = 15_000
/** Engines that are missing this long after their boot time are ordered again. */
const OVERDUE_GRACE_MS = 3_000

export interface EngineSupplyOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  lease: DutyLease
  ledger: SupplyLedger
  infrastructure: Infrastructure
  /** Name of this host. */
  holder: string
  services: () => readonly RoutingService[]
  /** All known endpoints of a service, whether they accept new work or not. */
  endpointsOf: (service: string) => readonly FleetEndpoint[]
  needOf: (service: RoutingService) => SupplyNeed
  /** Commits the claim of this host to the duty; true once every future leader will know the claim. */
  claim: (scope: Scope) => Promise<boolean>
  /** Commits an order; true once every future leader will know the order. */
  note: (order: SupplyOrder, scope: Scope) => Promise<boolean>
}

/** The order sent last for one kind of engine in one data centre. */
interface SentOrder {
  desiredCount: number
  sentAtMs: number
  isSettled: boolean
  /** The data centre had no engines available. */
  isOutOfCapacity: boolean
  notBeforeMs: number
}

export class EngineSupply {
  private readonly _options: EngineSupplyOptions
  private readonly _sent = new Map<string, SentOrder>()
  /** Until when a data centre is not expected to have reclaimable engines, by service and data centre. */
  private readonly _reclaimedUntilMs = new Map<string, number>()
  /** The plan logged last, by service. */
  private readonly _loggedPlans = new Map<string, string>()

  constructor (options: EngineSupplyOptions) {
    this._options = options
  }

  /** Runs until the scope closes: as long as this host leads. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + CHECK_INTERVAL_MS)
      for (const service of this._options.services()) {
        if (service.engine && service.scaling && await this._holdsDuty(scope)) await this._reconcileService(service, service.scaling, scope)
      }
    }
  }

  private async _holdsDuty (scope: Scope): Promise<boolean> {
    const { lease, logger, claim } = this._options
    if (lease.mayAct) return true
    if (!lease.mayClaim || !await claim(scope)) return false
    logger.event(DutyEvent.DutyClaimed, { duty: DutyKind.OrderEndpoints, fencingNumber: lease.fencingNumber })
    return lease.mayAct
  }

  private async _reconcileService (service: RoutingService, scaling: ServiceScaling, scope: Scope): Promise<void> {
    const supplies = this._currentSupplies(service.name, scaling)
    if (supplies.every(({ permanentCount, orderedPermanentCount }) => permanentCount === 0 && orderedPermanentCount === undefined)) return
    const need = this._options.needOf(service)
    const plan = planSupply(supplies, scaling, need)
    this._logPlan(service.name, scaling, need, plan)
    for (const planned of plan) {
      await this._reconcileDataCentre(service, scaling, planned, scope)
    }
  }

  private _currentSupplies (service: string, { prices }: ServiceScaling): DataCentreSupply[] {
    return Object.keys(prices).map(dataCentre => ({
      dataCentre,
      permanentCount: this._countOf({ service, dataCentre, isReclaimable: false }),
      orderedPermanentCount: this._options.ledger.orderOf({ service, dataCentre, isReclaimable: false }),
      isOutOfCapacity: this._isOutOfCapacity({ service, dataCentre }) || this._isBeingReclaimed({ service, dataCentre })
    }))
  }

  /** Whether a data centre lately gave notice to reclaimable engines that are still wanted; it then takes all of them back at once. */
  private _isBeingReclaimed ({ service, dataCentre }: { service: string, dataCentre: string }): boolean {
    const { clock, endpointsOf, ledger } = this._options
    const order = { service, dataCentre, isReclaimable: true }
    const key = orderKeyOf(order)
    const isLeaving = endpointsOf(service).some(endpoint => endpoint.dataCentre === dataCentre && endpoint.isReclaimable === true && endpoint.lifecycle === EndpointLifecycle.Leaving)
    if (isLeaving && this._countOf(order) < (ledger.orderOf(order) ?? 0)) this._reclaimedUntilMs.set(key, clock.nowMs() + RECLAIM_PAUSE_MS)
    return clock.nowMs() < (this._reclaimedUntilMs.get(key) ?? Number.NEGATIVE_INFINITY)
  }

  /** Logs a plan that has changed, with what it rests on. */
  private _logPlan (service: string, { bootMs }: ServiceScaling, need: SupplyNeed, plan: readonly PlannedSupply[]): void {
    const reclaimableCounts = plan.map(({ dataCentre, reclaimableCount }) => `${dataCentre}=${reclaimableCount}`)
    if (this._loggedPlans.get(service) === reclaimableCounts.join()) return
    this._loggedPlans.set(service, reclaimableCounts.join())
    const { forecast, itemsCount = 0 } = need
    const steps = forecast?.steps ?? []
    this._options.logger.event(DutyEvent.SupplyDecided, {
      service,
      reclaimableCounts,
      neededCount: neededEnginesCount(need, bootMs),
      isForecast: forecast !== undefined,
      itemsCount,
      busySlotsCount: Math.round(steps.reduce((sum, step) => sum + step.itemsCount * step.itemMs / Math.max(1, step.intervalMs), 0)),
      openWorkMs: Math.round(forecast?.openWorkMs ?? 0),
      presentSlotsCount: forecast?.presentSlotsCount ?? 0
    })
  }

  private async _reconcileDataCentre ({ name: service }: RoutingService, { bootMs }: ServiceScaling, { dataCentre, permanentCount, reclaimableCount }: PlannedSupply, scope: Scope): Promise<void> {
    const wanted = [{ isReclaimable: false, desiredCount: permanentCount }, { isReclaimable: true, desiredCount: reclaimableCount }]
    for (const { isReclaimable, desiredCount } of wanted) {
      const order = { service, dataCentre, isReclaimable, desiredCount }
      if (this._isDue(order, bootMs)) await this._sendOrder(order, scope)
    }
  }

  /** An order is sent when it changes, got no definite answer, or brought fewer engines than ordered. */
  private _isDue (order: SupplyOrder, bootMs: number): boolean {
    const { clock } = this._options
    const nowMs = clock.nowMs()
    const sent = this._sent.get(orderKeyOf(order))
    const presentCount = this._countOf(order)
    if (!sent) return presentCount !== order.desiredCount
    if (nowMs < sent.notBeforeMs) return false
    if (order.desiredCount < sent.desiredCount && nowMs < sent.sentAtMs + MIN_HOLD_MS) return false
    if (sent.desiredCount !== order.desiredCount || !sent.isSettled) return true
    return presentCount < order.desiredCount && nowMs >= sent.sentAtMs + bootMs + OVERDUE_GRACE_MS
  }

  private async _sendOrder (order: SupplyOrder, scope: Scope): Promise<void> {
    const { clock, lease, holder, infrastructure, ledger, note } = this._options
    if (ledger.orderOf(order) !== order.desiredCount && !await note(order, scope)) return
    const call: DutyCall = { kind: DutyKind.OrderEndpoints, ...order }
    const sentAtMs = clock.nowMs()
    const outcome = await infrastructure.call(call, { holder, fencingNumber: lease.fencingNumber }, () => lease.mayAct, sentAtMs + CALL_TIMEOUT_MS, scope)
    const pauseMs = outcome.kind === 'conflict' ? OUT_OF_CAPACITY_PAUSE_MS : RETRY_PAUSE_MS
    this._sent.set(orderKeyOf(order), { desiredCount: order.desiredCount, sentAtMs, isSettled: outcome.kind === 'done', isOutOfCapacity: outcome.kind === 'conflict', notBeforeMs: clock.nowMs() + (outcome.kind === 'done' ? 0 : pauseMs) })
    this._logOrder(order, outcome, clock.nowMs() - sentAtMs)
  }

  private _logOrder (order: SupplyOrder, outcome: DutyOutcome, tookMs: number): void {
    const { logger, metrics, lease } = this._options
    const duty = DutyKind.OrderEndpoints
    metrics.count(MetricName.DutyCalled, { duty, outcome: outcome.kind })
    metrics.gauge(MetricName.EnginesOrdered, order.desiredCount, { dataCentre: order.dataCentre, kind: order.isReclaimable ? 'reclaimable' : 'kept' })
    const reason = 'reason' in outcome ? outcome.reason : undefined
    logger.event(DutyEvent.CallEnded, { duty, ...order, presentCount: this._countOf(order), fencingNumber: lease.fencingNumber, mayAct: lease.mayAct, outcome: outcome.kind, reason, tookMs: Math.round(tookMs) })
  }

  private _isOutOfCapacity ({ service, dataCentre }: { service: string, dataCentre: string }): boolean {
    const sent = this._sent.get(orderKeyOf({ service, dataCentre, isReclaimable: true }))
    return sent?.isOutOfCapacity === true && this._options.clock.nowMs() < sent.notBeforeMs
  }

  /** Number of engines of a kind that accept work. */
  private _countOf ({ service, dataCentre, isReclaimable }: Omit<SupplyOrder, 'desiredCount'>): number {
    return this._options.endpointsOf(service).filter(endpoint => (
      endpoint.dataCentre === dataCentre && (endpoint.isReclaimable ?? false) === isReclaimable && endpoint.lifecycle === EndpointLifecycle.Ready
    )).length
  }
}

function orderKeyOf ({ service, dataCentre, isReclaimable }: Omit<SupplyOrder, 'desiredCount'>): string {
  return `${service} ${dataCentre} ${String(isReclaimable)}`
}
