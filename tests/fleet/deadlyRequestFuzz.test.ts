import test from 'ava'
import { runDeadlyRequests } from '../fixtures/fleet/deadlyRequestFuzz.js'

const RUNS_COUNT = Number(process.env.DEADLY_RUNS ?? 10)
const FIRST_SEED = Number(process.env.DEADLY_SEED ?? 1)

test('should withhold requests that terminate endpoints and nothing else, in random runs of failures', async t => {
  t.timeout(280_000)
  let endsCount = 0
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS_COUNT; seed++) {
    const run = await runDeadlyRequests(seed)
    t.deepEqual(run.violations, [], `seed ${seed}, ${run.endsCount} terminations`)
    endsCount += run.endsCount
  }
  t.true(endsCount >= 3 * RUNS_COUNT, `${endsCount} endpoints terminated`)
})
