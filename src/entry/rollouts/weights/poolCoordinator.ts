/**
 * Brings the engines of one pool to their target weights, a few at a time.
 *
 * The number of concurrent weight loads is bounded by `maxFetchingCount`, chosen to
 * use the full bandwidth of the weight store, and by the part of the pool that
 * has to keep serving. Weight loads form a sliding window, so that the store doesn't
 * wait for the slowest engine of a batch. Their starts are staggered, so that
 * engines don't all exchange weights at the same time while the store is idle.
 *
 * The state of an engine comes from its announcements alone, except that the
 * reply to an order counts until the next announcement. So an engine that
 * restarts with older weights, or that an outdated order set back, is updated again.
 */
import { OrderKind, weightsUrl, type Order } from '../../../protocol/endpoints.js'
import type { EndpointPoolSpec } from '../../../protocol/resources.js'
import { MetricName } from '../../../utils/metricNames.js'
import { Progress } from '../../../utils/progress.js'
import type { Scope } from '../../../utils/scope.js'
import type { EndpointRecord } from '../../directory/endpointRecord.js'
import { RolloutEvent } from '../rolloutEvents.js'
import type { RolloutContext } from '../rolloutContext.js'
import { WakeSignal } from '../wakeSignal.js'
import { httpEngineOrders, type EngineOrders, type OrderOutcome } from './engineOrders.js'
import { nextTarget, type WeightTarget } from './weightTargets.js'

/** An endpoint drops an order that it has not executed within this time. */
export const ORDER_LIFETIME_MS = 60_000
const STATE_TIMEOUT_MS = 5_000
const RECONCILE_INTERVAL_MS = 1_000
const INITIAL_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 30_000
/** Minimum time between two orders, as a fraction of an even spacing over the duration of a swap. */
const START_SPACING_FACTOR = 0.5
const SMOOTHING = 0.3

export interface CoordinatorOptions {
  context: RolloutContext
  pool: string
  fencingNumber: number
  spec: () => EndpointPoolSpec | undefined
  targets: () => WeightTarget[]
  /** Returns false as soon as this host must not send orders any more. */
  mayOrder: () => boolean
}

interface EngineStatus {
  incarnation: number
  /** Versions that the engine confirmed in reply to orders, by adapter; valid until its next announcement. */
  confirmed: Map<string | undefined, { weightVersion: number, atMs: number }>
  failuresCount: number
  retryAtMs: number
}

export class PoolCoordinator {
  private readonly _options: CoordinatorOptions
  private readonly _orders: EngineOrders
  private readonly _engineStatuses = new Map<string, EngineStatus>()
  /** Deadlines of the orders in flight, by engine. */
  private readonly _orderDeadlinesMs = new Map<string, number>()
  private readonly _signal = new WakeSignal()
  private _isFenced = false
  /** Moving average of the duration of a swap; 0 before the first one. */
  private _meanSwapMs = 0
  private _nextStartAtMs = 0
  private _ordersCount = 0

  constructor (options: CoordinatorOptions) {
    this._options = options
    this._orders = options.context.engineOrders ?? httpEngineOrders
  }

  wake (): void {
    this._signal.wake()
  }

  /** Stops sending orders; returns the milliseconds until the last order in flight expires. */
  standDown (): number {
    this._isFenced = true
    this.wake()
    const lastEndsAtMs = Math.max(0, ...this._orderDeadlinesMs.values())
    return Math.max(0, lastEndsAtMs - this._options.context.clock.nowMs())
  }

  /** Runs until this host may not send orders any more. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._options.context
    while (!this._isFenced && this._options.mayOrder()) {
      this._startSwaps(scope)
      const nextStartAtMs = this._nextStartAtMs > clock.nowMs() ? this._nextStartAtMs : Number.POSITIVE_INFINITY
      await this._signal.wait(clock, scope, Math.min(nextStartAtMs, clock.nowMs() + RECONCILE_INTERVAL_MS))
    }
  }

  private _startSwaps (scope: Scope): void {
    const { context, pool, spec, targets } = this._options
    const poolSpec = spec()
    if (!poolSpec) return
    const engines = context.directory.available(pool)
    const poolTargets = targets()
    const lagging = engines.flatMap(record => {
      const target = this._mayOrderSwap(record) ? nextTarget(record, poolTargets, adapter => this._confirmedVersion(record, adapter)) : undefined
      return target ? [{ record, target }] : []
    })
    lagging.sort((a, b) => a.record.announcement.load.runningCount - b.record.announcement.load.runningCount)
    const maxCount = maxSwappingCount(engines.length, poolSpec)
    for (const { record, target } of lagging.slice(0, Math.max(0, maxCount - this._orderDeadlinesMs.size))) {
      const nowMs = context.clock.nowMs()
      if (this._nextStartAtMs > nowMs) return
      this._nextStartAtMs = nowMs + this._meanSwapMs * START_SPACING_FACTOR / maxCount
      this._swap(record, target, poolSpec, scope)
    }
  }

  private _mayOrderSwap (record: EndpointRecord): boolean {
    const { endpointId } = record.announcement
    return !this._orderDeadlinesMs.has(endpointId) && this._statusOf(record).retryAtMs <= this._options.context.clock.nowMs()
  }

  private _statusOf ({ announcement: { endpointId, incarnation } }: EndpointRecord): EngineStatus {
    const known = this._engineStatuses.get(endpointId)
    if (known?.incarnation === incarnation) return known
    const status = { incarnation, confirmed: new Map(), failuresCount: 0, retryAtMs: 0 }
    this._engineStatuses.set(endpointId, status)
    return status
  }

  /** A later announcement takes precedence over the confirmation, since an outdated order may have set the engine back. */
  private _confirmedVersion (record: EndpointRecord, adapter?: string): number | undefined {
    const confirmed = this._statusOf(record).confirmed.get(adapter)
    return confirmed && confirmed.atMs >= record.loadAtMs ? confirmed.weightVersion : undefined
  }

  private _swap (record: EndpointRecord, target: WeightTarget, spec: EndpointPoolSpec, scope: Scope): void {
    const { endpointId } = record.announcement
    const swapping = this._runSwap(record, target, spec, scope)
      .finally(() => {
        this._orderDeadlinesMs.delete(endpointId)
        this.wake()
      })
    // The swap rejects when the scope closes, which also ends the coordinator.
    swapping.catch(() => {})
  }

  private async _runSwap (record: EndpointRecord, target: WeightTarget, spec: EndpointPoolSpec, scope: Scope): Promise<void> {
    const { context: { clock, logger, metrics }, pool } = this._options
    const { endpointId, url } = record.announcement
    const startedAtMs = clock.nowMs()
    const deadlineMs = startedAtMs + ORDER_LIFETIME_MS
    this._orderDeadlinesMs.set(endpointId, deadlineMs)
    const progress = new Progress(clock, scope, deadlineMs)
    const outcome = await this._orders.order(url, this._toOrder(target, spec), progress)
    const isLoaded = await this._isLoaded(record, target, outcome, scope)
    metrics.count(MetricName.WeightsSwapped, { outcome: isLoaded ? 'done' : outcome.kind === 'replied' ? outcome.reply.kind : outcome.kind })
    if (isLoaded) {
      const tookMs = clock.nowMs() - startedAtMs
      this._meanSwapMs = this._meanSwapMs === 0 ? tookMs : this._meanSwapMs + SMOOTHING * (tookMs - this._meanSwapMs)
      this._statusOf(record).confirmed.set(target.adapter, { weightVersion: target.weightVersion, atMs: clock.nowMs() })
      this._statusOf(record).failuresCount = 0
      logger.event(RolloutEvent.SwapDone, { pool, endpointId, weightVersion: target.weightVersion })
    } else if (!this._isFenced) this._recordFailure(record, target)
  }

  private _toOrder ({ adapter, weightVersion }: WeightTarget, spec: EndpointPoolSpec): Order {
    const { context: { hostId, hostIncarnation }, pool, fencingNumber } = this._options
    const base = {
      fencing_number: fencingNumber,
      order_id: `${hostId}.${hostIncarnation}.${pool}.${++this._ordersCount}`,
      remaining_ms: ORDER_LIFETIME_MS
    }
    const sourceUrl = weightsUrl(spec.weightStoreUrl ?? '', weightVersion, adapter)
    if (adapter === undefined) return { kind: OrderKind.LoadVersion, ...base, weight_version: weightVersion, source_url: sourceUrl }
    return { kind: OrderKind.LoadAdapter, ...base, adapter: `${adapter}@${weightVersion}`, source_url: sourceUrl }
  }

  /** Unless the reply is conclusive, the engine's reported state decides. */
  private async _isLoaded (record: EndpointRecord, target: WeightTarget, outcome: OrderOutcome, scope: Scope): Promise<boolean> {
    const { context: { clock, logger }, pool } = this._options
    if (outcome.kind === 'replied') {
      if (outcome.reply.kind === 'done') return true
      if (outcome.reply.kind === 'stale_fence') {
        this._isFenced = true
        logger.event(RolloutEvent.OrderFenced, { pool, endpointId: record.announcement.endpointId })
        return false
      }
    }
    const state = await this._orders.readState(record.announcement.url, new Progress(clock, scope, clock.nowMs() + STATE_TIMEOUT_MS))
    if (state.kind !== 'state') return false
    const { adapters, weightVersion } = state.state
    if (target.adapter === undefined) return weightVersion >= target.weightVersion
    return adapters.includes(`${target.adapter}@${target.weightVersion}`)
  }

  /** The engine keeps serving its current version; the order is repeated after a backoff. */
  private _recordFailure (record: EndpointRecord, { weightVersion }: WeightTarget): void {
    const { context: { clock, logger }, pool } = this._options
    const status = this._statusOf(record)
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** status.failuresCount)
    status.failuresCount++
    status.retryAtMs = clock.nowMs() + backoffMs
    logger.event(RolloutEvent.SwapFailed, { pool, endpointId: record.announcement.endpointId, weightVersion, backoffMs })
  }
}

/** Number of engines that may load weights concurrently while enough others keep serving; at least one. */
export function maxSwappingCount (enginesCount: number, { minServingPercent, maxFetchingCount }: EndpointPoolSpec): number {
  const spareCount = enginesCount - Math.ceil(enginesCount * minServingPercent / 100)
  return Math.max(1, Math.min(maxFetchingCount, spareCount))
}
