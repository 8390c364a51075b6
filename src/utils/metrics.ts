/**
 * Metrics by hot-shots (StatsD over UDP), with a copy of every counter in
 * memory for `threaddrum status` and for tests. Nothing here blocks or fails
 * when nobody listens.
 */
import { StatsD } from 'hot-shots'
import type { MetricName } from './metricNames.js'

export type MetricTags = Record<string, string>

export interface Metrics {
  count (name: MetricName, tags?: MetricTags, by?: number): void
  gauge (name: MetricName, value: number, tags?: MetricTags): void
  /** A duration in milliseconds. */
  timing (name: MetricName, valueMs: number, tags?: MetricTags): void
  /** All counters and the last value of every gauge, by name and tags. */
  snapshot (): Record<string, number>
  close (): void
}

export interface StatsdAddress {
  host: string
  port: number
}

const MAX_SERIES = 4096

class SeriesStore {
  private readonly _values = new Map<string, number>()

  add (key: string, by: number): void {
    this._set(key, (this._values.get(key) ?? 0) + by)
  }

  set (key: string, value: number): void {
    this._set(key, value)
  }

  all (): Record<string, number> {
    return Object.fromEntries(this._values)
  }

  private _set (key: string, value: number): void {
    if (!this._values.has(key) && this._values.size >= MAX_SERIES) return
    this._values.set(key, value)
  }
}

function seriesKey (name: MetricName, tags: MetricTags = {}): string {
  const parts = Object.entries(tags).map(([key, value]) => `${key}=${value}`).sort()
  return parts.length > 0 ? `${name}{${parts.join(',')}}` : name
}

/** Keeps counters in memory only. */
export function memoryMetrics (): Metrics {
  const store = new SeriesStore()
  return {
    count: (name, tags, by = 1) => store.add(seriesKey(name, tags), by),
    gauge: (name, value, tags) => store.set(seriesKey(name, tags), value),
    timing: () => {},
    snapshot: () => store.all(),
    close: () => {}
  }
}

/** Counters in memory and, by UDP, at a StatsD listener. */
export function statsdMetrics (address: StatsdAddress, globalTags: MetricTags): Metrics {
  const memory = memoryMetrics()
  const client = new StatsD({
    host: address.host,
    port: address.port,
    prefix: 'threaddrum.',
    globalTags,
    maxBufferSize: 1400,
    cacheDns: true,
    errorHandler: () => {}
  })
  return {
    count (name, tags, by = 1) {
      memory.count(name, tags, by)
      client.increment(name, by, tags ?? {})
    },
    gauge (name, value, tags) {
      memory.gauge(name, value, tags)
      client.gauge(name, value, tags ?? {})
    },
    timing: (name, valueMs, tags) => client.timing(name, valueMs, tags ?? {}),
    snapshot: () => memory.snapshot(),
    close: () => client.close(() => {})
  }
}
