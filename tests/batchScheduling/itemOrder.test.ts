import test from 'ava'
import { EndpointHealth } from '../../src/endpoints/endpointHealth.js'
import { Engine } from '../../src/batchScheduling/engineFleet.js'
import { compareWaiting, expectedEventsCount, fastestEngine, movingGainMs, shouldWaitForFaster, type RunEstimate, type WaitingItem } from '../../src/batchScheduling/itemOrder.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const TOKEN_MS = 1
const clock = new VirtualClock()

/** Gaps after which the pace of an engine is known. */
const KNOWN_GAPS_COUNT = 4

function waiting (changes: Partial<WaitingItem>): WaitingItem {
  return { dueAtMs: 7_000, isStarted: false, isCarriedOver: false, remainingTokensCount: 100, priority: 0, ...changes }
}

function estimate (generatedCount: number, hintedRemainingCount: number, longestCount = 187): RunEstimate {
  return { generatedCount, hintedRemainingCount, longestCount }
}

function paced (endpointId: string, gapMs?: number, ownClock = clock): Engine {
  const result = new Engine(engine(endpointId, 1), new EndpointHealth({ clock: ownClock }), ownClock)
  const gapsMs = gapMs === undefined ? [] : Array.from({ length: KNOWN_GAPS_COUNT }, () => gapMs)
  for (const seenMs of gapsMs) result.pace.recordGap(seenMs)
  return result
}

test('should let a long item of a later batch go before a short one of an earlier batch', t => {
  const long = waiting({ dueAtMs: 7_500, remainingTokensCount: 6_000 })
  const short = waiting({ dueAtMs: 7_000, remainingTokensCount: 200 })
  t.true(compareWaiting(long, short, TOKEN_MS) < 0)
})

// Guards against starvation of items of a less urgent account while there are others.
test('should let an urgent item precede one with about the same slack, but none with much less', t => {
  t.true(compareWaiting(waiting({ dueAtMs: 7_020 }), waiting({ dueAtMs: 7_000, priority: 1 }), TOKEN_MS) < 0)
  t.true(compareWaiting(waiting({ dueAtMs: 7_200 }), waiting({ dueAtMs: 7_000, priority: 99 }), TOKEN_MS) > 0)
})

test('should let started items, then carried-over items, precede all others', t => {
  const items = [waiting({ remainingTokensCount: 6_000 }), waiting({ isCarriedOver: true }), waiting({ isStarted: true })]
  const [first, second] = [...items].sort((left, right) => compareWaiting(left, right, TOKEN_MS))
  t.is(first, items[2])
  t.is(second, items[1])
})

test('should choose the faster engine, and of equally fast ones that with more free memory', t => {
  const fast = paced('e1', 30)
  const slow = paced('e2', 60)
  t.is(fastestEngine([slow, fast], 40, 10_000), fast)
  const equal = paced('e3', 30)
  fast.reservedTokensCount = 5_000
  t.is(fastestEngine([fast, equal], 40, 10_000), equal)
})

test('should move a run to a much faster engine, not to a slightly faster one', t => {
  t.true(movingGainMs(paced('e1', 150), paced('e2', 40), estimate(10, 50)) > 0)
  t.is(movingGainMs(paced('e1', 44), paced('e2', 40), estimate(10, 500)), 0)
})

test('should not move a run that is nearly done, nor to an engine whose pace is not known', t => {
  t.is(movingGainMs(paced('e1', 150), paced('e2', 40), estimate(2, 2)), 0)
  t.is(movingGainMs(paced('e1', 150), paced('e2'), estimate(10, 50)), 0)
})

test('should expect a run with many events to generate more than its hint', t => {
  const slow = paced('e1', 55)
  const fast = paced('e2', 40)
  t.is(movingGainMs(slow, fast, estimate(10, 0)), 0)
  t.true(movingGainMs(slow, fast, estimate(60, 0)) > movingGainMs(slow, fast, estimate(40, 0)))
  t.true(movingGainMs(slow, fast, estimate(40, 0)) > 0)
})

test('should forget a pace that was not seen for a while', async t => {
  const seen = paced('e1', 150)
  t.is(seen.pace.currentGapMs, 150)
  await clock.advance(4_000)
  t.is(seen.pace.currentGapMs, undefined)
})

test('should expect no more of a run than the longest sample that was seen', t => {
  t.is(expectedEventsCount(estimate(175, 0)), 12)
  t.is(expectedEventsCount(estimate(40, 0)), 30)
  t.is(expectedEventsCount(estimate(200, 0)), 150, 'the run itself is the longest')
})

test('should not move a run between engines of one kind because one is full and the other empty', t => {
  t.is(movingGainMs(paced('e1', 42), paced('e2', 37), estimate(60, 100)), 0)
})

test('should let a long item wait for a fast engine, a short one begin on a slow one at once', t => {
  const choice = { freeGapMs: 48, fullGapMs: 38, waitedMs: 100 }
  t.true(shouldWaitForFaster({ ...choice, remainingEventsCount: 150 }))
  t.false(shouldWaitForFaster({ ...choice, remainingEventsCount: 8 }))
})

test('should wait for a fast engine no longer than the slow one would cost', t => {
  const choice = { freeGapMs: 48, fullGapMs: 38, remainingEventsCount: 150 }
  t.true(shouldWaitForFaster({ ...choice, waitedMs: 1_400 }))
  t.false(shouldWaitForFaster({ ...choice, waitedMs: 1_600 }))
})

test('should not wait for an engine of the same kind that is only less full', t => {
  t.false(shouldWaitForFaster({ freeGapMs: 42, fullGapMs: 38, remainingEventsCount: 187, waitedMs: 0 }))
})

test('should probe an engine that may no longer be slow with a single run, and with none while others have free slots', async t => {
  const ownClock = new VirtualClock()
  const uncertain = paced('e1', undefined, ownClock)
  for (let event = 0; event < 60; event++) {
    await ownClock.advance(38)
    uncertain.pace.recordGap(38)
  }
  for (let event = 0; event < 60; event++) uncertain.pace.recordGap(150)
  await ownClock.advance(5_000)
  t.true(uncertain.pace.needsProbe)
  t.true(uncertain.canStartRun('hints-model'))
  const healthy = paced('e2', 40, ownClock)
  t.is(fastestEngine([uncertain, healthy], 40, 10_000), healthy)
  uncertain.addRun(100)
  t.false(uncertain.canStartRun('hints-model'))
})
