import test, { type ExecutionContext } from 'ava'
import { runTrainers } from '../fixtures/fleet/trainerFuzz.js'

const RUNS_COUNT = Number(process.env.TRAINER_RUNS ?? 12)
const FIRST_SEED = Number(process.env.TRAINER_SEED ?? 1)
/** Runs in which trainers hardly ask for steps would prove nothing. */
const LEAST_STEPS_PER_RUN = 6

async function playAll (t: ExecutionContext, isInstantsOnly: boolean): Promise<void> {
  t.timeout(280_000)
  let stepsCount = 0
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS_COUNT; seed++) {
    const run = await runTrainers(seed, isInstantsOnly)
    t.deepEqual(run.violations, [], `seed ${seed}: ${run.disturbances.join(', ')}`)
    stepsCount += run.stepsCount
  }
  t.true(stepsCount >= LEAST_STEPS_PER_RUN * RUNS_COUNT, `${stepsCount} steps`)
}

test('should keep engines and steps busy in random runs of instants', async t => await playAll(t, true))

test('should keep engines and steps busy in random runs of failures', async t => await playAll(t, false))
