import test from 'ava'
import { EnginePace } from '../../src/batches/enginePace.js'
import { StallDetector } from '../../src/batches/stallDetector.js'
import { Scope } from '../../src/utils/scope.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const GAP_MS = 40

async function paceAfter (isOverloaded: () => boolean): Promise<number | undefined> {
  const clock = new VirtualClock()
  const pace = new EnginePace(clock)
  const detector = new StallDetector(clock, pace, new Scope('run'), isOverloaded)
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
