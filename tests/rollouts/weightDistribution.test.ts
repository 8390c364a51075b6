import test, { type ExecutionContext } from 'ava'
import { maxSwappingCount, ORDER_LIFETIME_MS } from '../../src/entry/rollouts/weights/poolCoordinator.js'
import { OrderKind } from '../../src/protocol/endpoints.js'
import { HostCommandKind } from '../../src/protocol/hostCommands.js'
import { endpointPoolSpecSchema, EndpointKind } from '../../src/protocol/resources.js'
import { POOL, RolloutWorld, type WorldOptions } from '../fixtures/rollouts/rolloutWorld.js'
import { SwapFault, type VirtualEngine } from '../fixtures/rollouts/virtualEngine.js'
import { VirtualTrainer } from '../fixtures/rollouts/virtualTrainer.js'

const JOB = 'hints'

interface TestSetup {
  world: RolloutWorld
  trainer: VirtualTrainer
}

async function setUp (options: WorldOptions = {}, job: Record<string, unknown> = {}): Promise<TestSetup> {
  const world = new RolloutWorld({ enginesCount: 6, ...options })
  world.declareJob(JOB, job)
  const trainer = new VirtualTrainer(world, { job: JOB, samplesPerStepCount: 16, groupSizeCount: 4, stalenessBoundVersions: 1, trainMs: 2_000 })
  await world.clock.advanceUntil(trainer.open())
  return { world, trainer }
}

function enginesOf ({ world }: TestSetup): VirtualEngine[] {
  return [...world.engines.values()]
}

function allServe (setup: TestSetup, weightVersion: number): boolean {
  return enginesOf(setup).every(engine => engine.weightVersion === weightVersion)
}

function assertClean (t: ExecutionContext, { world, trainer }: TestSetup): void {
  t.deepEqual(trainer.violations, [])
  t.deepEqual(world.fatal, [])
  world.stop()
}

test('should swap a few engines at a time, and all within the transfer time of the weight store', async t => {
  const setup = await setUp({ pool: { minServingPercent: 50, maxFetchingCount: 2 }, store: { weightBytes: 10_000_000, bytesPerSecond: 5_000_000 } })
  const { world, trainer } = setup
  await world.clock.advance(2_000)
  await world.clock.advanceUntil(trainer.publish(1))
  const publishedAtMs = world.clock.nowMs()
  await world.until(() => allServe(setup, 1))
  const storeMs = 6 * world.store.transferMs()
  const tookMs = world.clock.nowMs() - publishedAtMs
  t.true(tookMs <= 1.1 * storeMs, `took ${tookMs} ms, the transfers alone take ${storeMs} ms`)
  t.is(world.store.maxFetchingCount, 2)
  assertClean(t, setup)
})

test('should bound concurrent swaps so that the pool keeps its serving percentage, but allow at least one', t => {
  const spec = (minServingPercent: number, maxFetchingCount: number) => endpointPoolSpecSchema.parse({ endpointKind: EndpointKind.Engine, minServingPercent, maxFetchingCount })
  t.is(maxSwappingCount(8, spec(50, 8)), 4)
  t.is(maxSwappingCount(8, spec(50, 2)), 2)
  t.is(maxSwappingCount(8, spec(90, 8)), 1, 'one at a time rather than none')
  t.is(maxSwappingCount(1, spec(50, 2)), 1)
})

test('should update an engine that was killed during its swap and returns with older weights', async t => {
  const setup = await setUp()
  const { world, trainer } = setup
  const run = trainer.run(0, 3)
  await world.until(() => world.store.fetchingCount > 0)
  const crashed = enginesOf(setup).find(engine => engine.weightVersion === 0)
  crashed?.crash()
  await world.clock.advance(4_000)
  crashed?.start(0)
  await world.clock.advanceUntil(run)
  await world.until(() => allServe(setup, 3))
  assertClean(t, setup)
})

for (const fault of Object.values(SwapFault)) {
  test(`should bring all engines to the version although a swap fails: ${fault}`, async t => {
    const setup = await setUp()
    const { world, trainer } = setup
    for (const engine of enginesOf(setup).slice(0, 3)) engine.swapFaults.push(fault)
    await world.clock.advanceUntil(trainer.publish(1))
    await world.until(() => allServe(setup, 1))
    await world.clock.advanceUntil(trainer.run(0, 1))
    assertClean(t, setup)
  })
}

test('should exclude an engine whose swaps fail only from samples that need the newer version', async t => {
  const setup = await setUp({ enginesCount: 2 }, { stalenessBoundVersions: 1 })
  const { world, trainer } = setup
  const [broken] = enginesOf(setup)
  broken?.swapFaults.push(...Array.from({ length: 1_000 }, () => SwapFault.KeepsOld))
  await world.clock.advanceUntil(trainer.run(0, 4))
  const versionsBy = (engineId: string | undefined): number[] => trainer.samples.flatMap(({ versions }) => versions).filter(span => span.engineId === engineId).map(({ weightVersion }) => weightVersion)
  t.deepEqual([...new Set(versionsBy(broken?.engineId))], [0], 'the engine was used only while its version was within the bound')
  assertClean(t, setup)
})

test('should load the newest of two versions directly when both are published within one swap', async t => {
  const setup = await setUp({ store: { weightBytes: 10_000_000, bytesPerSecond: 5_000_000 } })
  const { world, trainer } = setup
  await world.clock.advanceUntil(trainer.publish(1))
  await world.clock.advance(1_000)
  await world.clock.advanceUntil(trainer.publish(2))
  await world.until(() => allServe(setup, 2))
  const targets = enginesOf(setup).flatMap(({ executedOrders }) => executedOrders.map(({ target }) => target))
  t.is(targets.filter(target => target === 2).length, 6)
  t.true(targets.filter(target => target === 1).length <= 2, 'only orders that were in flight loaded version 1')
  assertClean(t, setup)
})

test('should stop when its orders are refused for a newer fencing number, and continue with a new number of its own', async t => {
  const setup = await setUp()
  const { world, trainer } = setup
  await world.clock.advanceUntil(trainer.publish(1))
  await world.until(() => allServe(setup, 1))
  const other = world.control.apply({ kind: HostCommandKind.AcquireFence, fenceScope: `weights/${POOL}`, holder: 'elsewhere' })
  if (other.kind !== 'fenced') return t.fail()
  for (const engine of enginesOf(setup)) engine.highestFencingNumber = other.fencingNumber
  await world.clock.advanceUntil(trainer.publish(2))
  await world.until(() => allServe(setup, 2))
  const accepted = enginesOf(setup).flatMap(({ executedOrders }) => executedOrders.filter(({ target }) => target === 2).map(({ fencingNumber }) => fencingNumber))
  t.true(accepted.every(fencingNumber => fencingNumber > other.fencingNumber))
  assertClean(t, setup)
})

test('should wait until the orders of a predecessor have expired where engines ignore fencing numbers', async t => {
  const setup = await setUp({ checksFencing: false, store: { weightBytes: 100_000_000, bytesPerSecond: 5_000_000 }, hostsCount: 4 })
  const { world, trainer } = setup
  await world.clock.advanceUntil(trainer.publish(1))
  await world.until(() => world.store.fetchingCount > 0)
  const fence = world.control.apply({ kind: HostCommandKind.AcquireFence, fenceScope: `weights/${POOL}`, holder: 'reader' })
  const coordinator = fence.kind === 'fenced' ? fence.previousHolder ?? '' : ''
  const killedAtMs = world.clock.nowMs()
  world.killHost(coordinator)
  await world.clock.advanceUntil(trainer.publish(2))
  await world.until(() => allServe(setup, 2))
  const ofSuccessor = enginesOf(setup).flatMap(({ executedOrders }) => executedOrders.filter(({ target }) => target === 2))
  t.true(ofSuccessor.every(({ receivedAtMs }) => receivedAtMs > killedAtMs + ORDER_LIFETIME_MS), 'no order was received while one of the predecessor could be in flight')
  assertClean(t, setup)
})

test('should update an engine that ignores fencing and was set back by an outdated order', async t => {
  const setup = await setUp({ checksFencing: false })
  const { world, trainer } = setup
  await world.clock.advanceUntil(trainer.publish(2))
  await world.until(() => allServe(setup, 2))
  const [strayed] = enginesOf(setup)
  const stray = strayed?.order({ kind: OrderKind.LoadVersion, fencing_number: 0, order_id: 'stray', remaining_ms: 10_000, weight_version: 1, source_url: 'store' })
  await world.clock.advanceUntil(stray ?? t.fail() as never)
  t.is(strayed?.weightVersion, 1)
  await world.until(() => allServe(setup, 2))
  await world.clock.advanceUntil(trainer.run(0, 1))
  assertClean(t, setup)
})

test('should hand a pool over without waiting when the predecessor confirms that it has stopped', async t => {
  const setup = await setUp({ checksFencing: false, hostsCount: 1 })
  const { world, trainer } = setup
  await world.clock.advanceUntil(trainer.publish(1))
  await world.until(() => allServe(setup, 1))
  for (const hostId of ['h2', 'h3', 'h4', 'h5', 'h6']) world.startHost(hostId)
  await world.clock.advance(10_000)
  const startedAtMs = world.clock.nowMs()
  await world.clock.advanceUntil(trainer.publish(2))
  await world.until(() => allServe(setup, 2))
  t.true(world.clock.nowMs() - startedAtMs < 10_000)
  assertClean(t, setup)
})

test('should keep the adapters of several jobs on shared engines apart', async t => {
  const setup = await setUp({}, { adapter: 'hints-lora' })
  const { world, trainer } = setup
  world.declareJob('quotes', { adapter: 'quotes-lora' })
  const other = new VirtualTrainer(world, { job: 'quotes', samplesPerStepCount: 16, groupSizeCount: 4, stalenessBoundVersions: 1, trainMs: 500 })
  await world.clock.advanceUntil(Promise.all([trainer.run(0, 2), other.run(0, 5)]))
  await world.until(() => enginesOf(setup).every(({ adapters }) => adapters.includes('hints-lora@2') && adapters.includes('quotes-lora@5')))
  t.deepEqual(other.violations, [])
  assertClean(t, setup)
})
