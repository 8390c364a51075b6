import test from 'ava'
import { Batch } from '../../src/batches/batch.js'
import { ModelDemand } from '../../src/batches/modelDemand.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

/** The load that these tests stand for: a trainer that names a version at each step, and a leader that comes in the middle of a job. */
function demandOf (): { demand: ModelDemand, clock: VirtualClock } {
  const clock = new VirtualClock()
  return { demand: new ModelDemand(clock), clock }
}

function stepOf (minVersion: number, itemsCount = 2) {
  const itemIds = Array.from({ length: itemsCount }, (_value, position) => `i${position}`)
  return Batch.accepted(submission(`b${minVersion}`, itemIds, { model: 'm', minVersion }), 0, 1).submission
}

test('should take the time between namings for the interval, not the time since it began to look', async t => {
  const { demand, clock } = demandOf()
  demand.named('m', 7)
  await clock.advance(400)
  demand.named('m', 8)
  t.is(demand.namingIntervalMs('m'), undefined)
  await clock.advance(4_000)
  demand.named('m', 9)
  await clock.advance(1_000)
  demand.named('m', 9)
  t.is(demand.namingIntervalMs('m'), 4_000)
})

test('should spread the interval over versions that were named together', async t => {
  const { demand, clock } = demandOf()
  demand.named('m', 1)
  demand.named('m', 2)
  await clock.advance(8_000)
  demand.named('m', 4)
  t.is(demand.namingIntervalMs('m'), 4_000)
})

test('should learn how far behind steps may be, and not from the first ones of a job, which have no older version', t => {
  const { demand } = demandOf()
  t.is(demand.stalenessVersions('m'), 1)
  demand.asked(stepOf(1), 1)
  t.is(demand.stalenessVersions('m'), 1)
  for (const version of [6, 7, 8]) demand.asked(stepOf(version - 3), version)
  t.is(demand.stalenessVersions('m'), 3)
  for (const version of [9, 10, 11]) demand.asked(stepOf(version), version)
  t.is(demand.stalenessVersions('m'), 0)
})

test('should know the size of the latest step and the longest sample, for each model by itself', t => {
  const { demand } = demandOf()
  t.is(demand.stepItemsCount('m'), undefined)
  demand.asked(stepOf(1, 5), 1)
  demand.made('m', 120)
  demand.made('m', 80)
  t.is(demand.stepItemsCount('m'), 5)
  t.is(demand.longestEventsCount('m'), 120)
  t.is(demand.longestEventsCount('other'), 0)
})
