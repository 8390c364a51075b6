import test from 'ava'
import { Engine } from '../../src/batchScheduling/engineFleet.js'
import { MovePolicy, MoveReason } from '../../src/batchScheduling/movePolicy.js'
import type { SchedulableItem } from '../../src/batchScheduling/schedulableItem.js'
import { EndpointHealth } from '../../src/endpoints/endpointHealth.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const FAST_GAP_MS = 66
const SLOW_GAP_MS = 144

interface Rest { expectedCount: number, allowedCount?: number, engine: Engine | undefined }

class MoveWorld {
  readonly clock = new VirtualClock()
  readonly fast = this._engine('fast', FAST_GAP_MS)
  readonly slow = this._engine('slow', SLOW_GAP_MS)
  readonly runs = new Set<SchedulableItem>()
  isForecast = true
  private readonly _batch = { batchId: 'b1', submission: { itemsCount: 20 } }
  private readonly _rests = new Map<SchedulableItem, Rest>()
  readonly policy = new MovePolicy({
    clock: this.clock,
    runs: this.runs,
    expectedRestCount: run => this._rests.get(run)?.expectedCount ?? 0,
    allowedRestCount: run => this._rests.get(run)?.allowedCount ?? this._rests.get(run)?.expectedCount ?? 0,
    isForecast: () => this.isForecast,
    fastestGapMs: () => FAST_GAP_MS
  })

  add (rest: Rest): SchedulableItem {
    const run = { batch: this._batch, engine: rest.engine, isStarted: rest.engine !== undefined } as unknown as SchedulableItem
    this.runs.add(run)
    this._rests.set(run, rest)
    return run
  }

  private _engine (endpointId: string, gapMs: number): Engine {
    const result = new Engine(engine(endpointId, 1), new EndpointHealth({ clock: this.clock }), this.clock)
    for (let gap = 0; gap < 10; gap++) result.pace.recordGap(gapMs)
    return result
  }
}

test('should move only a run that ends after its step could have ended', t => {
  const world = new MoveWorld()
  world.add({ expectedCount: 40, engine: world.fast })
  const holdingUp = world.add({ expectedCount: 30, engine: world.slow })
  const short = world.add({ expectedCount: 10, engine: world.slow })
  t.true(world.policy.movable().has(holdingUp))
  t.false(world.policy.movable().has(short), 'it ends while the longest item still runs')
})

test('should move no run of a step whose longest item waits for an engine', t => {
  const world = new MoveWorld()
  world.add({ expectedCount: 90, engine: undefined })
  const run = world.add({ expectedCount: 30, engine: world.slow })
  t.false(world.policy.movable().has(run))
})

// The first step after a change of leader: one hint that was far too high kept long runs on slow engines to their end.
test('should not let one hint that is far too high hold all other runs where they are', t => {
  const world = new MoveWorld()
  world.isForecast = false
  world.add({ expectedCount: 120, engine: world.fast })
  for (let item = 0; item < 18; item++) world.add({ expectedCount: 10, engine: world.fast })
  const run = world.add({ expectedCount: 30, engine: world.slow })
  t.true(world.policy.movable().has(run))
})

test('should move a run that has come much further than its hint', t => {
  const world = new MoveWorld()
  world.add({ expectedCount: 20, engine: world.fast })
  const run = world.add({ expectedCount: 6, allowedCount: 15, engine: world.slow })
  t.true(world.policy.movable().has(run))
})

test('should move a run three times at most', async t => {
  const world = new MoveWorld()
  const run = world.add({ expectedCount: 40, engine: world.slow })
  let movesCount = 0
  for (let check = 0; check < 10; check++) {
    if (world.policy.movable().has(run)) {
      movesCount++
      world.policy.recordMove(run)
      t.false(world.policy.movable().has(run), 'it is under way')
    }
    await world.clock.advance(300)
  }
  t.is(movesCount, 3)
})

test('should judge all runs together a few times a second, however often it is asked', async t => {
  const world = new MoveWorld()
  for (let run = 0; run < 400; run++) world.add({ expectedCount: 20, engine: world.slow })
  const first = world.policy.movable()
  t.is(world.policy.movable(), first)
  await world.clock.advance(300)
  t.not(world.policy.movable(), first)
})

test('should tell a run that was placed too low from one whose engine has become slow', async t => {
  const world = new MoveWorld()
  t.is(world.policy.reasonFor(world.slow), MoveReason.LongerThanExpected)
  const { slow, clock } = world
  for (let passedMs = 0; passedMs < 12_000; passedMs += 100) {
    await clock.advance(100)
    for (let gap = 0; gap < 4; gap++) slow.pace.recordGap(passedMs < 9_000 ? SLOW_GAP_MS : 4 * SLOW_GAP_MS)
  }
  t.is(world.policy.reasonFor(slow), MoveReason.EngineSlowed)
})
