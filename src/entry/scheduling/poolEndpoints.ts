/**
 * The endpoints of one pool as seen by the scheduler. They are synchronized with
 * the directory; failing endpoints are ejected, but at least half of the pool
 * stays in use.
 */
import { versionServed } from '../../protocol/endpoints.js'
import type { EndpointPoolSpec } from '../../protocol/resources.js'
import { unreachable } from '../../utils/errors.js'
import { MetricName } from '../../utils/metricNames.js'
import { EndpointState } from './endpointState.js'
import type { AttemptResult, WorkItem } from './scheduler.js'
import type { SchedulerOptions } from './schedulerOptions.js'

/** Fraction of a pool's endpoints that stays in use whatever is ejected. */
const MIN_IN_USE_FRACTION = 0.5
/** With fewer endpoints that report a speed, the median doesn't show which of them is slow. */
const MIN_REPORTING_COUNT = 3

export class PoolEndpoints {
  private readonly _options: SchedulerOptions
  private readonly _pool: string
  private readonly _states = new Map<string, EndpointState>()
  private _available: EndpointState[] = []
  private _ids: readonly string[] = []
  private _hostsCount = 0
  private _spec: EndpointPoolSpec | undefined

  constructor (options: SchedulerOptions, pool: string) {
    this._options = options
    this._pool = pool
  }

  /** The pool's settings as of the last `refresh`. */
  get spec (): EndpointPoolSpec | undefined {
    return this._spec
  }

  /** Endpoints that hold a lease and are not leaving, including ejected ones. */
  get available (): readonly EndpointState[] {
    return this._available
  }

  /** Applies the current state of the directory and the configuration. */
  refresh (spec: EndpointPoolSpec): void {
    const hostsCount = Math.max(1, this._options.configuration.entryHosts().length)
    const limitInputsChanged = hostsCount !== this._hostsCount || spec !== this._spec
    this._hostsCount = hostsCount
    this._spec = spec
    const records = this._options.directory.available(this._pool)
    this._available = records.map(record => {
      const known = this._states.get(record.announcement.endpointId)
      if (known && known.record === record && !limitInputsChanged) return known
      const state = known ?? this._add(new EndpointState(record))
      state.update(record)
      state.recomputeLimit(spec, hostsCount, this._options.random)
      return state
    })
    this._removeUnavailable()
  }

  /** Endpoints that are not ejected. If too few remain, the endpoints whose ejection ends first stay in use. */
  inUse (nowMs: number): EndpointState[] {
    const ejected = this._available
      .filter(state => state.health.isEjected(nowMs))
    if (ejected.length === 0) return this._available
    ejected.sort((a, b) => b.health.ejectedUntilMs - a.health.ejectedUntilMs)
    const minInUseCount = Math.max(1, Math.ceil(this._available.length * MIN_IN_USE_FRACTION))
    const excluded = new Set(ejected.slice(0, Math.max(0, this._available.length - minInUseCount)))
    return this._available.filter(state => !excluded.has(state))
  }

  /** The ids of the endpoints. Returns the same array while they don't change, so that callers can compare by identity. */
  idsOf (states: EndpointState[]): readonly string[] {
    const unchanged = states.length === this._ids.length && states.every((state, index) => state.endpointId === this._ids[index])
    if (!unchanged) this._ids = states.map(state => state.endpointId)
    return this._ids
  }

  /** Whether the item allows at least one endpoint, ejected or not. */
  hasCandidateFor (item: WorkItem): boolean {
    return this._available.some(state => !item.excludedEndpointIds.includes(state.endpointId))
  }

  /** Time per token of the fastest endpoint in use; undefined before the first success. */
  fastestMsPerToken (nowMs: number): number | undefined {
    let fastest: number | undefined
    for (const { health: { msPerToken } } of this.inUse(nowMs)) {
      if (msPerToken !== undefined && (fastest === undefined || msPerToken < fastest)) fastest = msPerToken
    }
    return fastest
  }

  /** Records the end of an attempt. */
  ended (state: EndpointState, result: AttemptResult, nowMs: number): void {
    state.ended(nowMs)
    switch (result.kind) {
      case 'succeeded':
        state.health.recordSuccess(result.tokensCount, result.durationMs - (result.firstTokenMs ?? 0), nowMs)
        break
      case 'failed':
        if (state.health.recordFailure(nowMs)) this._eject(state, nowMs)
        break
      case 'refused':
        state.recordRefusal()
        break
      case 'cancelled':
        break
      default:
        unreachable(result)
    }
  }

  /** Reported time per token relative to the median of the pool, at least 1. */
  reportedSlowness (state: EndpointState): number {
    if (state.reportedMsPerToken === undefined) return 1
    const times = this._available.flatMap(other => other.reportedMsPerToken ?? [])
    return times.length < MIN_REPORTING_COUNT ? 1 : Math.max(1, state.reportedMsPerToken / median(times))
  }

  /** The earliest end of an ejection. */
  nextReinstatementAtMs (nowMs: number): number | undefined {
    const instants = this._available.filter(state => state.health.isEjected(nowMs)).map(state => state.health.ejectedUntilMs)
    return instants.length > 0 ? Math.min(...instants) : undefined
  }

  private _add (state: EndpointState): EndpointState {
    this._states.set(state.endpointId, state)
    return state
  }

  private _removeUnavailable (): void {
    if (this._states.size === this._available.length) return
    const nowMs = this._options.clock.nowMs()
    const available = new Set(this._available)
    for (const [endpointId, state] of this._states) {
      if (available.has(state) || state.ownCount > 0 || state.health.isEjected(nowMs)) continue
      this._states.delete(endpointId)
    }
  }

  private _eject (state: EndpointState, nowMs: number): void {
    state.health.eject(nowMs)
    const ejectedCount = this._available.filter(other => other.health.isEjected(nowMs)).length
    this._options.metrics.gauge(MetricName.EndpointsEjected, ejectedCount, { pool: this._pool })
  }
}

export function isSuitable (state: EndpointState, item: WorkItem): boolean {
  if (item.excludedEndpointIds.includes(state.endpointId)) return false
  if (item.minWeightVersion === undefined) return true
  return (versionServed(state.record.announcement, item.adapter) ?? 0) >= item.minWeightVersion
}

function median (values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}
