/**
 * Orders engines while this host leads the batch store: looks what each data
 * centre should have, notes a changed order in the replicated log, and sends it.
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
import { planSupply, type PlannedPlace, type SuppliedPlace, type SupplyNeed } from './supplyPlan.js'

const LOOK_INTERVAL_MS = 250
const CALL_TIMEOUT_MS = 1_500
/** Calls to the infrastructure are few, and each costs something. */
const RETRY_PAUSE_MS = 1_000
/** A data centre that has none to be had is asked again after this. */
const DRY_PAUSE_MS = 5_000
/** What was ordered is not given back sooner: engines that were lost come and go, and a start takes seconds. */
const HOLD_MS = 15_000
/** Engines that did not come by so long after the time that a start takes are ordered once more. */
const OVERDUE_MS = 3_000

export interface EngineSupplyParts {
  clock: Clock
  logger: Logger
  metrics: Metrics
  lease: DutyLease
  ledger: SupplyLedger
  infrastructure: Infrastructure
  /** Name of this host. */
  holder: string
  services: () => readonly RoutingService[]
  /** All known endpoints of a service, whether they take new work or not. */
  endpointsOf: (service: string) => readonly FleetEndpoint[]
  needOf: (service: RoutingService) => SupplyNeed
  /** True once every leader to come knows that this host holds the duty. */
  claim: (scope: Scope) => Promise<boolean>
  /** The same of an order. */
  note: (order: SupplyOrder, scope: Scope) => Promise<boolean>
}

/** What was sent for one kind of engine in one data centre. */
interface SentOrder {
  desiredCount: number
  sentAtMs: number
  isSettled: boolean
  /** There were none to be had. */
  isDry: boolean
  notBeforeMs: number
}

export class EngineSupply {
  private readonly _parts: EngineSupplyParts
  private readonly _sent = new Map<string, SentOrder>()

  constructor (parts: EngineSupplyParts) {
    this._parts = parts
  }

  /** For as long as this host leads. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._parts
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + LOOK_INTERVAL_MS)
      for (const service of this._parts.services()) {
        if (service.engine && service.scaling && await this._isHeld(scope)) await this._supply(service, service.scaling, scope)
      }
    }
  }

  private async _isHeld (scope: Scope): Promise<boolean> {
    const { lease, logger, claim } = this._parts
    if (lease.mayAct) return true
    if (!lease.mayClaim || !await claim(scope)) return false
    logger.event(DutyEvent.DutyClaimed, { duty: DutyKind.OrderEndpoints, fencingNumber: lease.fencingNumber })
    return lease.mayAct
  }

  private async _supply (service: RoutingService, scaling: ServiceScaling, scope: Scope): Promise<void> {
    const places = this._placesOf(service.name, scaling)
    if (places.every(({ keptCount, orderedKeptCount }) => keptCount === 0 && orderedKeptCount === undefined)) return
    for (const place of planSupply(places, scaling, this._parts.needOf(service))) {
      await this._settle(service, scaling, place, scope)
    }
  }

  private _placesOf (service: string, { prices }: ServiceScaling): SuppliedPlace[] {
    return Object.keys(prices).map(dataCentre => ({
      dataCentre,
      keptCount: this._countOf({ service, dataCentre, isReclaimable: false }),
      orderedKeptCount: this._parts.ledger.orderOf({ service, dataCentre, isReclaimable: false }),
      isDry: this._isDry({ service, dataCentre })
    }))
  }

  private async _settle ({ name: service }: RoutingService, { bootMs }: ServiceScaling, { dataCentre, keptCount, reclaimableCount }: PlannedPlace, scope: Scope): Promise<void> {
    const wanted = [{ isReclaimable: false, desiredCount: keptCount }, { isReclaimable: true, desiredCount: reclaimableCount }]
    for (const { isReclaimable, desiredCount } of wanted) {
      const order = { service, dataCentre, isReclaimable, desiredCount }
      if (this._isDue(order, bootMs)) await this._order(order, scope)
    }
  }

  /** An order is sent when it changes, has no clear answer, or brought fewer engines than it should. */
  private _isDue (order: SupplyOrder, bootMs: number): boolean {
    const { clock } = this._parts
    const nowMs = clock.nowMs()
    const sent = this._sent.get(subjectOf(order))
    const presentCount = this._countOf(order)
    if (!sent) return presentCount !== order.desiredCount
    if (nowMs < sent.notBeforeMs) return false
    if (order.desiredCount < sent.desiredCount && nowMs < sent.sentAtMs + HOLD_MS) return false
    if (sent.desiredCount !== order.desiredCount || !sent.isSettled) return true
    return presentCount < order.desiredCount && nowMs >= sent.sentAtMs + bootMs + OVERDUE_MS
  }

  private async _order (order: SupplyOrder, scope: Scope): Promise<void> {
    const { clock, lease, holder, infrastructure, ledger, note } = this._parts
    if (ledger.orderOf(order) !== order.desiredCount && !await note(order, scope)) return
    const call: DutyCall = { kind: DutyKind.OrderEndpoints, ...order }
    const sentAtMs = clock.nowMs()
    const outcome = await infrastructure.call(call, { holder, fencingNumber: lease.fencingNumber }, () => lease.mayAct, sentAtMs + CALL_TIMEOUT_MS, scope)
    const pauseMs = outcome.kind === 'conflict' ? DRY_PAUSE_MS : RETRY_PAUSE_MS
    this._sent.set(subjectOf(order), { desiredCount: order.desiredCount, sentAtMs, isSettled: outcome.kind === 'done', isDry: outcome.kind === 'conflict', notBeforeMs: clock.nowMs() + (outcome.kind === 'done' ? 0 : pauseMs) })
    this._note(order, outcome, clock.nowMs() - sentAtMs)
  }

  private _note (order: SupplyOrder, outcome: DutyOutcome, tookMs: number): void {
    const { logger, metrics, lease } = this._parts
    const duty = DutyKind.OrderEndpoints
    metrics.count(MetricName.DutyCalled, { duty, outcome: outcome.kind })
    metrics.gauge(MetricName.EnginesOrdered, order.desiredCount, { dataCentre: order.dataCentre, kind: order.isReclaimable ? 'reclaimable' : 'kept' })
    const reason = 'reason' in outcome ? outcome.reason : undefined
    logger.event(DutyEvent.CallEnded, { duty, ...order, presentCount: this._countOf(order), fencingNumber: lease.fencingNumber, mayAct: lease.mayAct, outcome: outcome.kind, reason, tookMs: Math.round(tookMs) })
  }

  private _isDry ({ service, dataCentre }: { service: string, dataCentre: string }): boolean {
    const sent = this._sent.get(subjectOf({ service, dataCentre, isReclaimable: true }))
    return sent?.isDry === true && this._parts.clock.nowMs() < sent.notBeforeMs
  }

  /** Engines of a kind that take work. */
  private _countOf ({ service, dataCentre, isReclaimable }: Omit<SupplyOrder, 'desiredCount'>): number {
    return this._parts.endpointsOf(service).filter(endpoint => (
      endpoint.dataCentre === dataCentre && (endpoint.isReclaimable ?? false) === isReclaimable && endpoint.lifecycle === EndpointLifecycle.Ready
    )).length
  }
}

function subjectOf ({ service, dataCentre, isReclaimable }: Omit<SupplyOrder, 'desiredCount'>): string {
  return `${service} ${dataCentre} ${String(isReclaimable)}`
}
