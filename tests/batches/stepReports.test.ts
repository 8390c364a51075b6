import test from 'ava'
import { BatchEvent } from '../../src/batches/batchEvents.js'
import { Batch } from '../../src/batches/batch.js'
import { ItemStage, StepReports, type ReportedItem } from '../../src/batches/stepReports.js'
import { WaitReason } from '../../src/batchScheduling/waitReason.js'
import type { LogFields, Logger } from '../../src/utils/logger.js'
import { MetricName } from '../../src/utils/metricNames.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

test('should report the stages and wait reasons of the items of each open step, and nothing of an ended one', async t => {
  const clock = new VirtualClock()
  await clock.advance(2_000)
  const lines: LogFields[] = []
  const logger = { event: (event: BatchEvent, fields: LogFields = {}) => lines.push({ event, ...fields }) } as unknown as Logger
  const metrics = memoryMetrics()
  const batch = Batch.accepted(submission('b1', ['i1', 'i2', 'i3']), 0, 1)
  const ended = Batch.accepted(submission('b0', ['i0']), 0, 1)
  ended.end()
  const items: ReportedItem[] = [ItemStage.Queued, ItemStage.Queued, ItemStage.Running].map(stage => ({ batch, stage }))
  const steps = [batch, ended].map(each => ({ batch: each, startedAtMs: 500, dueAtMs: 7_500 }))
  const reports = new StepReports({ clock, logger, metrics, steps: () => steps, items: () => items, waitReasonOf: () => WaitReason.NoVersion })
  reports.report()
  t.is(lines.length, 1)
  t.like(lines[0], { event: BatchEvent.StepWaiting, batchId: 'b1', openForMs: 1_500, dueInMs: 5_500, queued: 2, running: 1, no_version: 2 })
  const gaugeOf = (name: MetricName, ...tags: string[]): number | undefined => Object.entries(metrics.snapshot()).find(([key]) => key.startsWith(`${name}{`) && tags.every(tag => key.includes(tag)))?.[1]
  t.is(gaugeOf(MetricName.StepWaiting, 'no_version'), 2)
  batch.end()
  items.length = 0
  reports.report()
  t.is(lines.length, 1)
  t.is(gaugeOf(MetricName.StepWaiting, 'no_version'), 0)
  t.is(gaugeOf(MetricName.StepOpenMs), 0)
})
