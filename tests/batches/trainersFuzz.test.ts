import test, { type ExecutionContext } from 'ava'
import { runTrainers, runTrainersInShortage, type TrainerRun } from '../fixtures/fleet/trainerFuzz.js'

const RUNS_COUNT = Number(process.env.TRAINER_RUNS ?? 12)
const FIRST_SEED = Number(process.env.TRAINER_SEED ?? 1)
/** Fewer steps would make the runs meaningless. */
const MIN_STEPS_PER_RUN = 6
/** Runs in a shortage are long; a few of them are part of each test run. */
const SHORTAGE_RUNS_COUNT = Number(process.env.TRAINER_RUNS ?? 4)

async function runAll (t: ExecutionContext, run: (seed: number) => Promise<TrainerRun>, runsCount = RUNS_COUNT): Promise<void> {
  t.timeout(280_000)
  let stepsCount = 0
  const failed: string[] = []
  for (let seed = FIRST_SEED; seed < FIRST_SEED + runsCount; seed++) {
    const { violations, faults, ...counts } = await run(seed)
    if (violations.length > 0) failed.push(`seed ${seed}: ${violations.join('; ')} (${faults.join(', ')})`)
    stepsCount += counts.stepsCount
  }
  // Compared after all runs, so that one seed that fails does not hide the others.
  t.deepEqual(failed, [])
  t.true(stepsCount >= MIN_STEPS_PER_RUN * runsCount, `${stepsCount} steps`)
}

test('should keep engines and steps busy in random runs with momentary faults', async t => await runAll(t, async seed => await runTrainers(seed, true)))

test('should keep engines and steps busy in random runs with all faults', async t => await runAll(t, async seed => await runTrainers(seed, false)))

test('should complete whole groups of every trainer in random runs with a shortage of engines', async t => await runAll(t, runTrainersInShortage, SHORTAGE_RUNS_COUNT))

// A host that is frozen while it has nothing to do gets the items of the next step, and the engine that has room failed shortly before.
test('should keep a step busy that begins while one of two hosts is frozen', async t => {
  t.deepEqual((await runTrainers(121, false)).violations, [])
})

// The leader's messages to a host are lost while its reports still arrive: it got the items back that it had ended for that reason.
test('should keep steps busy when messages to a host are lost in one direction', async t => {
  t.deepEqual((await runTrainers(202, false)).violations, [])
})

// After a change of leader, the last item of a step resumes at an engine that accepts it and never begins it.
test('should keep a step busy whose last item resumes at a hanging engine after a change of leader', async t => {
  t.deepEqual((await runTrainers(1039, false)).violations, [])
})

// After the loss of a host, the last item of a step resumes at an engine that accepts it and never begins it.
test('should keep a step busy whose last item resumes at a hanging engine after the loss of a host', async t => {
  t.deepEqual((await runTrainers(3448, false)).violations, [])
})

// The clock of a host that had been suspended showed a time before the deadline of the timer that fired, at one instant without end.
test('should end a run in which a host was suspended', async t => {
  t.deepEqual((await runTrainers(7182, false)).violations, [])
})

// An engine had failed several times, and the other engines that had the weights were full: it took one run at a time for whole samples.
test('should keep a step busy whose only free engine had failed repeatedly', async t => {
  t.deepEqual((await runTrainers(10221, false)).violations, [])
})

// A run that stalls passes on events of long ago as it ends, which reinstate an engine that had just been given up; the item goes there again.
test('should keep a step busy whose last item stalls on an engine that another run has just given up', async t => {
  t.deepEqual((await runTrainers(30043, false)).violations, [])
})

// An item of a step stands still after a change of leader, beside an unresponsive engine and a suspended host.
test('should keep a step busy through a change of leader while an engine is unresponsive and a host suspended', async t => {
  t.deepEqual((await runTrainers(30544, false)).violations, [])
})
