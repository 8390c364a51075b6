import test from 'ava'
import { runLeaving } from '../fixtures/fleet/leavingFuzz.js'

const RUNS_COUNT = Number(process.env.LEAVING_RUNS ?? 25)
const FIRST_SEED = 1
/** Runs without leaves would prove nothing. */
const LEAST_CONFIRMED_PER_RUN = 3

test('should let no host that is connected to a majority of the control hosts use an endpoint whose leave was confirmed, in random runs of failures', async t => {
  t.timeout(280_000)
  let confirmedCount = 0
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS_COUNT; seed++) {
    const run = await runLeaving(seed)
    t.deepEqual(run.violations, [], `seed ${seed}`)
    confirmedCount += run.confirmedCount
  }
  t.true(confirmedCount >= LEAST_CONFIRMED_PER_RUN * RUNS_COUNT, `${confirmedCount} leaves were confirmed`)
})
