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
