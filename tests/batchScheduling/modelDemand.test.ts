import test from 'ava'
import { Batch } from '../../src/batches/batch.js'
import { ModelDemand } from '../../src/batchScheduling/modelDemand.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

/** Modelled load: a trainer that names a version at each step, and a leader that is elected in the middle of a job. */
function createDemand (): { demand: ModelDemand, clock: VirtualClock } {
  const clock = new VirtualClock()
  return { demand: new ModelDemand(clock), clock }
}

function step (minVersion: number, itemsCount = 2) {
  const itemIds = Array.from({ length: itemsCount }, (_value, position) => `i${position}`)
  return Batch.accepted(submission(`b${minVersion}`, itemIds, { model: 'm', minVersion }), 0, 1).submission
}

test('should measure the interval between named versions, not the time since it was created', async t => {
  const { demand, clock } = createDemand()
  demand.recordNamedVersion('m', 7)
  await clock.advance(400)
  demand.recordNamedVersion('m', 8)
  t.is(demand.versionIntervalMs('m'), undefined)
  await clock.advance(4_000)
  demand.recordNamedVersion('m', 9)
  await clock.advance(1_000)
  demand.recordNamedVersion('m', 9)
  t.is(demand.versionIntervalMs('m'), 4_000)
})

test('should average the interval over skipped versions', async t => {
  const { demand, clock } = createDemand()
  demand.recordNamedVersion('m', 1)
  demand.recordNamedVersion('m', 2)
  await clock.advance(8_000)
  demand.recordNamedVersion('m', 4)
  t.is(demand.versionIntervalMs('m'), 4_000)
})

test('should derive the staleness from recent steps, but not from the first ones of a job, which have no older version', t => {
  const { demand } = createDemand()
  t.is(demand.stalenessVersions('m'), 1)
  demand.recordStep(step(1), 1)
  t.is(demand.stalenessVersions('m'), 1)
  for (const version of [6, 7, 8]) demand.recordStep(step(version - 3), version)
  t.is(demand.stalenessVersions('m'), 3)
  for (const version of [9, 10, 11]) demand.recordStep(step(version), version)
  t.is(demand.stalenessVersions('m'), 0)
})

test('should record the size of the latest step and the longest sample per model', t => {
  const { demand } = createDemand()
  t.is(demand.stepItemsCount('m'), undefined)
  demand.recordStep(step(1, 5), 1)
  demand.recordSample('m', 120)
  demand.recordSample('m', 80)
  t.is(demand.stepItemsCount('m'), 5)
  t.is(demand.longestEventsCount('m'), 120)
  t.is(demand.longestEventsCount('other'), 0)
})
