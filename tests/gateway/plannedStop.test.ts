import test from 'ava'
import { PlannedStop } from '../../src/gateway/plannedStop.js'

const ENDS_AT_MS = 10_000

function stopping (durationsMs: number[]): PlannedStop {
  const stop = new PlannedStop()
  for (const durationMs of durationsMs) stop.recordDuration('open', durationMs)
  stop.begin(ENDS_AT_MS)
  return stop
}

test('should serve every request of a host that does not stop', t => {
  const stop = new PlannedStop()
  t.true(stop.canServe('open', 0, 1_000_000))
  t.false(stop.isStopping)
})

test('should serve a request whose own time is over before the host ends, however long it may take', t => {
  t.true(stopping([]).canServe('open', 9_000, ENDS_AT_MS))
  t.false(stopping([]).canServe('open', 9_000, ENDS_AT_MS + 1))
})

test('should serve a request with more time only if its route has usually taken far less than what is left', t => {
  const stop = stopping([40, 50, 300, 60, 45])
  t.true(stop.canServe('open', 9_000, 20_000))
  t.false(stop.canServe('open', 9_200, 20_000))
  t.false(stop.canServe('other', 9_000, 20_000), 'nothing is known of this route')
  t.false(stopping([40, 50]).canServe('open', 9_000, 20_000), 'two requests show little')
})

// Only answered requests told how long a route takes, so that one whose endpoints had slowed down went on to look fast.
test('should count a request that an endpoint has as one that takes as long, until it has ended', t => {
  const stop = stopping([40, 50, 30, 60, 45])
  const ends = [7_000, 9_000].map(sentAtMs => stop.noteSent('open', sentAtMs))
  t.false(stop.canServe('open', 9_000, 20_000))
  t.true(stop.canServe('open', 7_500, 20_000), 'a quarter of a second')
  ends[0]?.()
  t.true(stop.canServe('open', 9_100, 20_000))
  ends[1]?.()
  t.true(stop.canServe('open', 9_800, 20_000))
})
