import test from 'ava'
import { AssignmentRound } from '../../src/batchScheduling/assignmentRound.js'
import { Batch } from '../../src/batches/batch.js'
import { Engine } from '../../src/batchScheduling/engineFleet.js'
import type { ItemRun } from '../../src/batches/itemRun.js'
import { EndpointHealth } from '../../src/endpoints/endpointHealth.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

/**
 * The load behind these tests: four trainers, each with two open steps of a hundred
 * items or more, 31 engines of eight slots, and a store leader whose event loop must
 * not be blocked for half a second.
 */
const SLOTS_COUNT = 8
const TOKENS_PER_EVENT = 50

interface World {
  round: AssignmentRound
  engines: Engine[]
  runs: ItemRun[]
  counts: { engines: number, deferrable: number, health: number }
}

function world (batchesCount: number, itemsCount: number, enginesCount = 31): World {
  const clock = new VirtualClock()
  const counts = { engines: 0, deferrable: 0, health: 0 }
  const engines = Array.from({ length: enginesCount }, (_value, position) => {
    const health = new EndpointHealth({ clock })
    Object.defineProperty(health, 'isSuspect', { get: () => { counts.health++; return false } })
    return new Engine(engine(`e${position}`, 1, { slotsCount: SLOTS_COUNT }), health, clock)
  })
  const runs = Array.from({ length: batchesCount }, (_value, position) => {
    const itemIds = Array.from({ length: itemsCount }, (_item, item) => `b${position}i${item}`)
    const batch = Batch.accepted(submission(`b${position}`, itemIds), 0, 1)
    const times = { dueAtMs: 7_500, abandonAtMs: 40_000, longestEndsAtMs: 7_000 }
    return batch.openItems().map(item => ({ batch, item, times, dueAtMs: 7_500, remainingTokensCount: 500 }) as unknown as ItemRun)
  }).flat()
  const modelEngine = { slotsCount: SLOTS_COUNT, kvCapacityTokens: 60_000, tokensPerEvent: TOKENS_PER_EVENT, models: ['hints-model'] }
  const round = new AssignmentRound({
    nowMs: 0,
    placementOf: () => ({ service: 'engines', modelEngine }),
    enginesOf: () => {
      counts.engines++
      return engines
    },
    deferrableSlotsOf: () => {
      counts.deferrable++
      return 5
    }
  })
  return { round, engines, runs, counts }
}

function assignAll ({ round, runs }: World): number {
  let assignedCount = 0
  for (const run of runs) {
    const chosen = round.engineFor(run, 0)
    if (!chosen) continue
    chosen.addRun(100)
    assignedCount++
  }
  return assignedCount
}

test('should read the engines once per batch, however many items wait', t => {
  const few = world(8, 10)
  const many = world(8, 112)
  assignAll(few)
  assignAll(many)
  t.is(many.counts.engines, 8)
  t.is(many.counts.deferrable, 1)
  t.is(many.counts.health, few.counts.health, 'as many reads for ten times the items')
})

test('should fill no engine beyond the limit for deferrable items, and spread them evenly', t => {
  const all = world(1, 500)
  t.is(assignAll(all), 31 * 5)
  t.deepEqual(new Set(all.engines.map(({ runningCount }) => runningCount)), new Set([5]))
})

test('should give an item that cannot be deferred a slot that deferrable items may not take', t => {
  const all = world(1, 200)
  assignAll(all)
  const [first] = all.runs
  const urgent = { ...first, remainingTokensCount: 150 * TOKENS_PER_EVENT } as unknown as ItemRun
  t.truthy(all.round.engineFor(urgent, 0))
})

/** One engine is free and much slower than all others, which are full, so that long items wait for those. */
function worldBesideSlowEngine (itemsCount: number): World & { readsCount: () => number } {
  const all = world(1, itemsCount)
  let readsCount = 0
  for (const [position, each] of all.engines.entries()) {
    each.pace.recordGap(position === 0 ? 80 : 38)
    let runningCount = position === 0 ? 0 : SLOTS_COUNT
    Object.defineProperty(each, 'runningCount', {
      get: () => {
        readsCount++
        return runningCount
      },
      set: (value: number) => { runningCount = value }
    })
  }
  const runs = all.runs.map(run => ({ ...run, remainingTokensCount: 150 * TOKENS_PER_EVENT }) as unknown as ItemRun)
  return { ...all, runs, readsCount: () => readsCount }
}

test('should compare the engines once, however many items wait for a faster one', t => {
  const few = worldBesideSlowEngine(10)
  const many = worldBesideSlowEngine(1_000)
  t.is(assignAll(few), 0)
  t.is(assignAll(many), 0)
  t.is(many.readsCount(), few.readsCount(), 'as many comparisons for a hundred times the items')
})

test('should compare the engines anew once a slot was taken', t => {
  const { round, runs, engines } = world(1, 3)
  const chosen = runs.map(run => {
    const engineOf = round.engineFor(run, 0)
    engineOf?.addRun(100)
    return engineOf
  })
  t.is(new Set(chosen).size, 3)
  t.true(engines.every(({ runningCount }) => runningCount <= 1))
})

// An engine that had failed several times got one run at a time until that run had ended, so that a step whose other engines were full waited for whole samples.
test('should give an engine that had failed repeatedly its next run as soon as it has begun the last', async t => {
  const clock = new VirtualClock()
  const health = new EndpointHealth({ clock })
  const failed = new Engine(engine('e1', 1, { slotsCount: SLOTS_COUNT }), health, clock)
  const { runs } = world(1, SLOTS_COUNT)
  for (let failure = 0; failure < 4; failure++) {
    await clock.advance(2_000)
    health.failedRequest(`r${failure}`, clock.nowMs())
    health.failedRequest(`r${failure} again`, clock.nowMs() + 1)
  }
  await clock.advance(2_000)
  t.true(health.isHalfOpen)
  const startNext = (): boolean => {
    const round = new AssignmentRound({ nowMs: clock.nowMs(), placementOf: () => ({ service: 'engines', modelEngine: undefined }), enginesOf: () => [failed], deferrableSlotsOf: () => SLOTS_COUNT })
    const chosen = round.engineFor(runs[failed.runningCount] as ItemRun, 0)
    chosen?.addRun(100)
    return chosen !== undefined
  }
  t.true(startNext())
  t.false(startNext(), 'the first run has not begun')
  health.accepted()
  t.true(startNext())
  t.false(startNext(), 'the second run has not begun')
  t.is(failed.runningCount, 2)
})
