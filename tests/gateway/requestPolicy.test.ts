import test from 'ava'
import { hedgeDelayMs, isTryLate, waitOrRefuse, type UndispatchedRequest } from '../../src/gateway/requestPolicy.js'
import { seededRandom } from '../../src/utils/randomSource.js'

/**
 * The load that these tests represent: short calls of about 30 ms with a deadline
 * of 800 ms, to a service whose endpoints are at times all full or unreachable.
 */
const random = seededRandom(3)

function undispatched (changes: Partial<UndispatchedRequest> = {}): UndispatchedRequest {
  return { forecast: { waitMs: 50, typicalMs: 30 }, waitedMs: 0, remainingMs: 800, ...changes }
}

test('should wait for a slot that will be free in time', t => {
  t.is(waitOrRefuse(undispatched(), random).kind, 'wait')
})

test('should refuse at once what cannot be served in the time that is left', t => {
  t.is(waitOrRefuse(undispatched({ remainingMs: 70 }), random).kind, 'refuse')
  t.is(waitOrRefuse(undispatched({ forecast: { waitMs: 2_000, typicalMs: 30 } }), random).kind, 'refuse')
})

test('should refuse at once when no endpoint is known', t => {
  t.deepEqual(waitOrRefuse(undispatched({ forecast: undefined }), random), { kind: 'refuse', retryAfterMs: 500 })
})

test('should let no request wait longer than twice its forecast, whatever its objective', t => {
  t.is(waitOrRefuse(undispatched({ waitedMs: 90 }), random).kind, 'wait')
  t.is(waitOrRefuse(undispatched({ waitedMs: 110 }), random).kind, 'refuse')
})

test('should ask callers to retry when a slot should be free, spread over time', t => {
  const times = Array.from({ length: 50 }, () => waitOrRefuse(undispatched({ forecast: { waitMs: 900, typicalMs: 30 } }), random))
    .map(verdict => (verdict.kind === 'refuse' ? verdict.retryAfterMs : 0))
  t.true(Math.min(...times) >= 900)
  t.true(Math.max(...times) <= 1_800)
  t.true(Math.max(...times) - Math.min(...times) > 450)
})

test('should count a try as late by the usual durations of its service', t => {
  const durationsMs = Array.from({ length: 100 }, (_value, position) => 20 + position)
  t.is(hedgeDelayMs({ sortedDurationsMs: durationsMs, typicalMs: 70, elsewhereMs: 70 }), 115)
  t.is(hedgeDelayMs({ sortedDurationsMs: [20, 25], typicalMs: 30, elsewhereMs: undefined }), 90, 'too few durations for a quantile')
})

test('should wait longer before a second try while the other endpoints are slow as well, and no less while they are fast', t => {
  const durationsMs = Array.from({ length: 100 }, () => 40)
  t.is(hedgeDelayMs({ sortedDurationsMs: durationsMs, typicalMs: 20, elsewhereMs: 50 }), 100)
  t.is(hedgeDelayMs({ sortedDurationsMs: durationsMs, typicalMs: 20, elsewhereMs: 10 }), 40)
})

test('should count a try as late early when its endpoint is slowed down and another would end before it', t => {
  const open = { sortedDurationsMs: Array.from({ length: 100 }, () => 60), typicalMs: 25, elsewhereMs: 25, elapsedMs: 10, slowdownFactor: 2.5 }
  t.true(isTryLate(open))
  t.false(isTryLate({ ...open, slowdownFactor: 1.4 }), 'hardly slower')
  t.false(isTryLate({ ...open, elapsedMs: 40 }), 'about to end')
  t.false(isTryLate({ ...open, elsewhereMs: undefined }), 'no other endpoint')
  t.true(isTryLate({ ...open, slowdownFactor: 1, elapsedMs: 60 }), 'past the usual durations')
})
