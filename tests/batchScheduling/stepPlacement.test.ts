import test from 'ava'
import type { EngineKind } from '../../src/batchScheduling/engineKinds.js'
import { startingKindOf, thresholdsOf } from '../../src/batchScheduling/stepPlacement.js'

/** A quarter of the engines is at 0.55 of the usual time per event, the others at 1.2; a tenth of the items is five times as long as the rest. */
const FAST: EngineKind = { gapMs: 66, engines: [], eventsPerMs: 24 / 66 }
const SLOW: EngineKind = { gapMs: 144, engines: [], eventsPerMs: 72 / 144 }
const TAIL_RATIO = 1.7
const LENGTHS = [44, 44, 40, 36, 30, ...Array.from({ length: 43 }, (_value, position) => 1 + position % 12)]

function kindOf (count: number): number | undefined {
  return startingKindOf(thresholdsOf([FAST, SLOW], { expectedCounts: LENGTHS, tailRatio: TAIL_RATIO, dueInMs: 7_500 }), count)?.gapMs
}

test('should start the long items on the fast kind, and short ones on the slow one', t => {
  t.is(kindOf(44), FAST.gapMs)
  t.is(kindOf(30), FAST.gapMs)
  t.is(kindOf(5), SLOW.gapMs)
})

test('should start an item on the fast kind only if it may end after the longest item of its step', t => {
  const thresholds = thresholdsOf([FAST, SLOW], { expectedCounts: LENGTHS, tailRatio: TAIL_RATIO, dueInMs: 7_500 })
  const neededCount = thresholds[0]?.neededEventsCount ?? 0
  t.true(neededCount * TAIL_RATIO * SLOW.gapMs <= 44 * FAST.gapMs + 1)
})

test('should need the fast kind for further items when a step is due sooner', t => {
  const neededGapMs = (dueInMs: number): number | undefined => startingKindOf(thresholdsOf([FAST, SLOW], { expectedCounts: LENGTHS, tailRatio: TAIL_RATIO, dueInMs }), 9)?.neededGapMs
  t.is(neededGapMs(7_500), SLOW.gapMs)
  t.is(neededGapMs(1_500), FAST.gapMs)
})

test('should give the fast kind no more than its share of the work, the longest items first', t => {
  const lengths = Array.from({ length: 100 }, (_value, position) => 20 + position % 20)
  const thresholds = thresholdsOf([FAST, SLOW], { expectedCounts: lengths, tailRatio: TAIL_RATIO, dueInMs: 7_500 })
  const fast = lengths.filter(count => startingKindOf(thresholds, count)?.gapMs === FAST.gapMs)
  const share = fast.reduce((sum, count) => sum + count, 0) / lengths.reduce((sum, count) => sum + count, 0)
  const speedShare = FAST.eventsPerMs / (FAST.eventsPerMs + SLOW.eventsPerMs)
  t.true(share > speedShare && share < 1.35 * speedShare, `${share} of the work for ${speedShare} of the speed`)
  t.is(startingKindOf(thresholds, 20)?.neededGapMs, FAST.gapMs, 'it takes spare slots of the fast kind')
})

test('should start all items on the only kind', t => {
  t.is(startingKindOf(thresholdsOf([SLOW], { expectedCounts: LENGTHS, tailRatio: TAIL_RATIO, dueInMs: 7_500 }), 44)?.gapMs, SLOW.gapMs)
  t.is(startingKindOf([], 44), undefined)
})
