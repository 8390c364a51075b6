/**
 * Metrics by hot-shots (StatsD over UDP), with every counter also kept in memory.
 * Nothing blocks or fails if no StatsD server listens. This module is separate from
 * the in-memory store, so that programs without StatsD do not load the library.
 */
import { StatsD } from 'hot-shots'
import { memoryMetrics, type Metrics, type MetricTags } from './metrics.js'

export interface StatsdAddress {
  host: string
  port: number
}

/** Keeps counters in memory and sends all metrics to a StatsD server over UDP. */
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
