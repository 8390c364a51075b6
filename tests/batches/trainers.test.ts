/**
 * Several trainers before one store and its engines: what a disturbance of an
 * instant, or an engine that fails, costs their steps.
 */
import test, { type ExecutionContext } from 'ava'
import { TrainerWorld, type TrainerWorldOptions } from '../fixtures/fleet/trainerWorld.js'

/** Time until all trainers' first steps run, and until their last ones have ended. */
const BEFORE_MS = 2_000
const AFTER_MS = 20_000
/** A share of the engines fails this much of its runs at once. */
const FAIL_SHARE = 0.9

async function start (t: ExecutionContext, options: Omit<TrainerWorldOptions, 'seed'> = {}): Promise<TrainerWorld> {
  const world = await new TrainerWorld({ seed: 7, ...options }).start()
  t.teardown(() => world.close())
  return world
}

test('should bring every step in time while nothing is disturbed', async t => {
  const world = await start(t)
  await world.play(BEFORE_MS + AFTER_MS)
  t.deepEqual(world.violations, [])
  t.deepEqual(world.lostSteps().map(({ batchId }) => batchId), [])
  t.true(world.steps.length >= 12, `${world.steps.length} steps`)
  t.deepEqual(world.store.failures, [])
})

// Every engine was left out for eight seconds after all runs had lost their connections at one instant.
test('should go on at once when the connections of all runs are lost at one instant', async t => {
  const world = await start(t)
  await world.play(BEFORE_MS)
  const brokenCount = world.engines.breakRuns(world.engines.all, true)
  const brokenAtMs = world.clock.nowMs()
  await world.play(AFTER_MS)
  t.true(brokenCount >= 32, `${brokenCount} runs were broken`)
  t.deepEqual(world.violations, [])
  for (const { endpointId, beganAtMs } of world.engines.all) {
    const againAtMs = beganAtMs.find(atMs => atMs > brokenAtMs) ?? Number.POSITIVE_INFINITY
    t.true(againAtMs - brokenAtMs <= 300, `${endpointId} runs again after ${againAtMs - brokenAtMs} ms`)
  }
  t.deepEqual(world.lostSteps().map(({ batchId }) => batchId), [])
})

// An engine that answered every run with 500 at once always had a free slot, and drew runs until their items were given up.
test('should give no item up that another engine would have made, while some engines fail runs at once', async t => {
  const world = await start(t)
  for (const engine of world.engines.all.slice(0, 2)) engine.failShare = FAIL_SHARE
  await world.play(AFTER_MS)
  t.is(world.givenUpCount(), 0)
  t.true(world.engines.failedRunsCount <= 150, `${world.engines.failedRunsCount} runs were failed`)
  t.deepEqual(world.violations, [])
  t.deepEqual(world.lostSteps().map(({ batchId }) => batchId), [])
})

// An item that fails wherever it runs is no failure of the engines.
test('should blame no engine for items that fail everywhere', async t => {
  const world = await start(t)
  const badIds = [0, 5, 10].map(position => `m0 step 1 item ${position}`)
  for (const itemId of badIds) world.engines.badItemIds.add(itemId)
  await world.play(AFTER_MS)
  t.deepEqual(world.violations, [])
  t.is(world.givenUpCount(), 0)
  t.true(world.engines.failedRunsCount <= 9 * badIds.length, `${world.engines.failedRunsCount} runs were failed`)
  t.deepEqual(world.lostSteps().filter(({ model, number }) => model !== 'm0' || number > 1).map(({ batchId }) => batchId), [])
})

// A single broken run left an engine out for eight seconds once eight had broken before: nothing cleared the count.
test('should forget earlier failures of an engine that has made samples since', async t => {
  const world = await start(t)
  for (let round = 0; round < 5; round++) {
    await world.play(BEFORE_MS)
    world.engines.breakRuns(world.engines.all, false)
  }
  await world.play(AFTER_MS)
  t.deepEqual(world.violations, [])
})

// The first service of a route took its batches, whatever its weight and whether it had engines at all.
test('should run a batch at the service that has engines of its model, whatever stands first in its route', async t => {
  const world = await start(t, { services: [{ service: 'decks', weight: 10 }, { service: 'engines', weight: 90 }] })
  await world.play(AFTER_MS)
  t.deepEqual(world.violations, [])
  t.deepEqual(world.lostSteps().map(({ batchId }) => batchId), [])
})

// Runs that an engine took and never began were forgotten with the next event of any other run there, and it went on drawing more.
test('should leave out an engine that takes runs and does not begin them', async t => {
  const world = await start(t)
  for (const engine of world.engines.all.slice(0, 2)) engine.hangShare = FAIL_SHARE / 2
  await world.play(AFTER_MS)
  t.true(world.engines.hungRunsCount <= 20, `${world.engines.hungRunsCount} runs hung`)
  t.deepEqual(world.violations, [])
})
