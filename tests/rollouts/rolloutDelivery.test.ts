import test, { type ExecutionContext } from 'ava'
import { announcementSchema, type Announcement } from '../../src/protocol/endpoints.js'
import { QueryKind } from '../../src/protocol/queries.js'
import { EndpointKind, ResourceKind } from '../../src/protocol/resources.js'
import type { RolloutProgress } from '../../src/protocol/rolloutProgress.js'
import type { PullReply, Sample } from '../../src/protocol/trainers.js'
import { RolloutWorld, type HttpAnswer, type WorldOptions } from '../fixtures/rollouts/rolloutWorld.js'
import { VirtualTrainer, type VirtualTrainerOptions } from '../fixtures/rollouts/virtualTrainer.js'

const JOB = 'hints'

interface TestSetup {
  world: RolloutWorld
  trainer: VirtualTrainer
}

function setUp (options: WorldOptions = {}, job: Record<string, unknown> = {}, trainer: Partial<VirtualTrainerOptions> = {}): TestSetup {
  const world = new RolloutWorld(options)
  world.declareJob(JOB, job)
  return {
    world,
    trainer: new VirtualTrainer(world, { job: JOB, samplesPerStepCount: 16, groupSizeCount: 4, stalenessBoundVersions: 1, trainMs: 2_000, ...trainer })
  }
}

function progressOf ({ world }: TestSetup): RolloutProgress | null {
  const query: { kind: QueryKind.RolloutProgress, job: string } = { kind: QueryKind.RolloutProgress, job: JOB }
  return world.control.state.answer(query)
}

/** Opens a session and lets the first step complete without delivering it. */
async function completeFirstStep (setup: TestSetup): Promise<void> {
  const { world, trainer } = setup
  await world.clock.advanceUntil(trainer.open())
  await world.clock.advanceUntil(trainer.call('h1', 'pull', trainer.pullBody(0, 0)))
  await world.until(() => progressOf(setup)?.committedCount === 16)
}

async function pullFrom (setup: TestSetup, hostId: string, step = 0): Promise<PullReply> {
  const { world, trainer } = setup
  const answer = await world.clock.advanceUntil(trainer.call(hostId, 'pull', trainer.pullBody(step, 10_000)))
  if (answer.kind !== 'answered' || answer.status !== 200) throw new Error(JSON.stringify(answer))
  return answer.body as PullReply
}

function attemptIds (samples: Sample[]): string[] {
  return samples.map(({ position, attemptId }) => `${position} ${attemptId}`)
}

function statusOf (answer: HttpAnswer): number {
  return answer.kind === 'answered' ? answer.status : 0
}

function scorerAnnouncement (endpointId: string): Announcement {
  return announcementSchema.parse({
    endpointId,
    pool: 'scorers',
    endpointKind: EndpointKind.Service,
    url: endpointId,
    incarnation: 1,
    sequence: 1,
    dataCentre: 'dc',
    load: { runningCount: 0, waitingCount: 0 }
  })
}

function assertClean (t: ExecutionContext, { world, trainer }: TestSetup): void {
  t.deepEqual(trainer.violations, [])
  t.deepEqual(world.fatal, [])
  world.stop()
}

test('should deliver complete steps with correct versions while weights change every step', async t => {
  const setup = setUp()
  await setup.world.clock.advanceUntil(setup.trainer.run(0, 5))
  t.is(setup.trainer.heldPosition, 80)
  t.true([...setup.world.engines.values()].every(({ weightVersion }) => weightVersion >= 4))
  assertClean(t, setup)
})

test('should deliver samples whose host was killed before they were fetched', async t => {
  const setup = setUp()
  await completeFirstStep(setup)
  const generatedCount = setup.world.record.generatedCount
  setup.world.killHost('h1')
  setup.trainer.accept(await pullFrom(setup, 'h2'))
  t.is(setup.trainer.heldPosition, 16)
  t.is(setup.world.record.generatedCount, generatedCount, 'nothing was generated again')
  assertClean(t, setup)
})

test('should copy samples again after the loss of a host, so that a second loss after the repair discards nothing', async t => {
  const setup = setUp({ hostsCount: 4 })
  await completeFirstStep(setup)
  const generatedCount = setup.world.record.generatedCount
  setup.world.killHost('h1')
  await setup.world.clock.advance(12_000)
  setup.world.killHost('h2')
  setup.trainer.accept(await pullFrom(setup, 'h3'))
  t.is(setup.trainer.heldPosition, 16)
  t.is(setup.world.record.generatedCount, generatedCount)
  assertClean(t, setup)
})

test('should generate lost contents again for the same positions', async t => {
  const setup = setUp()
  await completeFirstStep(setup)
  const first = await pullFrom(setup, 'h3')
  for (const hostId of ['h1', 'h2', 'h3']) setup.world.killHost(hostId)
  for (const hostId of ['h1', 'h2', 'h3']) setup.world.startHost(hostId)
  const lost = setup.trainer.call('h1', 'pull', setup.trainer.pullBody(0, 0))
  await setup.world.clock.advanceUntil(lost)
  await setup.world.clock.advanceUntil(setup.trainer.runStep(0))
  const slotAt = ({ position, group, index }: Sample): string => `${position} ${group}/${index}`
  t.deepEqual(setup.trainer.samples.map(slotAt), first.samples.map(slotAt))
  t.like(progressOf(setup), { rerunCount: 16 })
  assertClean(t, setup)
})

test('should return the same samples again on any host when a reply was lost', async t => {
  const setup = setUp()
  await completeFirstStep(setup)
  const first = await pullFrom(setup, 'h1')
  const again = await pullFrom(setup, 'h2')
  t.deepEqual(again, first)
  setup.trainer.accept(again)
  t.is(setup.trainer.heldPosition, 16)
  assertClean(t, setup)
})

test('should return the same samples to two concurrent pulls, and refuse the one that fell behind', async t => {
  const setup = setUp()
  const { world, trainer } = setup
  await world.clock.advanceUntil(trainer.open())
  const body = trainer.pullBody(0, 30_000)
  const both = Promise.all([trainer.call('h1', 'pull', body), trainer.call('h2', 'pull', body)])
  const [a, b] = await world.clock.advanceUntil(both)
  const [samplesA, samplesB] = [a, b].map(answer => answer.kind === 'answered' ? (answer.body as PullReply).samples : [])
  const commonCount = Math.min(samplesA?.length ?? 0, samplesB?.length ?? 0)
  t.true(commonCount > 0)
  t.deepEqual(attemptIds(samplesA ?? []).slice(0, commonCount), attemptIds(samplesB ?? []).slice(0, commonCount))
  trainer.accept((a as { body: PullReply }).body)
  await world.clock.advanceUntil(trainer.call('h3', 'pull', trainer.pullBody(0, 0)))
  t.is(statusOf(await world.clock.advanceUntil(trainer.call('h2', 'pull', body))), 409)
  assertClean(t, setup)
})

test('should fence the pulls and publishes of an older session on every host', async t => {
  const setup = setUp()
  const { world, trainer } = setup
  await completeFirstStep(setup)
  const older = trainer.pullBody(0, 0)
  await world.clock.advanceUntil(trainer.open())
  t.is(statusOf(await world.clock.advanceUntil(trainer.call('h2', 'pull', older))), 409)
  t.is(statusOf(await world.clock.advanceUntil(trainer.call('h3', 'weights', { sessionNumber: older.sessionNumber, weightVersion: 7 }))), 409)
  trainer.accept(await pullFrom(setup, 'h1'))
  t.is(trainer.heldPosition, 16, 'the new session gets the samples that the older one had not confirmed')
  assertClean(t, setup)
})

test('should list every version that generated tokens of a sample when weights are swapped during it', async t => {
  const setup = setUp({ drawLength: () => 900 }, { stalenessBoundVersions: 2 }, { stalenessBoundVersions: 2 })
  const { world, trainer } = setup
  await world.clock.advanceUntil(trainer.open())
  await world.clock.advanceUntil(trainer.call('h1', 'pull', trainer.pullBody(0, 0)))
  await world.clock.advance(3_000)
  await world.clock.advanceUntil(trainer.publish(1))
  await world.clock.advanceUntil(trainer.runStep(0))
  t.true(trainer.samples.some(({ versions }) => versions.length > 1))
  assertClean(t, setup)
})

test('should drop undelivered samples when the trainer advances past the staleness bound', async t => {
  const setup = setUp()
  const { world, trainer } = setup
  await completeFirstStep(setup)
  await world.clock.advanceUntil(trainer.publish(1))
  await world.clock.advanceUntil(trainer.publish(2))
  await world.clock.advanceUntil(trainer.runStep(0))
  t.like(progressOf(setup), { staleDroppedCount: 16 })
  t.is(trainer.heldPosition, 16)
  assertClean(t, setup)
})

test('should reassign the slots of a disconnected host, and drop its late results', async t => {
  const setup = setUp({ drawLength: (_prompt, random) => random.int(300, 400) })
  const { world, trainer } = setup
  const step = trainer.open().then(async () => await trainer.runStep(0))
  await world.clock.advance(1_000)
  const disconnected = world.hosts.get('h2')
  if (!disconnected) return t.fail()
  const submit = disconnected.control.submit.bind(disconnected.control)
  const blockedSubmits: Array<() => void> = []
  disconnected.control.submit = async command => {
    await new Promise<void>(resolve => blockedSubmits.push(resolve))
    return await submit(command)
  }
  await world.clock.advance(20_000)
  disconnected.control.submit = submit
  for (const release of blockedSubmits) release()
  await world.clock.advanceUntil(step)
  t.true((progressOf(setup)?.rerunCount ?? 0) > 0)
  t.true(world.sumOfCounters('sample.dropped{reason=late}') > 0, 'late results were dropped and counted')
  t.is(trainer.heldPosition, 16)
  assertClean(t, setup)
})

test('should resume from the checkpoints of a killed host instead of starting over', async t => {
  const setup = setUp({ drawLength: () => 2_000 })
  const { world, trainer } = setup
  const step = trainer.open().then(async () => await trainer.runStep(0))
  await world.clock.advance(15_000)
  const generatedBefore = world.record.generatedCount
  world.killHost('h2')
  await world.clock.advanceUntil(step)
  const discardedCount = world.record.generatedCount - 16 * 2_000
  t.true(generatedBefore > 10_000)
  // h2 ran about a third of the slots; each of them may lose the tokens after its last checkpoint.
  t.true(discardedCount < 8 * 600, `${discardedCount} tokens were generated twice`)
  assertClean(t, setup)
})

test('should complete steps despite a change of leader and lost replies', async t => {
  const setup = setUp()
  const { world, trainer } = setup
  const run = trainer.run(0, 3)
  await world.clock.advance(700)
  world.controlDownUntilMs = world.clock.nowMs() + 6_000
  world.lostReplyFraction = 0.3
  await world.clock.advanceUntil(run)
  t.is(trainer.heldPosition, 48)
  assertClean(t, setup)
})

test('should resume from the tokens of an engine that is lost', async t => {
  const setup = setUp({ drawLength: () => 600 })
  const { world, trainer } = setup
  const run = trainer.run(0, 2)
  await world.clock.advance(4_000)
  world.engines.get('e1')?.crash()
  await world.clock.advanceUntil(run)
  const discardedCount = world.record.generatedCount - trainer.samples.reduce((sum, { tokens }) => sum + tokens.length, 0)
  t.true(trainer.samples.some(({ versions }) => new Set(versions.map(({ engineId }) => engineId)).size > 1))
  t.is(discardedCount, 0, 'every generated token was delivered')
  assertClean(t, setup)
})

test('should move samples with their tokens off an engine that has become slow', async t => {
  const setup = setUp({ drawLength: () => 900 }, { groupsPerStepCount: 3 }, { samplesPerStepCount: 12 })
  const { world, trainer } = setup
  const run = trainer.run(0, 1)
  await world.clock.advance(3_000)
  const slow = world.engines.get('e1')
  if (slow) slow.slowFactor = 10
  await world.clock.advanceUntil(run)
  t.true(world.sumOfCounters('sample.moved') > 0)
  t.is(world.record.generatedCount, 12 * 900, 'no token was generated twice')
  t.true((trainer.steps[0]?.durationMs ?? 0) < 40_000, 'the slow engine would have taken more than 90 s for its samples')
  assertClean(t, setup)
})

test('should score samples through services that refuse and fail, without losing them', async t => {
  let callsCount = 0
  const setup = setUp({
    scoreCall: async () => ++callsCount % 3 === 0 ? { kind: 'scored', score: callsCount } : { kind: callsCount % 3 === 1 ? 'refused' : 'failed', message: 'busy' }
  }, { scoringPool: 'scorers' })
  const { world, trainer } = setup
  world.control.put(ResourceKind.EndpointPool, 'scorers', { endpointKind: EndpointKind.Service })
  const announce = (): void => {
    for (const endpointId of ['s1', 's2']) world.directory.put(scorerAnnouncement(endpointId))
    world.clock.callAt(world.clock.nowMs() + 500, announce)
  }
  announce()
  await world.clock.advanceUntil(trainer.run(0, 1))
  t.true(trainer.samples.every(({ score }) => score !== null))
  const lengths = trainer.samples.reduce((sum, { tokens }) => sum + tokens.length, 0)
  t.is(world.record.generatedCount, lengths, 'no sample was generated twice for its score')
  assertClean(t, setup)
})
