import test from 'ava'
import { StartPacing, TURN_MS } from '../../src/batches/startPacing.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const ENGINES_COUNT = 31
const SLOTS_COUNT = 8
const ITEMS_COUNT = 200
const MOST_IN_A_TURN_COUNT = 16

test('should begin the steps of all trainers in turns, so that heartbeats go out in between', async t => {
  const engines = Array.from({ length: ENGINES_COUNT }, (_value, position) => engine(`e${position + 1}`, 1, { slotsCount: SLOTS_COUNT }))
  const world = await new StoreWorld({ engines }).start()
  const begunByTurn = new Map<number, number>()
  world.endpoints.onRun = () => {
    const turn = Math.floor(world.clock.nowMs() / TURN_MS)
    begunByTurn.set(turn, (begunByTurn.get(turn) ?? 0) + 1)
    return { eventsCount: 40, gapMs: 40, version: 1 }
  }
  const itemIds = Array.from({ length: ITEMS_COUNT }, (_value, position) => `i${position}`)
  await world.submit(submission('b1', itemIds))
  await world.clock.advance(600)
  const mostCount = Math.max(...begunByTurn.values())
  t.is([...begunByTurn.values()].reduce((sum, count) => sum + count, 0), ITEMS_COUNT)
  t.true(mostCount <= 2 * MOST_IN_A_TURN_COUNT, `${mostCount} begun within ${TURN_MS} ms`)
  t.deepEqual(world.failures, [])
  world.close()
})

test('should begin nothing while its own timers are late, and go on with the first one that is not', async t => {
  const clock = new VirtualClock()
  const pacing = new StartPacing(clock)
  await clock.advance(TURN_MS)
  pacing.beginTurn()
  t.true(pacing.mayStart)
  pacing.recordStart()
  await clock.advance(TURN_MS + 100)
  t.true(pacing.isOverloaded, 'the timer that is due has not come')
  t.is(pacing.beginTurn(), 100)
  t.true(pacing.isOverloaded, 'it came late')
  t.false(pacing.mayStart)
  await clock.advance(TURN_MS)
  pacing.beginTurn()
  t.false(pacing.isOverloaded)
  t.true(pacing.mayStart)
})

test('should begin a run now and then however late it is, for it may not be runs that hold it up', async t => {
  const clock = new VirtualClock()
  const pacing = new StartPacing(clock)
  let begunCount = 0
  for (let passedMs = 0; passedMs < 2_000; passedMs += 100) {
    await clock.advance(100)
    pacing.beginTurn()
    t.true(pacing.isOverloaded)
    if (!pacing.mayStart) continue
    pacing.recordStart()
    begunCount++
  }
  t.is(begunCount, 10)
})

test('should begin no more than a turn allows, however many slots are free', async t => {
  const clock = new VirtualClock()
  const pacing = new StartPacing(clock)
  let begunCount = 0
  while (pacing.mayStart) {
    pacing.recordStart()
    begunCount++
  }
  t.is(begunCount, MOST_IN_A_TURN_COUNT)
  await clock.advance(TURN_MS)
  pacing.beginTurn()
  t.true(pacing.mayStart)
})
