import test from 'ava'
import { LoadConcurrency, type TimedLoad } from '../../src/batches/loadConcurrency.js'
import { seededRandom, type RandomSource } from '../../src/utils/randomSource.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

/**
 * Modelled load: engines that load one after the other from a store that sustains
 * a given number at full speed. Above it, either all loads share the bandwidth of
 * the store, or the duration of each depends on the number of loads at its start.
 */
enum Slowdown {
  Shared = 'shared',
  FixedAtStart = 'at_beginning'
}

const LOAD_MS = 900
const TICK_MS = 10

interface Store {
  sustainedCount: number
  slowdown: Slowdown
  slowEngineId?: string
  /** Random delays with which ends of loads are reported: up to 120 ms, one of thirty 340 ms. */
  reportDelays?: RandomSource
}

function reportDelayMs (random: RandomSource): number {
  return random.int(1, 30) === 1 ? 340 : random.int(0, 120)
}

/** Starts as many loads as the limit allows; returns the limit at each second. */
async function limitsOver (seconds: number, { sustainedCount, slowdown, slowEngineId, reportDelays }: Store): Promise<number[]> {
  const clock = new VirtualClock()
  const concurrency = new LoadConcurrency(clock)
  const remainingMs = new Map<TimedLoad, number>()
  const limits: number[] = []
  let nextEngine = 0
  for (let atMs = 0; atMs < seconds * 1_000; atMs += TICK_MS) {
    while (!concurrency.isFull) {
      const engineId = `e${nextEngine++ % 12}`
      const load = concurrency.start(engineId)
      const factor = slowdown === Slowdown.FixedAtStart ? Math.max(1, load.concurrentAtStartCount / sustainedCount) : 1
      remainingMs.set(load, LOAD_MS * factor * (engineId === slowEngineId ? 4 : 1) + (reportDelays ? reportDelayMs(reportDelays) : 0))
    }
    const speed = slowdown === Slowdown.Shared ? Math.min(1, sustainedCount / remainingMs.size) : 1
    await clock.advance(TICK_MS)
    for (const [load, left] of remainingMs) {
      remainingMs.set(load, left - TICK_MS * speed)
      if (left - TICK_MS * speed > 0) continue
      remainingMs.delete(load)
      concurrency.end(load, true)
    }
    if (atMs % 1_000 === 0) limits.push(concurrency.lanesCount)
  }
  return limits
}

for (const slowdown of Object.values(Slowdown)) {
  for (const sustainedCount of [2, 4, 9]) {
    test(`should settle within seconds on what a store sustains: ${sustainedCount}, slowdown ${slowdown}`, async t => {
      const limits = await limitsOver(25, { sustainedCount, slowdown })
      const settled = limits.slice(10)
      // An end is reported up to 150 ms late, so a slowdown by less than a quarter cannot be detected.
      const triesCount = settled.filter(count => count > 1.25 * sustainedCount).length
      t.true(settled.every(count => count >= 0.85 * sustainedCount && count <= 1.25 * sustainedCount + 1), limits.join(' '))
      t.true(triesCount <= settled.length / 4, limits.join(' '))
    })
  }
}

test('should not take one slow engine for a store at its limit', async t => {
  const limits = await limitsOver(25, { sustainedCount: 6, slowdown: Slowdown.FixedAtStart, slowEngineId: 'e3' })
  t.true(Math.min(...limits.slice(12)) >= 4, limits.join(' '))
})

test('should ignore the duration of a failed load', async t => {
  const clock = new VirtualClock()
  const concurrency = new LoadConcurrency(clock)
  const load = concurrency.start('e1')
  await clock.advance(6_000)
  concurrency.end(load, false)
  t.is(concurrency.lanesCount, 2)
  t.true(concurrency.loadMs < 2_000)
})

// One load whose end was reported late halved the limit, and four trainers waited for weights for half a minute.
test('should not take a single load that is reported late for the limit of the store', async t => {
  for (let seed = 1; seed <= 40; seed++) {
    const limits = await limitsOver(25, { sustainedCount: 9, slowdown: Slowdown.FixedAtStart, reportDelays: seededRandom(seed) })
    t.true(Math.min(...limits.slice(10)) >= 6, `seed ${seed}: ${limits.join(' ')}`)
  }
})

test('should still find the limit of a store whose loads are reported late now and then', async t => {
  for (let seed = 1; seed <= 40; seed++) {
    const limits = await limitsOver(25, { sustainedCount: 2, slowdown: Slowdown.FixedAtStart, reportDelays: seededRandom(seed) })
    const aboveCount = limits.slice(10).filter(count => count > 3).length
    t.true(aboveCount <= 3, `seed ${seed}: ${limits.join(' ')}`)
  }
})
