import test from 'ava'
import { hedgeDelayMs, waitOrRefuse, type UndispatchedRequest } from '../../src/gateway/requestPolicy.js'
import { seededRandom } from '../../src/utils/randomSource.js'

/**
 * The load that these tests stand for: short calls of some 30 ms with a
 * deadline of 800 ms, answered in waves by a service whose endpoints are now
 * and then all full or gone.
 */
const random = seededRandom(3)

function untaken (changes: Partial<UndispatchedRequest> = {}): UndispatchedRequest {
  return { forecast: { waitMs: 50, typicalMs: 30 }, waitedMs: 0, remainingMs: 800, ...changes }
}

test('should wait for room that comes in time', t => {
  t.is(waitOrRefuse(untaken(), random).kind, 'wait')
})

test('should refuse at once what cannot be served in the time that is left', t => {
  t.is(waitOrRefuse(untaken({ remainingMs: 70 }), random).kind, 'refuse')
  t.is(waitOrRefuse(untaken({ forecast: { waitMs: 2_000, typicalMs: 30 } }), random).kind, 'refuse')
})

test('should refuse at once when no endpoint is known', t => {
  t.deepEqual(waitOrRefuse(untaken({ forecast: undefined }), random), { kind: 'refuse', retryAfterMs: 500 })
})

test('should hold nothing longer than twice what was forecast, whatever its objective', t => {
  t.is(waitOrRefuse(untaken({ waitedMs: 90 }), random).kind, 'wait')
  t.is(waitOrRefuse(untaken({ waitedMs: 110 }), random).kind, 'refuse')
})

test('should tell callers to come back when there should be room, not all at one moment', t => {
  const times = Array.from({ length: 50 }, () => waitOrRefuse(untaken({ forecast: { waitMs: 900, typicalMs: 30 } }), random))
    .map(verdict => (verdict.kind === 'refuse' ? verdict.retryAfterMs : 0))
  t.true(Math.min(...times) >= 900)
  t.true(Math.max(...times) <= 1_800)
  t.true(Math.max(...times) - Math.min(...times) > 450)
})

test('should call a try late by what its service usually takes', t => {
  const durationsMs = Array.from({ length: 100 }, (_value, position) => 20 + position)
  t.is(hedgeDelayMs(durationsMs, 70), 115)
  t.is(hedgeDelayMs([20, 25], 30), 90, 'too few to tell')
})
