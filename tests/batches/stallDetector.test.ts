import test from 'ava'
import { EnginePace } from '../../src/batchScheduling/enginePace.js'
import { FirstEventTimes } from '../../src/batches/firstEventTimes.js'
import { StallDetector } from '../../src/batches/stallDetector.js'
import { Scope } from '../../src/utils/scope.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const GAP_MS = 40

async function paceAfter (isOverloaded: () => boolean): Promise<number | undefined> {
  const clock = new VirtualClock()
  const pace = new EnginePace(clock)
  const detector = new StallDetector(clock, pace, new FirstEventTimes(), new Scope('run'), isOverloaded)
  for (let event = 0; event < 5; event++) {
    await clock.advance(GAP_MS)
    detector.recordEvent()
  }
  return pace.currentGapMs
}

test('should learn the pace of an engine from the gaps between its events', async t => {
  t.is(await paceAfter(() => false), GAP_MS)
})

test('should not learn the pace of an engine from events that an overloaded host reads late', async t => {
  t.is(await paceAfter(() => true), undefined)
})

/** When a run without any event is ended, after earlier runs that took this long to their first events. */
async function endedAfterMs (firstEventsMs: readonly number[]): Promise<number> {
  const clock = new VirtualClock()
  const times = new FirstEventTimes()
  for (const tookMs of firstEventsMs) times.record(tookMs)
  const scope = new Scope('run')
  const detector = new StallDetector(clock, new EnginePace(clock), times, scope, () => false)
  while (!scope.isClosed && detector.eventsCount === 0) await clock.advance(10)
  return clock.nowMs()
}

// An engine that accepted a run and never began it was given up after 900 ms, whatever its usual time: after the loss of a host, too late for a step.
test('should give up an engine that does not begin a run soon, where others begin at once', async t => {
  t.is(await endedAfterMs([120, 140, 130]), 600)
})

test('should wait longer for an engine that does not begin a run, where runs wait for each other or none was seen', async t => {
  t.is(await endedAfterMs([]), 900)
  t.is(await endedAfterMs([120, 190, 130]), 760)
  t.is(await endedAfterMs([40, 2_000]), 900)
  t.is(await endedAfterMs([2_000, ...Array.from({ length: 32 }, () => 40)]), 600)
})
