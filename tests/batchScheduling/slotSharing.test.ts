import test from 'ava'
import { deferrableUntilMs, slotsForDeferrable } from '../../src/batchScheduling/slotSharing.js'

/**
 * The load behind these tests: three trainers submit steps of about fifty items at the
 * same moment, every four seconds, due in 7.5 s. Most items take less than a second,
 * and a few of 187 events take seven.
 */
const GAP_MS = 38
const SLOTS_COUNT = 12

test('should let a short item wait for seconds, and one that may be long not at all', t => {
  t.true(deferrableUntilMs({ longestEndsAtMs: 7_100, remainingEventsCount: 10 }, GAP_MS) > 4_000)
  t.true(deferrableUntilMs({ longestEndsAtMs: 7_100, remainingEventsCount: 80 }, GAP_MS) < 0)
})

test('should leave time for an item whose hint was short by half its length', t => {
  const waitedMs = deferrableUntilMs({ longestEndsAtMs: 7_100, remainingEventsCount: 20 }, GAP_MS)
  t.true(waitedMs + 40 * GAP_MS < 7_100)
})

test('should not defer the short items of a step that has no long one', t => {
  t.true(deferrableUntilMs({ longestEndsAtMs: 2_000, remainingEventsCount: 10 }, GAP_MS) < 0)
})

test('should give short items as many slots as all open work needs until the next steps, and no more', t => {
  const engines = { horizonMs: 4_000, enginesCount: 6, slotsCount: SLOTS_COUNT }
  t.is(slotsForDeferrable({ ...engines, workMs: 200_000 }), 9)
  t.is(slotsForDeferrable({ ...engines, workMs: 1_000_000 }), SLOTS_COUNT)
})

test('should not keep half of an engine empty to make the other half faster', t => {
  t.is(slotsForDeferrable({ workMs: 100, horizonMs: 4_000, enginesCount: 6, slotsCount: SLOTS_COUNT }), 7)
  t.is(slotsForDeferrable({ workMs: 100, horizonMs: 4_000, enginesCount: 6, slotsCount: 2 }), 2)
  t.is(slotsForDeferrable({ workMs: 100, horizonMs: 4_000, enginesCount: 0, slotsCount: 1 }), 1)
})
