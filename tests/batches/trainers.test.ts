/**
 * Several trainers with one store and its engines: how their steps are affected by
 * momentary faults and by failing engines.
 */
import test, { type ExecutionContext } from 'ava'
import { TrainerWorld, type TrainerWorldOptions } from '../fixtures/fleet/trainerWorld.js'

/** Time until the first steps of all trainers run, and until their last ones have ended. */
const WARM_UP_MS = 2_000
const OBSERVATION_MS = 20_000
/** Share of its runs that a failing engine fails at once. */
const FAIL_SHARE = 0.9

async function start (t: ExecutionContext, options: Omit<TrainerWorldOptions, 'seed'> = {}): Promise<TrainerWorld> {
  const world = await new TrainerWorld({ seed: 7, ...options }).start()
  t.teardown(() => world.close())
  return world
}

test('should complete every step in time without faults', async t => {
  const world = await start(t)
  await world.run(WARM_UP_MS + OBSERVATION_MS)
  t.deepEqual(world.violations, [])
  t.deepEqual(world.lostSteps().map(({ batchId }) => batchId), [])
  t.true(world.steps.length >= 12, `${world.steps.length} steps`)
  t.deepEqual(world.store.failures, [])
})

// After all runs had lost their connections at the same time, every engine was ejected for eight seconds.
test('should continue at once when the connections of all runs are lost at the same time', async t => {
  const world = await start(t)
  await world.run(WARM_UP_MS)
  const brokenCount = world.engines.breakRuns(world.engines.all, true)
  const brokenAtMs = world.clock.nowMs()
  await world.run(OBSERVATION_MS)
  t.true(brokenCount >= 32, `${brokenCount} runs were broken`)
  t.deepEqual(world.violations, [])
  for (const { endpointId, runStartsAtMs } of world.engines.all) {
    const nextStartAtMs = runStartsAtMs.find(atMs => atMs > brokenAtMs) ?? Number.POSITIVE_INFINITY
    t.true(nextStartAtMs - brokenAtMs <= 300, `${endpointId} starts a run after ${nextStartAtMs - brokenAtMs} ms`)
  }
  t.deepEqual(world.lostSteps().map(({ batchId }) => batchId), [])
})

// An engine that answered every run with 500 at once always had a free slot, and attracted runs until their items were abandoned.
test('should abandon no item that another engine could complete, while some engines fail runs at once', async t => {
  const world = await start(t)
  for (const engine of world.engines.all.slice(0, 2)) engine.failShare = FAIL_SHARE
  await world.run(OBSERVATION_MS)
  t.is(world.abandonedCount(), 0)
  t.true(world.engines.failedRunsCount <= 150, `${world.engines.failedRunsCount} runs were failed`)
  t.deepEqual(world.violations, [])
  t.deepEqual(world.lostSteps().map(({ batchId }) => batchId), [])
})

// An item that fails on every engine must not count as a failure of the engines.
test('should eject no engine for items that fail everywhere', async t => {
  const world = await start(t)
  const badIds = [0, 5, 10].map(position => `m0 step 1 item ${position}`)
  for (const itemId of badIds) world.engines.failingItemIds.add(itemId)
  await world.run(OBSERVATION_MS)
  t.deepEqual(world.violations, [])
  t.is(world.abandonedCount(), 0)
  t.true(world.engines.failedRunsCount <= 9 * badIds.length, `${world.engines.failedRunsCount} runs were failed`)
  t.deepEqual(world.lostSteps().filter(({ model, number }) => model !== 'm0' || number > 1).map(({ batchId }) => batchId), [])
})

// After eight broken runs, each further one ejected an engine for eight seconds: successes did not reset the count.
test('should clear earlier failures of an engine that has completed samples since', async t => {
  const world = await start(t)
  for (let round = 0; round < 5; round++) {
    await world.run(WARM_UP_MS)
    world.engines.breakRuns(world.engines.all, false)
  }
  await world.run(OBSERVATION_MS)
  t.deepEqual(world.violations, [])
})

// The first service of a route got all batches, regardless of its weight and even without engines.
test('should run a batch on the service that has engines of its model, even if another is first in its route', async t => {
  const world = await start(t, { services: [{ service: 'decks', weight: 10 }, { service: 'engines', weight: 90 }] })
  await world.run(OBSERVATION_MS)
  t.deepEqual(world.violations, [])
  t.deepEqual(world.lostSteps().map(({ batchId }) => batchId), [])
})

// The next event of any other run on an engine cleared the record of runs that it had accepted and never started, so it got more.
test('should eject an engine that accepts runs and does not start them', async t => {
  const world = await start(t)
  for (const engine of world.engines.all.slice(0, 2)) engine.hangShare = FAIL_SHARE / 2
  await world.run(OBSERVATION_MS)
  t.true(world.engines.hungRunsCount <= 20, `${world.engines.hungRunsCount} runs hung`)
  t.deepEqual(world.violations, [])
})
