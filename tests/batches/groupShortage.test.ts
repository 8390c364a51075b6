/**
 * Three trainers that ask one step ahead share engines that are short: about 1.7 times
 * the open work that they can do until it is due, and half of the engines lost for a
 * while. The order of least slack completes next to no group in time there.
 */
import test, { type ExecutionContext } from 'ava'
import { TrainerWorld, type Step, type TrainerWorldOptions } from '../fixtures/fleet/trainerWorld.js'

const SHORT: Omit<TrainerWorldOptions, 'seed'> = { modelsCount: 3, enginesCount: 8, slotsCount: 6, groupsCount: 10, groupSize: 8, longEventsCount: 40, stepsAheadCount: 1 }
const SHORT_FOR_MS = 40_000
/** Engine time of a trainer may differ from its share by this part. */
const SHARE_TOLERANCE = 0.1

async function start (t: ExecutionContext, options: Omit<TrainerWorldOptions, 'seed'>): Promise<TrainerWorld> {
  const world = await new TrainerWorld({ seed: 7, ...options }).start()
  t.teardown(() => world.close())
  return world
}

function endedSteps ({ steps }: TrainerWorld): Step[] {
  return steps.filter(({ endedAtMs }) => endedAtMs !== undefined)
}

/** Steps without a group whole in time that follow such a step of the same trainer. */
function repeatedlyWithoutGroup (steps: readonly Step[]): Step[] {
  const isWithout = (model: string, number: number): boolean => steps.some(step => step.model === model && step.number === number && step.groupsInTimeCount === 0)
  return steps.filter(({ model, number }) => isWithout(model, number) && isWithout(model, number - 1))
}

// Every group got a little of the engines: 9 groups were whole in time of 15 steps.
test('should complete most of the groups that engines can make while they are short', async t => {
  const world = await start(t, SHORT)
  await world.run(SHORT_FOR_MS)
  const ended = endedSteps(world)
  const inTimeCount = ended.reduce((sum, { groupsInTimeCount }) => sum + groupsInTimeCount, 0)
  t.true(ended.length >= 12, `${ended.length} steps`)
  t.true(inTimeCount >= 5 * ended.length, `${inTimeCount} groups of ${ended.length} steps`)
  t.deepEqual(repeatedlyWithoutGroup(ended), [])
  const uses = [...world.usedSlotMs.values()]
  const shareMs = uses.reduce((sum, usedMs) => sum + usedMs, 0) / uses.length
  for (const [model, usedMs] of world.usedSlotMs) t.true(Math.abs(usedMs - shareMs) <= SHARE_TOLERANCE * shareMs, `${model} used ${usedMs} of ${Math.round(shareMs)} ms`)
  t.deepEqual(world.violations, [])
  t.deepEqual(world.store.failures, [])
})

test('should leave no trainer without a whole group for two steps, whatever its priority', async t => {
  const world = await start(t, { ...SHORT, priorities: [0, 1, 2] })
  await world.run(SHORT_FOR_MS)
  t.deepEqual(repeatedlyWithoutGroup(endedSteps(world)), [])
  t.deepEqual(world.violations, [])
})

// The shortage did not end when the engines were back: every step stayed late.
test('should have steps in time again within two steps after half of the engines were lost for 8 s', async t => {
  const world = await start(t, { ...SHORT, groupSize: 4 })
  await world.run(10_000)
  const lost = world.engines.all.slice(0, world.engines.all.length / 2)
  for (const engine of lost) engine.isUnresponsive = true
  world.engines.breakRuns(lost, true)
  await world.run(8_000)
  for (const engine of lost) engine.isUnresponsive = false
  world.engines.breakRuns(lost, false)
  const backAtMs = world.clock.nowMs()
  await world.run(22_000)
  for (const model of ['m0', 'm1', 'm2']) {
    const later = world.lostSteps().filter(step => step.model === model && step.submittedAtMs > backAtMs)
    const afterTwo = world.steps.filter(step => step.model === model && step.submittedAtMs > backAtMs).slice(2)
    t.deepEqual(later.filter(step => afterTwo.includes(step)).map(({ batchId }) => batchId), [])
    t.true(afterTwo.length >= 1, `${afterTwo.length} steps of ${model}`)
  }
  t.deepEqual(repeatedlyWithoutGroup(endedSteps(world)), [])
  t.deepEqual(world.violations, [])
})
