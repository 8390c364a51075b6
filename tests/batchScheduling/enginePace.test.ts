import test from 'ava'
import { EnginePace } from '../../src/batchScheduling/enginePace.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

/**
 * Modelled load: engines of one service of which some are permanently 1.3 times
 * slower (48 ms for an event against 37), some are slowed two to four times for
 * five to eight seconds, and all are idle now and then because their weights are
 * out of date.
 */
const RUNS_COUNT = 6

async function recordRuns (pace: EnginePace, clock: VirtualClock, gapMs: number, forMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < forMs; passedMs += gapMs) {
    await clock.advance(gapMs)
    for (let other = 0; other < RUNS_COUNT; other++) pace.recordGap(gapMs)
  }
}

function createPace (): { pace: EnginePace, clock: VirtualClock } {
  const clock = new VirtualClock()
  return { pace: new EnginePace(clock), clock }
}

test('should keep the baseline of an engine while it is idle', async t => {
  const { pace, clock } = createPace()
  await recordRuns(pace, clock, 48, 3_000)
  await clock.advance(20_000)
  t.is(pace.currentGapMs, undefined)
  t.is(pace.expectedGapMs, 48)
  t.false(pace.needsProbe)
})

test('should distinguish a temporary slowdown from the baseline of an engine', async t => {
  const { pace, clock } = createPace()
  await recordRuns(pace, clock, 38, 6_000)
  await recordRuns(pace, clock, 130, 8_000)
  t.true((pace.currentGapMs ?? 0) > 120)
  t.is(pace.baselineGapMs, 38)
  await recordRuns(pace, clock, 38, 2_000)
  t.true((pace.currentGapMs ?? 0) < 45)
  t.is(pace.baselineGapMs, 38)
})

test('should find the baseline of an engine that was slowed down when it was first observed', async t => {
  const { pace, clock } = createPace()
  await recordRuns(pace, clock, 130, 6_000)
  await recordRuns(pace, clock, 38, 6_000)
  t.is(pace.baselineGapMs, 38)
})

test('should need a probe of an engine that was slowed down and has been idle since, until it runs again', async t => {
  const { pace, clock } = createPace()
  await recordRuns(pace, clock, 38, 6_000)
  await recordRuns(pace, clock, 130, 3_000)
  t.false(pace.needsProbe, 'it is slow, which its events show')
  await clock.advance(5_000)
  t.true(pace.needsProbe)
  t.is(pace.expectedGapMs, 38)
  await recordRuns(pace, clock, 38, 200)
  t.false(pace.needsProbe)
})

test('should not take events that were delayed together for a fast engine', async t => {
  const { pace, clock } = createPace()
  await recordRuns(pace, clock, 38, 5_000)
  for (let second = 0; second < 5; second++) {
    await clock.advance(380)
    pace.recordGap(380)
    for (let event = 0; event < 9; event++) pace.recordGap(0)
    await recordRuns(pace, clock, 38, 620)
  }
  t.true((pace.baselineGapMs ?? 0) >= 36, `${pace.baselineGapMs}`)
})

// Two events that were read at the same time made an engine look twenty times faster than the others, which then got no weights.
test('should not call an engine fast for two events that were read together', t => {
  const { pace } = createPace()
  pace.recordGap(2)
  t.is(pace.currentGapMs, undefined)
  for (let gap = 0; gap < 4; gap++) pace.recordGap(40)
  t.true((pace.currentGapMs ?? 0) > 30, `${pace.currentGapMs}`)
})

test('should start over after an idle period, with the mean of the new events', async t => {
  const { pace, clock } = createPace()
  await recordRuns(pace, clock, 150, 1_000)
  await clock.advance(10_000)
  for (let gap = 0; gap < 6; gap++) pace.recordGap(38)
  t.is(pace.currentGapMs, 38)
})
