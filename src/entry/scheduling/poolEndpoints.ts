/**
 * The endpoints of one pool as the scheduler sees them: kept in step with the
 * directory, those that fail left out, but never so many that less than half
 * remain.
 */
import { versionServed } from '../../protocol/endpoints.js'
import type { EndpointPoolSpec } from '../../protocol/resources.js'
import { unreachable } from '../../utils/errors.js'
import { MetricName } from '../../utils/metricNames.js'
import { EndpointState } from './endpointState.js'
import type { AttemptResult, WorkItem } from './scheduler.js'
import type { SchedulerParts } from './schedulerParts.js'

/** Part of a pool's endpoints that ejection always leaves in use. */
const KEPT_FRACTION = 0.5
/** Fewer endpoints that report a speed don't tell which of them is slow. */
const MIN_REPORTED = 3

export class PoolEndpoints {
  private readonly _parts: SchedulerParts
  private readonly _pool: string
  private readonly _states = new Map<string, EndpointState>()
  private _available: EndpointState[] = []
  private _ids: readonly string[] = []
  private _hostsCount = 0
  private _spec: EndpointPoolSpec | undefined

  constructor (parts: SchedulerParts, pool: string) {
    this._parts = parts
    this._pool = pool
  }

  /** As of the last refresh. */
  get spec (): EndpointPoolSpec | undefined {
    return this._spec
  }

  /** All that hold a lease and are not leaving, ejected ones included. */
  get available (): readonly EndpointState[] {
    return this._available
  }

  /** Takes over what directory and configuration say now. */
  refresh (spec: EndpointPoolSpec): void {
    const hostsCount = Math.max(1, this._parts.configuration.entryHosts().length)
    const termsChanged = hostsCount !== this._hostsCount || spec !== this._spec
    this._hostsCount = hostsCount
    this._spec = spec
    const records = this._parts.directory.available(this._pool)
    this._available = records.map(record => {
      const known = this._states.get(record.announcement.endpointId)
      if (known && known.record === record && !termsChanged) return known
      const state = known ?? this._add(new EndpointState(record))
      state.update(record)
      state.setLimit(spec, hostsCount, this._parts.random)
      return state
    })
    this._forgetGone()
  }

  /** Those that may be used at all: ejected ones left out, as far as the floor allows. */
  inUse (nowMs: number): EndpointState[] {
    const ejected = this._available
      .filter(state => state.health.isEjected(nowMs))
    if (ejected.length === 0) return this._available
    ejected.sort((a, b) => b.health.ejectedUntilMs - a.health.ejectedUntilMs)
    const keptCount = Math.max(1, Math.ceil(this._available.length * KEPT_FRACTION))
    const leftOut = new Set(ejected.slice(0, Math.max(0, this._available.length - keptCount)))
    return this._available.filter(state => !leftOut.has(state))
  }

  /** Their ids; the same array as long as they are the same. */
  idsOf (states: EndpointState[]): readonly string[] {
    const unchanged = states.length === this._ids.length && states.every((state, index) => state.endpointId === this._ids[index])
    if (!unchanged) this._ids = states.map(state => state.endpointId)
    return this._ids
  }

  /** Whether any endpoint, ejected or not, could ever take the item as things are. */
  couldTake (item: WorkItem): boolean {
    return this._available.some(state => !item.excludedEndpointIds.includes(state.endpointId))
  }

  /** Time of a token at the fastest endpoint in use; undefined before any finished. */
  fastestMsPerToken (nowMs: number): number | undefined {
    let fastest: number | undefined
    for (const { health: { msPerToken } } of this.inUse(nowMs)) {
      if (msPerToken !== undefined && (fastest === undefined || msPerToken < fastest)) fastest = msPerToken
    }
    return fastest
  }

  /** Accounts for the end of a try. */
  ended (state: EndpointState, result: AttemptResult, nowMs: number): void {
    state.ended(nowMs)
    switch (result.kind) {
      case 'succeeded':
        state.health.succeeded(result.tokensCount, result.durationMs - (result.firstTokenMs ?? 0), nowMs)
        break
      case 'failed':
        if (state.health.failed(nowMs)) this._eject(state, nowMs)
        break
      case 'refused':
        state.refused()
        break
      case 'cancelled':
        break
      default:
        unreachable(result)
    }
  }

  /** How many times as long as at the median endpoint a token takes, by what the engines report. */
  reportedSlowness (state: EndpointState): number {
    if (state.reportedMsPerToken === undefined) return 1
    const times = this._available.flatMap(other => other.reportedMsPerToken ?? [])
    return times.length < MIN_REPORTED ? 1 : Math.max(1, state.reportedMsPerToken / median(times))
  }

  /** The next instant at which an ejected endpoint comes back. */
  nextReturnAtMs (nowMs: number): number | undefined {
    const instants = this._available.filter(state => state.health.isEjected(nowMs)).map(state => state.health.ejectedUntilMs)
    return instants.length > 0 ? Math.min(...instants) : undefined
  }

  private _add (state: EndpointState): EndpointState {
    this._states.set(state.endpointId, state)
    return state
  }

  private _forgetGone (): void {
    if (this._states.size === this._available.length) return
    const nowMs = this._parts.clock.nowMs()
    const present = new Set(this._available)
    for (const [endpointId, state] of this._states) {
      if (present.has(state) || state.ownCount > 0 || state.health.isEjected(nowMs)) continue
      this._states.delete(endpointId)
    }
  }

  private _eject (state: EndpointState, nowMs: number): void {
    state.health.eject(nowMs)
    const ejectedCount = this._available.filter(other => other.health.isEjected(nowMs)).length
    this._parts.metrics.gauge(MetricName.EndpointsEjected, ejectedCount, { pool: this._pool })
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
