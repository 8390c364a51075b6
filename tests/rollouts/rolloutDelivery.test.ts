import test, { type ExecutionContext } from 'ava'
import { announcementSchema, type Announcement } from '../../src/protocol/endpoints.js'
import { QueryKind } from '../../src/protocol/queries.js'
import { EndpointKind, ResourceKind } from '../../src/protocol/resources.js'
import type { RolloutProgress } from '../../src/protocol/rolloutProgress.js'
import type { PullReply, Sample } from '../../src/protocol/trainers.js'
import { RolloutWorld, type HttpAnswer, type WorldOptions } from '../fixtures/rollouts/rolloutWorld.js'
import { VirtualTrainer, type VirtualTrainerOptions } from '../fixtures/rollouts/virtualTrainer.js'

const JOB = 'hints'

interface Setting {
  world: RolloutWorld
  trainer: VirtualTrainer
}

function setUp (options: WorldOptions = {}, job: Record<string, unknown> = {}, trainer: Partial<VirtualTrainerOptions> = {}): Setting {
  const world = new RolloutWorld(options)
  world.declareJob(JOB, job)
  return {
    world,
    trainer: new VirtualTrainer(world, { job: JOB, samplesPerStepCount: 16, groupSizeCount: 4, stalenessBoundVersions: 1, trainMs: 2_000, ...trainer })
  }
}

function progressOf ({ world }: Setting): RolloutProgress | null {
  const query: { kind: QueryKind.RolloutProgress, job: string } = { kind: QueryKind.RolloutProgress, job: JOB }
  return world.control.state.answer(query)
}

/** Opens a session and lets the first step become whole without anybody fetching it. */
async function untilStepIsWhole (setting: Setting): Promise<void> {
  const { world, trainer } = setting
  await world.clock.advanceUntil(trainer.open())
  await world.clock.advanceUntil(trainer.call('h1', 'pull', trainer.pullBody(0, 0)))
  await world.until(() => progressOf(setting)?.committedCount === 16)
}

async function pullAt (setting: Setting, hostId: string, step = 0): Promise<PullReply> {
  const { world, trainer } = setting
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

function assertClean (t: ExecutionContext, { world, trainer }: Setting): void {
  t.deepEqual(trainer.violations, [])
  t.deepEqual(world.fatal, [])
  world.stop()
}

test('should deliver whole steps with true versions while weights change every step', async t => {
  const setting = setUp()
  await setting.world.clock.advanceUntil(setting.trainer.run(0, 5))
  t.is(setting.trainer.heldPosition, 80)
  t.true([...setting.world.engines.values()].every(({ weightVersion }) => weightVersion >= 4))
  assertClean(t, setting)
})

test('should deliver samples whose host was killed before anybody fetched them', async t => {
  const setting = setUp()
  await untilStepIsWhole(setting)
  const generatedCount = setting.world.record.generatedCount
  setting.world.killHost('h1')
  setting.trainer.take(await pullAt(setting, 'h2'))
  t.is(setting.trainer.heldPosition, 16)
  t.is(setting.world.record.generatedCount, generatedCount, 'nothing was generated again')
  assertClean(t, setting)
})

test('should copy samples again after a loss, so that a second loss after the repair costs nothing', async t => {
  const setting = setUp({ hostsCount: 4 })
  await untilStepIsWhole(setting)
  const generatedCount = setting.world.record.generatedCount
  setting.world.killHost('h1')
  await setting.world.clock.advance(12_000)
  setting.world.killHost('h2')
  setting.trainer.take(await pullAt(setting, 'h3'))
  t.is(setting.trainer.heldPosition, 16)
  t.is(setting.world.record.generatedCount, generatedCount)
  assertClean(t, setting)
})

test('should run lost contents again under their own positions', async t => {
  const setting = setUp()
  await untilStepIsWhole(setting)
  const first = await pullAt(setting, 'h3')
  for (const hostId of ['h1', 'h2', 'h3']) setting.world.killHost(hostId)
  for (const hostId of ['h1', 'h2', 'h3']) setting.world.startHost(hostId)
  const lost = setting.trainer.call('h1', 'pull', setting.trainer.pullBody(0, 0))
  await setting.world.clock.advanceUntil(lost)
  await setting.world.clock.advanceUntil(setting.trainer.runStep(0))
  const placeOf = ({ position, group, index }: Sample): string => `${position} ${group}/${index}`
  t.deepEqual(setting.trainer.samples.map(placeOf), first.samples.map(placeOf))
  t.like(progressOf(setting), { rerunCount: 16 })
  assertClean(t, setting)
})

test('should give the same samples again when an answer was lost, on whatever host', async t => {
  const setting = setUp()
  await untilStepIsWhole(setting)
  const first = await pullAt(setting, 'h1')
  const again = await pullAt(setting, 'h2')
  t.deepEqual(again, first)
  setting.trainer.take(again)
  t.is(setting.trainer.heldPosition, 16)
  assertClean(t, setting)
})

test('should give two pulls at once the same samples, and refuse the one that fell behind', async t => {
  const setting = setUp()
  const { world, trainer } = setting
  await world.clock.advanceUntil(trainer.open())
  const body = trainer.pullBody(0, 30_000)
  const both = Promise.all([trainer.call('h1', 'pull', body), trainer.call('h2', 'pull', body)])
  const [a, b] = await world.clock.advanceUntil(both)
  const [samplesA, samplesB] = [a, b].map(answer => answer.kind === 'answered' ? (answer.body as PullReply).samples : [])
  const commonCount = Math.min(samplesA?.length ?? 0, samplesB?.length ?? 0)
  t.true(commonCount > 0)
  t.deepEqual(attemptIds(samplesA ?? []).slice(0, commonCount), attemptIds(samplesB ?? []).slice(0, commonCount))
  trainer.take((a as { body: PullReply }).body)
  await world.clock.advanceUntil(trainer.call('h3', 'pull', trainer.pullBody(0, 0)))
  t.is(statusOf(await world.clock.advanceUntil(trainer.call('h2', 'pull', body))), 409)
  assertClean(t, setting)
})

test('should fence the pulls and publishes of an older session on every host', async t => {
  const setting = setUp()
  const { world, trainer } = setting
  await untilStepIsWhole(setting)
  const older = trainer.pullBody(0, 0)
  await world.clock.advanceUntil(trainer.open())
  t.is(statusOf(await world.clock.advanceUntil(trainer.call('h2', 'pull', older))), 409)
  t.is(statusOf(await world.clock.advanceUntil(trainer.call('h3', 'weights', { sessionNumber: older.sessionNumber, weightVersion: 7 }))), 409)
  trainer.take(await pullAt(setting, 'h1'))
  t.is(trainer.heldPosition, 16, 'the new session gets what the older one had not confirmed')
  assertClean(t, setting)
})

test('should name every version that made a sample when weights are swapped during it', async t => {
  const setting = setUp({ drawLength: () => 900 }, { stalenessBoundVersions: 2 }, { stalenessBoundVersions: 2 })
  const { world, trainer } = setting
  await world.clock.advanceUntil(trainer.open())
  await world.clock.advanceUntil(trainer.call('h1', 'pull', trainer.pullBody(0, 0)))
  await world.clock.advance(3_000)
  await world.clock.advanceUntil(trainer.publish(1))
  await world.clock.advanceUntil(trainer.runStep(0))
  t.true(trainer.samples.some(({ versions }) => versions.length > 1))
  assertClean(t, setting)
})

test('should drop samples that wait at the door when the trainer steps past the bound', async t => {
  const setting = setUp()
  const { world, trainer } = setting
  await untilStepIsWhole(setting)
  await world.clock.advanceUntil(trainer.publish(1))
  await world.clock.advanceUntil(trainer.publish(2))
  await world.clock.advanceUntil(trainer.runStep(0))
  t.like(progressOf(setting), { staleDroppedCount: 16 })
  t.is(trainer.heldPosition, 16)
  assertClean(t, setting)
})

test('should take over the slots of a host that is cut off, and drop its late results', async t => {
  const setting = setUp({ drawLength: (_prompt, random) => random.int(300, 400) })
  const { world, trainer } = setting
  const step = trainer.open().then(async () => await trainer.runStep(0))
  await world.clock.advance(1_000)
  const frozen = world.hosts.get('h2')
  if (!frozen) return t.fail()
  const submit = frozen.control.submit.bind(frozen.control)
  const held: Array<() => void> = []
  frozen.control.submit = async command => {
    await new Promise<void>(resolve => held.push(resolve))
    return await submit(command)
  }
  await world.clock.advance(20_000)
  frozen.control.submit = submit
  for (const release of held) release()
  await world.clock.advanceUntil(step)
  t.true((progressOf(setting)?.rerunCount ?? 0) > 0)
  t.true(world.counted('sample.dropped{reason=late}') > 0, 'late results were dropped and counted')
  t.is(trainer.heldPosition, 16)
  assertClean(t, setting)
})

test('should go on behind the checkpoints of a killed host instead of starting again', async t => {
  const setting = setUp({ drawLength: () => 2_000 })
  const { world, trainer } = setting
  const step = trainer.open().then(async () => await trainer.runStep(0))
  await world.clock.advance(15_000)
  const before = world.record.generatedCount
  world.killHost('h2')
  await world.clock.advanceUntil(step)
  const wasted = world.record.generatedCount - 16 * 2_000
  t.true(before > 10_000)
  // h2 ran about a third of the slots; each may lose what came after its last checkpoint.
  t.true(wasted < 8 * 600, `${wasted} tokens were made twice`)
  assertClean(t, setting)
})

test('should go on through a change of leader and lost answers in the middle of a step', async t => {
  const setting = setUp()
  const { world, trainer } = setting
  const run = trainer.run(0, 3)
  await world.clock.advance(700)
  world.controlDownUntilMs = world.clock.nowMs() + 6_000
  world.lostAnswers = 0.3
  await world.clock.advanceUntil(run)
  t.is(trainer.heldPosition, 48)
  assertClean(t, setting)
})

test('should go on when an engine is lost, with the tokens it had made', async t => {
  const setting = setUp({ drawLength: () => 600 })
  const { world, trainer } = setting
  const run = trainer.run(0, 2)
  await world.clock.advance(4_000)
  world.engines.get('e1')?.crash()
  await world.clock.advanceUntil(run)
  const wasted = world.record.generatedCount - trainer.samples.reduce((sum, { tokens }) => sum + tokens.length, 0)
  t.true(trainer.samples.some(({ versions }) => new Set(versions.map(({ engineId }) => engineId)).size > 1))
  t.is(wasted, 0, 'every token that was made was delivered')
  assertClean(t, setting)
})

test('should move samples off an engine that has become slow, with their tokens', async t => {
  const setting = setUp({ drawLength: () => 900 }, { groupsPerStepCount: 3 }, { samplesPerStepCount: 12 })
  const { world, trainer } = setting
  const run = trainer.run(0, 1)
  await world.clock.advance(3_000)
  const slow = world.engines.get('e1')
  if (slow) slow.slowFactor = 10
  await world.clock.advanceUntil(run)
  t.true(world.counted('sample.moved') > 0)
  t.is(world.record.generatedCount, 12 * 900, 'no token was made twice')
  t.true((trainer.steps[0]?.durationMs ?? 0) < 40_000, 'the slow engine would have taken more than 90 s for its samples')
  assertClean(t, setting)
})

test('should score samples through services that refuse and fail, without losing them', async t => {
  let callsCount = 0
  const setting = setUp({
    scoreCall: async () => ++callsCount % 3 === 0 ? { kind: 'scored', score: callsCount } : { kind: callsCount % 3 === 1 ? 'refused' : 'failed', message: 'busy' }
  }, { scoringPool: 'scorers' })
  const { world, trainer } = setting
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
  assertClean(t, setting)
})
