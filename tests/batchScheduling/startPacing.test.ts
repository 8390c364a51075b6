import test from 'ava'
import { StartPacing, TURN_MS } from '../../src/batchScheduling/startPacing.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const ENGINES_COUNT = 31
const SLOTS_COUNT = 8
const ITEMS_COUNT = 200
const MAX_STARTS_PER_TURN_COUNT = 16

test('should start the items of large steps in turns, so that heartbeats are sent in between', async t => {
  const engines = Array.from({ length: ENGINES_COUNT }, (_value, position) => engine(`e${position + 1}`, 1, { slotsCount: SLOTS_COUNT }))
  const world = await new StoreWorld({ engines }).start()
  const startsByTurn = new Map<number, number>()
  world.endpoints.onRun = () => {
    const turn = Math.floor(world.clock.nowMs() / TURN_MS)
    startsByTurn.set(turn, (startsByTurn.get(turn) ?? 0) + 1)
    return { eventsCount: 40, gapMs: 40, version: 1 }
  }
  const itemIds = Array.from({ length: ITEMS_COUNT }, (_value, position) => `i${position}`)
  await world.submit(submission('b1', itemIds))
  await world.clock.advance(600)
  const maxCount = Math.max(...startsByTurn.values())
  t.is([...startsByTurn.values()].reduce((sum, count) => sum + count, 0), ITEMS_COUNT)
  t.true(maxCount <= 2 * MAX_STARTS_PER_TURN_COUNT, `${maxCount} started within ${TURN_MS} ms`)
  t.deepEqual(world.failures, [])
  world.close()
})

test('should start nothing while its own timers are late, and resume with the first one that is on time', async t => {
  const clock = new VirtualClock()
  const pacing = new StartPacing(clock)
  await clock.advance(TURN_MS)
  pacing.beginTurn()
  t.true(pacing.mayStart)
  pacing.recordStart()
  await clock.advance(TURN_MS + 100)
  t.true(pacing.isOverloaded, 'the due timer has not fired')
  t.is(pacing.beginTurn(), 100)
  t.true(pacing.isOverloaded, 'the timer fired late')
  t.false(pacing.mayStart)
  await clock.advance(TURN_MS)
  pacing.beginTurn()
  t.false(pacing.isOverloaded)
  t.true(pacing.mayStart)
})

test('should still start a run per interval while overloaded, because the load may not come from runs', async t => {
  const clock = new VirtualClock()
  const pacing = new StartPacing(clock)
  let startsCount = 0
  for (let passedMs = 0; passedMs < 2_000; passedMs += 100) {
    await clock.advance(100)
    pacing.beginTurn()
    t.true(pacing.isOverloaded)
    if (!pacing.mayStart) continue
    pacing.recordStart()
    startsCount++
  }
  t.is(startsCount, 10)
})

test('should start no more runs than a turn allows, however many slots are free', async t => {
  const clock = new VirtualClock()
  const pacing = new StartPacing(clock)
  let startsCount = 0
  while (pacing.mayStart) {
    pacing.recordStart()
    startsCount++
  }
  t.is(startsCount, MAX_STARTS_PER_TURN_COUNT)
  await clock.advance(TURN_MS)
  pacing.beginTurn()
  t.true(pacing.mayStart)
})
