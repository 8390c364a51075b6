/**
 * Metrics in the Prometheus text format, by prom-client. Names, tags and
 * descriptions come from the same catalogue as the metrics sent to StatsD.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { metricCatalogue, type MetricName } from './metricNames.js'
import { memoryMetrics, type Metrics } from './metrics.js'

export interface ExposedMetrics extends Metrics {
  contentType: string
  /** All series in the text format. */
  text (): Promise<string>
}

/** Upper bounds of the histogram buckets, in milliseconds: from a sync of the log to the longest item of a batch. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 150, 200, 300, 500, 800, 1_500, 3_000, 6_000, 12_000]

interface Collectors {
  counters: Map<MetricName, Counter>
  gauges: Map<MetricName, Gauge>
  timings: Map<MetricName, Histogram>
}

/** `request.duration_ms` becomes `threaddrum_request_duration_ms`; counters end in `_total`, by Prometheus convention. */
export function prometheusName (name: MetricName): string {
  const base = `threaddrum_${name.replaceAll('.', '_')}`
  return metricCatalogue[name].type === 'counter' ? `${base}_total` : base
}

export function prometheusMetrics (): ExposedMetrics {
  const registry = new Registry()
  const { counters, gauges, timings } = createCollectors(registry)
  const memory = memoryMetrics()
  return {
    contentType: registry.contentType,
    count (name, tags, by = 1) {
      memory.count(name, tags, by)
      counters.get(name)?.inc(tags ?? {}, by)
    },
    gauge (name, value, tags) {
      memory.gauge(name, value, tags)
      gauges.get(name)?.set(tags ?? {}, value)
    },
    timing: (name, valueMs, tags) => timings.get(name)?.observe(tags ?? {}, valueMs),
    snapshot: () => memory.snapshot(),
    text: async () => await registry.metrics(),
    close: () => registry.clear()
  }
}

/** Omits the gauge until it is set: an initial zero would be mistaken for a measured value. */
function createGauge (options: { name: string, help: string, labelNames: string[], registers: Registry[] }): Gauge {
  const gauge = new Gauge(options)
  if (options.labelNames.length === 0) gauge.remove()
  return gauge
}

function createCollectors (registry: Registry): Collectors {
  const collectors: Collectors = { counters: new Map(), gauges: new Map(), timings: new Map() }
  for (const [key, { type, tags, text }] of Object.entries(metricCatalogue)) {
    const name = key as MetricName
    const options = { name: prometheusName(name), help: text, labelNames: tags, registers: [registry] }
    switch (type) {
      case 'counter':
        collectors.counters.set(name, new Counter(options))
        break
      case 'gauge':
        collectors.gauges.set(name, createGauge(options))
        break
      case 'timing':
        collectors.timings.set(name, new Histogram({ ...options, buckets: BUCKETS_MS }))
    }
  }
  return collectors
}
