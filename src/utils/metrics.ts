/**
 * The interface for metrics, and an in-memory implementation for `threaddrum
 * status` and for tests.
 */
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
