/**
 * Brings the engines of one pool to their target weights, a few at a time.
 *
 * As many engines load at once as keep the weight store's rate filled, but
 * never so many that fewer than the pool's share go on serving: a sliding
 * window, so that the store does not wait for the slowest engine of a wave, and
 * orders that would start together are set apart, so that engines do not all
 * exchange weights, while the store stands idle, at the same moment.
 * Nothing is remembered that the engines do not say themselves, except the
 * reply to an order until the next announcement; so an engine that restarts
 * with older weights, or that a stray order has set back, is brought up again.
 */
import { OrderKind, weightsUrl, type Order } from '../../../protocol/endpoints.js'
import type { EndpointPoolSpec } from '../../../protocol/resources.js'
import { MetricName } from '../../../utils/metricNames.js'
import { Progress } from '../../../utils/progress.js'
import type { Scope } from '../../../utils/scope.js'
import type { EndpointRecord } from '../../directory/endpointRecord.js'
import { RolloutEvent } from '../rolloutEvents.js'
import type { RolloutParts } from '../rolloutParts.js'
import { WakeSignal } from '../wakeSignal.js'
import { httpEngineOrders, type EngineOrders, type OrderOutcome } from './engineOrders.js'
import { nextTarget, type WeightTarget } from './weightTargets.js'

/** The longest time an order may take; an endpoint drops it afterwards. */
export const ORDER_LIFETIME_MS = 60_000
const STATE_TIMEOUT_MS = 5_000
const RECONCILE_INTERVAL_MS = 1_000
const FIRST_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 30_000
/** Part of an even spacing that orders keep from each other. */
const START_GAP = 0.5
const SMOOTHING = 0.3

export interface CoordinatorOptions {
  parts: RolloutParts
  pool: string
  fencingNumber: number
  spec: () => EndpointPoolSpec | undefined
  targets: () => WeightTarget[]
  /** False as soon as this host must not give orders any more. */
  mayOrder: () => boolean
}

interface EngineNote {
  incarnation: number
  /** What the engine confirmed in reply to orders, by adapter; counts until its next announcement. */
  confirmed: Map<string | undefined, { weightVersion: number, atMs: number }>
  failuresCount: number
  retryAtMs: number
}

export class PoolCoordinator {
  private readonly _options: CoordinatorOptions
  private readonly _orders: EngineOrders
  private readonly _notes = new Map<string, EngineNote>()
  /** Engines with an order under way, and when it ends at the latest. */
  private readonly _ordered = new Map<string, number>()
  private readonly _signal = new WakeSignal()
  private _isFenced = false
  /** Moving mean of how long a swap takes; 0 before the first. */
  private _swapMs = 0
  private _nextStartAtMs = 0
  private _ordersCount = 0

  constructor (options: CoordinatorOptions) {
    this._options = options
    this._orders = options.parts.engineOrders ?? httpEngineOrders
  }

  wake (): void {
    this._signal.wake()
  }

  /** Stops new orders; returns how long one already sent may still run. */
  standDown (): number {
    this._isFenced = true
    this.wake()
    const lastEndsAtMs = Math.max(0, ...this._ordered.values())
    return Math.max(0, lastEndsAtMs - this._options.parts.clock.nowMs())
  }

  /** Runs until this host may not give orders any more. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._options.parts
    while (!this._isFenced && this._options.mayOrder()) {
      this._startSwaps(scope)
      const nextStartAtMs = this._nextStartAtMs > clock.nowMs() ? this._nextStartAtMs : Number.POSITIVE_INFINITY
      await this._signal.wait(clock, scope, Math.min(nextStartAtMs, clock.nowMs() + RECONCILE_INTERVAL_MS))
    }
  }

  private _startSwaps (scope: Scope): void {
    const { parts, pool, spec, targets } = this._options
    const poolSpec = spec()
    if (!poolSpec) return
    const engines = parts.directory.available(pool)
    const wanted = targets()
    const lagging = engines.flatMap(record => {
      const target = this._isFree(record) ? nextTarget(record, wanted, adapter => this._confirmedVersion(record, adapter)) : undefined
      return target ? [{ record, target }] : []
    })
    lagging.sort((a, b) => a.record.announcement.load.runningCount - b.record.announcement.load.runningCount)
    const maxCount = maxSwappingCount(engines.length, poolSpec)
    for (const { record, target } of lagging.slice(0, Math.max(0, maxCount - this._ordered.size))) {
      const nowMs = parts.clock.nowMs()
      if (this._nextStartAtMs > nowMs) return
      this._nextStartAtMs = nowMs + this._swapMs * START_GAP / maxCount
      this._swap(record, target, poolSpec, scope)
    }
  }

  private _isFree (record: EndpointRecord): boolean {
    const { endpointId } = record.announcement
    return !this._ordered.has(endpointId) && this._noteOf(record).retryAtMs <= this._options.parts.clock.nowMs()
  }

  private _noteOf ({ announcement: { endpointId, incarnation } }: EndpointRecord): EngineNote {
    const known = this._notes.get(endpointId)
    if (known?.incarnation === incarnation) return known
    const note = { incarnation, confirmed: new Map(), failuresCount: 0, retryAtMs: 0 }
    this._notes.set(endpointId, note)
    return note
  }

  /** An engine that a stray order has set back says so itself; then its word counts, not the reply to us. */
  private _confirmedVersion (record: EndpointRecord, adapter?: string): number | undefined {
    const confirmed = this._noteOf(record).confirmed.get(adapter)
    return confirmed && confirmed.atMs >= record.loadAtMs ? confirmed.weightVersion : undefined
  }

  private _swap (record: EndpointRecord, target: WeightTarget, spec: EndpointPoolSpec, scope: Scope): void {
    const { endpointId } = record.announcement
    const swapping = this._runSwap(record, target, spec, scope)
      .finally(() => {
        this._ordered.delete(endpointId)
        this.wake()
      })
    // A closed scope ends the swap with the coordinator.
    swapping.catch(() => {})
  }

  private async _runSwap (record: EndpointRecord, target: WeightTarget, spec: EndpointPoolSpec, scope: Scope): Promise<void> {
    const { parts: { clock, logger, metrics }, pool } = this._options
    const { endpointId, url } = record.announcement
    const startedAtMs = clock.nowMs()
    const deadlineMs = startedAtMs + ORDER_LIFETIME_MS
    this._ordered.set(endpointId, deadlineMs)
    const progress = new Progress(clock, scope, deadlineMs)
    const outcome = await this._orders.order(url, this._toOrder(target, spec), progress)
    const hasTaken = await this._hasTaken(record, target, outcome, scope)
    metrics.count(MetricName.WeightsSwapped, { outcome: hasTaken ? 'done' : outcome.kind === 'replied' ? outcome.reply.kind : outcome.kind })
    if (hasTaken) {
      const tookMs = clock.nowMs() - startedAtMs
      this._swapMs = this._swapMs === 0 ? tookMs : this._swapMs + SMOOTHING * (tookMs - this._swapMs)
      this._noteOf(record).confirmed.set(target.adapter, { weightVersion: target.weightVersion, atMs: clock.nowMs() })
      this._noteOf(record).failuresCount = 0
      logger.event(RolloutEvent.SwapDone, { pool, endpointId, weightVersion: target.weightVersion })
    } else if (!this._isFenced) this._noteFailure(record, target)
  }

  private _toOrder ({ adapter, weightVersion }: WeightTarget, spec: EndpointPoolSpec): Order {
    const { parts: { hostId, hostIncarnation }, pool, fencingNumber } = this._options
    const base = {
      fencing_number: fencingNumber,
      order_id: `${hostId}.${hostIncarnation}.${pool}.${++this._ordersCount}`,
      remaining_ms: ORDER_LIFETIME_MS
    }
    const sourceUrl = weightsUrl(spec.weightStoreUrl ?? '', weightVersion, adapter)
    if (adapter === undefined) return { kind: OrderKind.LoadVersion, ...base, weight_version: weightVersion, source_url: sourceUrl }
    return { kind: OrderKind.LoadAdapter, ...base, adapter: `${adapter}@${weightVersion}`, source_url: sourceUrl }
  }

  /** After anything but a clear reply, the engine's own state decides. */
  private async _hasTaken (record: EndpointRecord, target: WeightTarget, outcome: OrderOutcome, scope: Scope): Promise<boolean> {
    const { parts: { clock, logger }, pool } = this._options
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

  /** The engine keeps serving what it has; it is asked again later. */
  private _noteFailure (record: EndpointRecord, { weightVersion }: WeightTarget): void {
    const { parts: { clock, logger }, pool } = this._options
    const note = this._noteOf(record)
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** note.failuresCount)
    note.failuresCount++
    note.retryAtMs = clock.nowMs() + backoffMs
    logger.event(RolloutEvent.SwapFailed, { pool, endpointId: record.announcement.endpointId, weightVersion, backoffMs })
  }
}

/** Engines that may load at once, so that enough of them go on serving; one at least. */
export function maxSwappingCount (enginesCount: number, { minServingPercent, maxFetchingCount }: EndpointPoolSpec): number {
  const spareCount = enginesCount - Math.ceil(enginesCount * minServingPercent / 100)
  return Math.max(1, Math.min(maxFetchingCount, spareCount))
}
