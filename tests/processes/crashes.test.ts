import test from 'ava'
import { waitFor } from '../../demo/waitFor.js'
import { ProcessSystem } from '../fixtures/processSystem.js'
import { getJson } from '../../demo/localSystem.js'
import { rolloutProgressSchema } from '../../src/protocol/rolloutProgress.js'

const SAMPLES_PER_STEP = 18
const STEPS_COUNT = 3
const STREAM_TOKENS = 200

const TRAINER = {
  job: 'practice-hints',
  stepsCount: STEPS_COUNT,
  samplesPerStepCount: SAMPLES_PER_STEP,
  stalenessBoundVersions: 1,
  maxSamplesPerPullCount: 4
}

async function waitForFinishedSamples (system: ProcessSystem): Promise<void> {
  await waitFor('finished samples that are not delivered', async () => {
    for (const address of system.local.controlAddresses) {
      const { data } = rolloutProgressSchema.safeParse(await getJson(`http://${address}/v1/jobs/practice-hints/progress`))
      if (data && data.committedCount > data.deliveredCount) return true
    }
    return false
  })
}

test('should deliver every sample once when an entry host that holds some is killed', async t => {
  const system = await ProcessSystem.start(t)
  system.local.startTrainer(TRAINER)
  await waitForFinishedSamples(system)
  await system.entries[0]!.stop('SIGKILL')
  await system.expectCorrectTraining(t, STEPS_COUNT * SAMPLES_PER_STEP)
})

test('should finish streams and samples on another engine when one is killed', async t => {
  const system = await ProcessSystem.start(t, { engine: { meanTokensCount: 400 } })
  system.local.startTrainer(TRAINER)
  const streams = system.local.entryAddresses.map(host => system.openStream(host, `through ${host}`, STREAM_TOKENS))
  await Promise.all(streams.map(async ({ started }) => await started))
  await waitForFinishedSamples(system)
  await system.engines[0]!.stop('SIGKILL')
  for (const { read } of streams) t.like(await read, { isWhole: true, misplacedCount: 0 })
  system.startEngine(0, { meanTokensCount: 400 })
  await system.expectCorrectTraining(t, STEPS_COUNT * SAMPLES_PER_STEP)
})

test('should deliver every sample once when the leader of the control hosts is killed in the middle of a step', async t => {
  const system = await ProcessSystem.start(t)
  system.local.startTrainer(TRAINER)
  await waitForFinishedSamples(system)
  await system.controls[await system.leaderIndex()]!.stop('SIGKILL')
  await system.expectCorrectTraining(t, STEPS_COUNT * SAMPLES_PER_STEP)
})
