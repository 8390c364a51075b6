import test from 'ava'
import { lateAfterMs, verdictOn, type UntakenRequest } from '../../src/gateway/requestPolicy.js'
import { seededRandom } from '../../src/utils/randomSource.js'

/**
 * The load that these tests stand for: short calls of some 30 ms with a
 * deadline of 800 ms, answered in waves by a service whose endpoints are now
 * and then all full or gone.
 */
const random = seededRandom(3)

function untaken (changes: Partial<UntakenRequest> = {}): UntakenRequest {
  return { forecast: { waitMs: 50, typicalMs: 30 }, waitedMs: 0, remainingMs: 800, ...changes }
}

test('should wait for room that comes in time', t => {
  t.is(verdictOn(untaken(), random).kind, 'wait')
})

test('should refuse at once what cannot be served in the time that is left', t => {
  t.is(verdictOn(untaken({ remainingMs: 70 }), random).kind, 'refuse')
  t.is(verdictOn(untaken({ forecast: { waitMs: 2_000, typicalMs: 30 } }), random).kind, 'refuse')
})

test('should refuse at once when no endpoint is known', t => {
  t.deepEqual(verdictOn(untaken({ forecast: undefined }), random), { kind: 'refuse', retryAfterMs: 500 })
})

test('should hold nothing longer than twice what was forecast, whatever its objective', t => {
  t.is(verdictOn(untaken({ waitedMs: 90 }), random).kind, 'wait')
  t.is(verdictOn(untaken({ waitedMs: 110 }), random).kind, 'refuse')
})

test('should tell callers to come back when there should be room, not all at one moment', t => {
  const times = Array.from({ length: 50 }, () => verdictOn(untaken({ forecast: { waitMs: 900, typicalMs: 30 } }), random))
    .map(verdict => (verdict.kind === 'refuse' ? verdict.retryAfterMs : 0))
  t.true(Math.min(...times) >= 900)
  t.true(Math.max(...times) <= 1_800)
  t.true(Math.max(...times) - Math.min(...times) > 450)
})

test('should call a try late by what its service usually takes', t => {
  const durationsMs = Array.from({ length: 100 }, (_value, position) => 20 + position)
  t.is(lateAfterMs(durationsMs, 70), 115)
  t.is(lateAfterMs([20, 25], 30), 90, 'too few to tell')
})
