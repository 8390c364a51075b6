/**
 * Sixty hosts before five endpoints of six slots, with the product's forwarder. Bounds
 * are what callers were promised: the urgent class within its objective for 0.95 of its
 * requests and 0.95 of capacity put to use, the onset of the pressure included. The tests
 * run one after the other, so that the time limit of each counts its own work only.
 */
import test from 'ava'
import { GUARANTEED_SHARE } from '../../src/balancing/admissionLevel.js'
import { CAPACITY_PER_S, FullService, type FullServiceOptions, type Pressure } from '../fixtures/fleet/fullService.js'

const SEEDS = [1, 2, 3]
const URGENT: Pressure = { priority: 0, load: 0.2 }
const USUAL: Pressure = { priority: 1, load: 0.4 }
const LEAST: Pressure = { priority: 2, load: 0.4 }
const PRESSED_MS = 6_000
const MS_PER_S = 1_000
/** A refusal is decided within this time. */
const REFUSAL_MS = 20
/** The same once hosts know how full the service is. */
const ONSET_MS = 1_000

function at (load: number): Pressure[] {
  return [URGENT, USUAL, LEAST].map(pressure => ({ ...pressure, load: pressure.load * load }))
}

/** A world that has had half of its room in use for a second. */
async function warm (options: FullServiceOptions): Promise<FullService> {
  const world = new FullService(options)
  await world.press(at(0.5), MS_PER_S)
  world.forgetResults()
  return world
}

function meanOf (values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** Answers within the objective, relative to the capacity. */
function useOf (world: FullService, pressedMs = PRESSED_MS): number {
  return world.inTimeCount / (CAPACITY_PER_S * pressedMs / MS_PER_S)
}

function inTimeShareOf (world: FullService, pressure: Pressure): number {
  const { inTimeCount, askedCount } = world.resultOf(pressure)
  return inTimeCount / askedCount
}

for (const load of [1.5, 3]) {
  test.serial(`should serve the urgent class in time, and use the capacity, at ${load} times the room`, async t => {
    t.timeout(300_000)
    const worlds = await Promise.all(SEEDS.map(seed => warm({ seed, isShared: true })))
    for (const world of worlds) {
      await world.press(at(load), PRESSED_MS)
      await world.clock.advance(MS_PER_S)
    }
    const urgent = meanOf(worlds.map(world => inTimeShareOf(world, URGENT)))
    const use = meanOf(worlds.map(world => useOf(world)))
    t.log(`urgent in time ${urgent.toFixed(3)}, use ${use.toFixed(3)}`)
    t.true(urgent >= 0.95, `urgent in time ${urgent}`)
    t.true(use >= 0.95, `use ${use}`)
    for (const pressure of [USUAL, LEAST]) {
      const shares = worlds.map(world => world.resultOf(pressure).inTimeCount / (CAPACITY_PER_S * PRESSED_MS / MS_PER_S))
      t.true(Math.min(...shares) >= GUARANTEED_SHARE / 10, `priority ${pressure.priority}: ${shares.join(' ')}`)
    }
  })

  test.serial(`should serve more in time than hosts that decide alone, at ${load} times the room`, async t => {
    t.timeout(300_000)
    const [shared, alone] = [await warm({ seed: 1, isShared: true }), await warm({ seed: 1, isShared: false })]
    for (const world of [shared, alone]) await world.press(at(load), 3_000)
    t.log(`use ${useOf(shared, 3_000).toFixed(3)}, alone ${useOf(alone, 3_000).toFixed(3)}; urgent in time ${inTimeShareOf(shared, URGENT).toFixed(3)}, alone ${inTimeShareOf(alone, URGENT).toFixed(3)}`)
    t.true(useOf(shared, 3_000) > useOf(alone, 3_000))
    t.true(inTimeShareOf(shared, URGENT) > inTimeShareOf(alone, URGENT))
  })

  test.serial(`should decide refusals at once, at ${load} times the room`, async t => {
    t.timeout(300_000)
    const world = await warm({ seed: 2, isShared: true })
    await world.press(at(load), ONSET_MS)
    t.log(`of ${world.refusalTimesMs.length} refusals of the onset, ${world.refusalTimesMs.filter(tookMs => tookMs > REFUSAL_MS).length} took longer`)
    world.forgetResults()
    await world.press(at(load), 3_000)
    t.true(world.refusalTimesMs.length > 0)
    t.true(Math.max(...world.refusalTimesMs) <= REFUSAL_MS, `${Math.max(...world.refusalTimesMs)} ms`)
  })
}

test.serial('should let callers of a short rush return without a second peak over 1.2 of the capacity', async t => {
  t.timeout(300_000)
  const peaks = await Promise.all(SEEDS.map(async seed => {
    const world = await warm({ seed, isShared: true, budgetMs: 1_505 })
    await world.press(at(3), 200)
    await world.press(at(0.5), 1_500)
    const afterRush = [...world.arrivalsByTenth].sort(([left], [right]) => left - right).slice(2).map(([, count]) => count)
    t.log(afterRush.join(' '))
    return Math.max(...afterRush) * 10 / CAPACITY_PER_S
  }))
  t.true(meanOf(peaks) <= 1.2, peaks.join(' '))
})

test.serial('should treat no request differently, and send nothing, with room enough', async t => {
  t.timeout(300_000)
  const [shared, alone] = [new FullService({ seed: 1, isShared: true }), new FullService({ seed: 1, isShared: false })]
  for (const world of [shared, alone]) {
    await world.press(at(0.5), 3_000)
    await world.clock.advance(MS_PER_S)
  }
  t.deepEqual([shared.refusalTimesMs.length, shared.messagesCount, shared.totalsBytesPerHost], [0, 0, 0])
  t.is(shared.inTimeCount, [...shared.results.values()].reduce((sum, { askedCount }) => sum + askedCount, 0))
  t.is(alone.refusalTimesMs.length, 0)
  const nearlyFull = new FullService({ seed: 1, isShared: true })
  await nearlyFull.press(at(0.8), 3_000)
  t.is(nearlyFull.refusalTimesMs.length, 0)
})

test.serial('should give a small account all that it asks for beside a large one of its class', async t => {
  t.timeout(300_000)
  const world = await warm({ seed: 3, isShared: true })
  const [large, small]: Pressure[] = [{ priority: 1, load: 1.4, account: 'large' }, { priority: 1, load: 0.1, account: 'small' }]
  if (!large || !small) throw new Error('no accounts')
  await world.press([large, small], 3_000)
  await world.clock.advance(MS_PER_S)
  t.log(`small ${inTimeShareOf(world, small).toFixed(3)}, large ${inTimeShareOf(world, large).toFixed(3)}`)
  t.true(inTimeShareOf(world, small) > inTimeShareOf(world, large))
  const servedShare = world.resultOf(small).servedCount / world.resultOf(small).askedCount
  t.true(servedShare >= 0.95, `${servedShare}`)
})

const failures: Array<[string, Partial<FullServiceOptions>, (world: FullService) => void]> = [
  ['with the holder lost', {}, world => { world.isHolderLost = true }],
  ['with a third of the hosts cut off', {}, world => { for (const host of world.hosts.slice(0, world.hosts.length / 3)) host.isCutOff = true }],
  ['with figures that come 5 s late', { linkDelayMs: 5_000 }, () => {}]
]

for (const [name, options, fail] of failures) {
  test.serial(`should be no worse than hosts that decide alone ${name}`, async t => {
    t.timeout(300_000)
    const results = { shared: [] as number[], alone: [] as number[], urgentShared: [] as number[], urgentAlone: [] as number[] }
    for (const seed of SEEDS) {
      const [shared, alone] = [await warm({ seed, isShared: true, ...options }), await warm({ seed, isShared: false })]
      for (const world of [shared, alone]) {
        await world.press(at(1.5), 1_000)
        fail(world)
        await world.press(at(1.5), 4_000)
      }
      results.shared.push(useOf(shared, 5_000))
      results.alone.push(useOf(alone, 5_000))
      results.urgentShared.push(inTimeShareOf(shared, URGENT))
      results.urgentAlone.push(inTimeShareOf(alone, URGENT))
    }
    const [shared, alone, urgentShared, urgentAlone] = [meanOf(results.shared), meanOf(results.alone), meanOf(results.urgentShared), meanOf(results.urgentAlone)]
    t.log(`use ${shared.toFixed(3)}, alone ${alone.toFixed(3)}; urgent in time ${urgentShared.toFixed(3)}, alone ${urgentAlone.toFixed(3)}`)
    t.true(shared >= alone, `use ${shared}, alone ${alone}`)
    t.true(urgentShared >= urgentAlone, `urgent ${urgentShared}, alone ${urgentAlone}`)
  })
}

test.serial('should send a host no more bytes the more hosts there are, and tell sums six times a second at most', async t => {
  t.timeout(300_000)
  const world = await warm({ seed: 1, isShared: true })
  await world.press(at(1.5), 3_000)
  const bytesPerS = world.totalsBytesPerHost / 3
  t.log(`${bytesPerS.toFixed(0)} bytes a second to each host, ${(world.figuresBytes / world.hosts.length / 3).toFixed(0)} from it`)
  t.true(world.totalsBytesPerHost / world.toldCount <= 1_024, `${world.totalsBytesPerHost / world.toldCount} bytes in one message`)
  t.true(world.toldCount / 3 <= 6, `${world.toldCount} messages`)
})
