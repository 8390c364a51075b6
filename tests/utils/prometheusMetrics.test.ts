import test from 'ava'
import { RefusalReason, RetryReason } from '../../src/protocol/refusals.js'
import { metricCatalogue, MetricName } from '../../src/utils/metricNames.js'
import { prometheusMetrics, prometheusName } from '../../src/utils/prometheusMetrics.js'

test('should count refusals and retries by every reason', async t => {
  const metrics = prometheusMetrics()
  for (const reason of Object.values(RefusalReason)) metrics.count(MetricName.RequestRefused, { reason })
  for (const reason of Object.values(RetryReason)) metrics.count(MetricName.RequestRetried, { reason, pool: 'decks' })
  const text = await metrics.text()
  for (const reason of Object.values(RefusalReason)) t.true(text.includes(`threaddrum_request_refused_total{reason="${reason}"} 1`), reason)
  for (const reason of Object.values(RetryReason)) t.true(text.includes(`threaddrum_request_retried_total{reason="${reason}",pool="decks"} 1`), reason)
})

test('should expose every metric of the catalogue with its description', async t => {
  const text = await prometheusMetrics().text()
  for (const name of Object.values(MetricName)) t.true(text.includes(`# HELP ${prometheusName(name)} ${metricCatalogue[name].text}`), name)
})

test('should count durations in buckets, by their tags', async t => {
  const metrics = prometheusMetrics()
  metrics.timing(MetricName.RequestDurationMs, 120, { route: 'idempotent' })
  metrics.timing(MetricName.RequestDurationMs, 700, { route: 'idempotent' })
  const text = await metrics.text()
  t.true(text.includes('threaddrum_request_duration_ms_bucket{le="150",route="idempotent"} 1'))
  t.true(text.includes('threaddrum_request_duration_ms_bucket{le="800",route="idempotent"} 2'))
  t.true(text.includes('threaddrum_request_duration_ms_sum{route="idempotent"} 820'))
})

test('should not show a gauge that was never set', async t => {
  const shown = (await prometheusMetrics().text()).split('\n')
  t.false(shown.some(line => line.startsWith(prometheusName(MetricName.RoutingVersion))))
})

test('should show the last value of a gauge', async t => {
  const metrics = prometheusMetrics()
  metrics.gauge(MetricName.RoutingVersion, 7)
  metrics.gauge(MetricName.RoutingVersion, 9)
  t.true((await metrics.text()).includes('threaddrum_routing_version 9'))
})
