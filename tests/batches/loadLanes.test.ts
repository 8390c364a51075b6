import test from 'ava'
import { LoadConcurrency, type TimedLoad } from '../../src/batches/loadLanes.js'
import { seededRandom, type RandomSource } from '../../src/utils/randomSource.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

/**
 * The load that these tests stand for: engines that load one after the other
 * from a store that feeds so many at full speed. Both forms of stretching were
 * considered: all loads share the store, or each takes as long as the number
 * beside it says when it begins.
 */
enum Stretching {
  Shared = 'shared',
  AtBeginning = 'at_beginning'
}

const LOAD_MS = 900
const TICK_MS = 10

interface Store {
  fedCount: number
  stretching: Stretching
  slowEngineId?: string
  /** Ends of loads show late by chance: by up to 120 ms, one of thirty by 340 ms. */
  lateness?: RandomSource
}

function latenessMs (random: RandomSource): number {
  return random.int(1, 30) === 1 ? 340 : random.int(0, 120)
}

/** Loads as fast as the lanes allow; what is returned are the lanes at each second. */
async function lanesOver (seconds: number, { fedCount, stretching, slowEngineId, lateness }: Store): Promise<number[]> {
  const clock = new VirtualClock()
  const lanes = new LoadConcurrency(clock)
  const leftMs = new Map<TimedLoad, number>()
  const seen: number[] = []
  let nextEngine = 0
  for (let atMs = 0; atMs < seconds * 1_000; atMs += TICK_MS) {
    while (!lanes.isFull) {
      const engineId = `e${nextEngine++ % 12}`
      const load = lanes.start(engineId)
      const stretch = stretching === Stretching.AtBeginning ? Math.max(1, load.concurrentAtStartCount / fedCount) : 1
      leftMs.set(load, LOAD_MS * stretch * (engineId === slowEngineId ? 4 : 1) + (lateness ? latenessMs(lateness) : 0))
    }
    const speed = stretching === Stretching.Shared ? Math.min(1, fedCount / leftMs.size) : 1
    await clock.advance(TICK_MS)
    for (const [load, left] of leftMs) {
      leftMs.set(load, left - TICK_MS * speed)
      if (left - TICK_MS * speed > 0) continue
      leftMs.delete(load)
      lanes.end(load, true)
    }
    if (atMs % 1_000 === 0) seen.push(lanes.lanesCount)
  }
  return seen
}

for (const stretching of Object.values(Stretching)) {
  for (const fedCount of [2, 4, 9]) {
    test(`should settle within seconds on what a store feeds: ${fedCount}, stretched ${stretching}`, async t => {
      const lanes = await lanesOver(25, { fedCount, stretching })
      const settled = lanes.slice(10)
      // An end shows up to 150 ms late, so that a stretch by less than a quarter cannot be told.
      const triesCount = settled.filter(count => count > 1.25 * fedCount).length
      t.true(settled.every(count => count >= 0.85 * fedCount && count <= 1.25 * fedCount + 1), lanes.join(' '))
      t.true(triesCount <= settled.length / 4, lanes.join(' '))
    })
  }
}

test('should not take one slow engine for a store that is at its limit', async t => {
  const lanes = await lanesOver(25, { fedCount: 6, stretching: Stretching.AtBeginning, slowEngineId: 'e3' })
  t.true(Math.min(...lanes.slice(12)) >= 4, lanes.join(' '))
})

test('should learn nothing from a load that failed', async t => {
  const clock = new VirtualClock()
  const lanes = new LoadConcurrency(clock)
  const load = lanes.start('e1')
  await clock.advance(6_000)
  lanes.end(load, false)
  t.is(lanes.lanesCount, 2)
  t.true(lanes.loadMs < 2_000)
})

// One load whose end was seen late halved the loads at a time, and four trainers waited for weights for half a minute.
test('should not take a single load that ends late for the limit of the store', async t => {
  for (let seed = 1; seed <= 40; seed++) {
    const lanes = await lanesOver(25, { fedCount: 9, stretching: Stretching.AtBeginning, lateness: seededRandom(seed) })
    t.true(Math.min(...lanes.slice(10)) >= 6, `seed ${seed}: ${lanes.join(' ')}`)
  }
})

test('should still find the limit of a store whose loads end late now and then', async t => {
  for (let seed = 1; seed <= 40; seed++) {
    const lanes = await lanesOver(25, { fedCount: 2, stretching: Stretching.AtBeginning, lateness: seededRandom(seed) })
    const beyondCount = lanes.slice(10).filter(count => count > 3).length
    t.true(beyondCount <= 3, `seed ${seed}: ${lanes.join(' ')}`)
  }
})
