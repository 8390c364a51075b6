/**
 * Metrics by hot-shots (StatsD over UDP), with a copy of every counter in
 * memory. Nothing here blocks or fails when nobody listens. Apart from the
 * store in memory, so that programs without StatsD do not load its library.
 */
import { StatsD } from 'hot-shots'
import { memoryMetrics, type Metrics, type MetricTags } from './metrics.js'

export interface StatsdAddress {
  host: string
  port: number
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
