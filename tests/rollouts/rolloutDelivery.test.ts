import test from 'ava'
import { RolloutWorld, type WorldOptions } from '../fixtures/rollouts/rolloutWorld.js'
import { VirtualTrainer, type VirtualTrainerOptions } from '../fixtures/rollouts/virtualTrainer.js'

const JOB = 'hints'

function worldWithTrainer (options: WorldOptions = {}, job: Record<string, unknown> = {}, trainer: Partial<VirtualTrainerOptions> = {}): { world: RolloutWorld, trainer: VirtualTrainer } {
  const world = new RolloutWorld(options)
  world.declareJob(JOB, job)
  return {
    world,
    trainer: new VirtualTrainer(world, { job: JOB, samplesPerStepCount: 16, groupSizeCount: 4, stalenessBoundVersions: 1, trainMs: 2_000, ...trainer })
  }
}

test('should deliver whole steps with true versions while weights change every step', async t => {
  const { world, trainer } = worldWithTrainer()
  await world.clock.advanceUntil(trainer.run(0, 5))
  t.deepEqual(trainer.violations, [])
  t.deepEqual(world.fatal, [])
  t.is(trainer.heldPosition, 80)
  t.true([...world.engines.values()].every(({ weightVersion }) => weightVersion >= 4))
  world.stop()
})
