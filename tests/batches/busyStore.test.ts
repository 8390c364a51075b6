/**
 * Four trainers with store hosts whose processors have limited speed.
 */
import test, { type ExecutionContext } from 'ava'
import type { WorkCosts } from '../fixtures/fleet/billedEndpoints.js'
import { TrainerWorld } from '../fixtures/fleet/trainerWorld.js'

const HOSTS_COUNT = 12
const PROCESSOR_SHARE = 0.81
/** Processor time of a store host: 5 ms for an item of twelve events that one host runs alone. */
const COSTS: WorkCosts = { startMs: 0.7, eventMs: 0.19, rewardMs: 0.6, commitMs: 0.75, messageMs: 0.1 }
/** A host that keeps up with work this much more expensive has a third of its processor spare. */
const SPARE_THIRD_FACTOR = 1.5
const SLOW_ENGINE_FACTOR = 1.3
const OBSERVATION_MS = 28_000

function scaled ({ startMs, eventMs, rewardMs, commitMs, messageMs }: WorkCosts, factor: number): WorkCosts {
  return { startMs: startMs * factor, eventMs: eventMs * factor, rewardMs: rewardMs * factor, commitMs: commitMs * factor, messageMs: messageMs * factor }
}

async function runSteps (t: ExecutionContext, costFactor: number): Promise<TrainerWorld> {
  t.timeout(120_000)
  const world = await new TrainerWorld({
    seed: 7,
    modelsCount: 4,
    groupsCount: 17,
    groupSize: 8,
    enginesCount: 31,
    slotsCount: 8,
    stepsAheadCount: 1,
    longEventsCount: 44,
    firstStepStaggerMs: 0,
    hostsCount: HOSTS_COUNT,
    processors: { share: PROCESSOR_SHARE, costs: scaled(COSTS, costFactor) }
  }).start()
  t.teardown(() => world.close())
  for (const [position, engine] of world.engines.all.entries()) {
    if (position % 3 === 2) engine.slowdownFactor = SLOW_ENGINE_FACTOR
  }
  await world.run(OBSERVATION_MS)
  t.deepEqual(world.store.failures, [])
  t.true(world.steps.length >= 24, `${world.steps.length} steps`)
  return world
}

// One host ran every item, and its processor was the limit of the whole store.
test('should complete the steps of four trainers in time while a third of the processor of each store host is spare', async t => {
  const world = await runSteps(t, SPARE_THIRD_FACTOR)
  t.deepEqual(world.lostSteps().map(({ batchId }) => batchId), [])
})
