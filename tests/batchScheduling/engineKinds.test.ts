import test from 'ava'
import { Engine } from '../../src/batchScheduling/engineFleet.js'
import { kindsOf } from '../../src/batchScheduling/engineKinds.js'
import { EndpointHealth } from '../../src/endpoints/endpointHealth.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const SLOTS_COUNT = 6

async function run (clock: VirtualClock, engines: ReadonlyArray<{ engine: Engine, gapMs: number }>, forMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
    await clock.advance(100)
    for (const { engine: each, gapMs } of engines) {
      for (let gap = 0; gap < 4; gap++) each.pace.recordGap(gapMs)
    }
  }
}

function named (endpointId: string, clock: VirtualClock): Engine {
  return new Engine(engine(endpointId, 1, { slotsCount: SLOTS_COUNT }), new EndpointHealth({ clock }), clock)
}

test('should group engines by their lasting pace, and leave out those that have not shown it', async t => {
  const clock = new VirtualClock()
  const gapsMs = [55, 25, 26, 58, 54]
  const engines = gapsMs.map((gapMs, position) => ({ engine: named(`e${position}`, clock), gapMs }))
  await run(clock, engines, 3_000)
  const kinds = kindsOf([...engines.map(each => each.engine), named('e9', clock)])
  t.deepEqual(kinds.map(kind => kind.engines.map(({ id }) => id)), [['e1', 'e2'], ['e4', 'e0', 'e3']])
  t.deepEqual(kinds.map(({ gapMs }) => Math.round(gapMs)), [26, 56])
  t.true((kinds[0]?.eventsPerMs ?? 0) > (kinds[1]?.eventsPerMs ?? 0))
})

test('should count engines as of one kind that differ by their load only', async t => {
  const clock = new VirtualClock()
  const engines = [37, 39, 42].map((gapMs, position) => ({ engine: named(`e${position}`, clock), gapMs }))
  await run(clock, engines, 3_000)
  t.is(kindsOf(engines.map(each => each.engine)).length, 1)
})

test('should keep an engine in its kind while it is slowed down', async t => {
  const clock = new VirtualClock()
  const slowed = named('e1', clock)
  const other = named('e2', clock)
  await run(clock, [{ engine: slowed, gapMs: 38 }, { engine: other, gapMs: 38 }], 10_000)
  await run(clock, [{ engine: slowed, gapMs: 130 }, { engine: other, gapMs: 38 }], 8_000)
  t.is(kindsOf([slowed, other]).length, 1)
  t.true(slowed.pace.isSlowed)
})

// Engines whose machines are shared with other programs were left by their runs for moments of 600 ms.
test('should not take momentary slowness for lasting', async t => {
  const clock = new VirtualClock()
  const shared = named('e1', clock)
  await run(clock, [{ engine: shared, gapMs: 50 }], 5_000)
  for (let moment = 0; moment < 5; moment++) {
    for (let passedMs = 0; passedMs < 600; passedMs += 100) {
      await run(clock, [{ engine: shared, gapMs: 125 }], 100)
      t.false(shared.pace.isSlowed)
      t.true((shared.pace.lastingGapMs ?? 0) <= 1.15 * 50)
    }
    await run(clock, [{ engine: shared, gapMs: 50 }], 1_000)
  }
  await run(clock, [{ engine: shared, gapMs: 125 }], 2_000)
  t.true(shared.pace.isSlowed)
  t.true((shared.pace.lastingGapMs ?? 0) > 120)
})
