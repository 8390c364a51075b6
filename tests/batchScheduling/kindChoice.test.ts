import test from 'ava'
import { AssignmentRound } from '../../src/batchScheduling/assignmentRound.js'
import { Engine } from '../../src/batchScheduling/engineFleet.js'
import type { EngineKind } from '../../src/batchScheduling/engineKinds.js'
import type { SchedulableItem } from '../../src/batchScheduling/schedulableItem.js'
import { EndpointHealth } from '../../src/endpoints/endpointHealth.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

/**
 * The load behind these tests: one engine in four is at 0.55 of the usual time per
 * event and the others at 1.2; a step has more items than slots, of which a tenth is
 * long. Short items have seconds to spare.
 */
const SLOTS_COUNT = 6
const TOKENS_PER_EVENT = 50
const DEFERRABLE_SLOTS_COUNT = 4
const FAST_GAP_MS = 25
const SLOW_GAP_MS = 55
const LONG_EVENTS_COUNT = 100
const SHORT_EVENTS_COUNT = 10

class KindWorld {
  readonly fast: Engine[]
  readonly slow: Engine[]
  groupEngines: Engine[] = []
  readsCount = 0
  private readonly _clock = new VirtualClock()
  private readonly _batch = { batchId: 'b1', submission: { minVersion: 1 } }
  private _round: AssignmentRound | undefined

  constructor (fastCount = 1, slowCount = 3) {
    this.fast = this._engines('fast', fastCount)
    this.slow = this._engines('slow', slowCount)
  }

  /** Starts an item if the round gives it an engine. */
  start (eventsCount: number, { waitedMs = 0, isUrgent = false } = {}): Engine | undefined {
    const chosen = this.round().engineFor(this._item(eventsCount, isUrgent), waitedMs)
    chosen?.addRun(100)
    return chosen
  }

  fill (engines: readonly Engine[], runsCount = SLOTS_COUNT): void {
    for (const each of engines) {
      while (each.runningCount < runsCount) each.addRun(100)
    }
    this._round = undefined
  }

  round (): AssignmentRound {
    const isLong = (run: SchedulableItem): boolean => run.remainingTokensCount >= LONG_EVENTS_COUNT * TOKENS_PER_EVENT
    this._round ??= new AssignmentRound({
      nowMs: 0,
      placementOf: () => ({ service: 'engines', modelEngine: { slotsCount: SLOTS_COUNT, kvCapacityTokens: 60_000, tokensPerEvent: TOKENS_PER_EVENT, models: ['m'] } }),
      enginesOf: () => [...this.fast, ...this.slow],
      deferrableSlotsOf: () => DEFERRABLE_SLOTS_COUNT,
      kindChoice: {
        kindsOf: () => [kindOf(FAST_GAP_MS, this.fast), kindOf(SLOW_GAP_MS, this.slow)],
        startingKindOf: run => (isLong(run) ? { gapMs: FAST_GAP_MS, neededGapMs: FAST_GAP_MS } : { gapMs: SLOW_GAP_MS, neededGapMs: SLOW_GAP_MS }),
        enginesOfGroup: () => this.groupEngines
      }
    })
    return this._round
  }

  private _item (eventsCount: number, isUrgent: boolean): SchedulableItem {
    const times = { dueAtMs: 7_500, abandonAtMs: 40_000, longestEndsAtMs: isUrgent ? 0 : 7_000 }
    return { batch: this._batch, item: { model: 'm' }, times, dueAtMs: 7_500, remainingTokensCount: eventsCount * TOKENS_PER_EVENT } as unknown as SchedulableItem
  }

  private _engines (name: string, count: number): Engine[] {
    return Array.from({ length: count }, (_value, position) => {
      const result = new Engine(engine(`${name}${position}`, 1, { slotsCount: SLOTS_COUNT }), new EndpointHealth({ clock: this._clock }), this._clock)
      let runningCount = 0
      Object.defineProperty(result, 'runningCount', {
        get: () => {
          this.readsCount++
          return runningCount
        },
        set: (value: number) => { runningCount = value }
      })
      return result
    })
  }
}

function kindOf (gapMs: number, engines: Engine[]): EngineKind {
  return { gapMs, engines, eventsPerMs: engines.length * SLOTS_COUNT / gapMs }
}

test('should start long items on the fast kind, and spread short ones over the slow one', t => {
  const world = new KindWorld()
  t.true(world.fast.includes(world.start(LONG_EVENTS_COUNT) as Engine))
  const chosen = Array.from({ length: 12 }, () => world.start(SHORT_EVENTS_COUNT))
  t.true(chosen.every(each => world.slow.includes(each as Engine)))
  t.deepEqual(world.slow.map(({ runningCount }) => runningCount), [4, 4, 4])
})

test('should leave half of a fast engine to long items, and no engine idle', t => {
  const world = new KindWorld()
  world.fill(world.slow, DEFERRABLE_SLOTS_COUNT)
  for (let item = 0; item < 3; item++) t.is(world.start(SHORT_EVENTS_COUNT), world.fast[0])
  t.is(world.start(SHORT_EVENTS_COUNT), undefined)
  for (let item = 0; item < 3; item++) t.is(world.start(LONG_EVENTS_COUNT), world.fast[0])
})

test('should give a short item that cannot wait any free slot', t => {
  const world = new KindWorld()
  world.fill(world.slow)
  for (let item = 0; item < SLOTS_COUNT; item++) t.is(world.start(SHORT_EVENTS_COUNT, { isUrgent: true }), world.fast[0])
})

test('should let a long item wait for the fast kind for a bounded time only', t => {
  const world = new KindWorld()
  world.fill(world.fast)
  t.is(world.start(LONG_EVENTS_COUNT, { waitedMs: 1_000 }), undefined)
  t.true(world.slow.includes(world.start(LONG_EVENTS_COUNT, { waitedMs: 1_600 }) as Engine))
})

test('should start a long item at once when no engine of the fast kind has its weights', t => {
  const world = new KindWorld()
  for (const each of world.fast) each.load = { model: 'm', version: 0 }
  t.true(world.slow.includes(world.start(LONG_EVENTS_COUNT) as Engine))
})

test('should wait for the fast kind while it loads the weights of the item', t => {
  const world = new KindWorld()
  for (const each of world.fast) each.load = { model: 'm', version: 2 }
  t.is(world.start(LONG_EVENTS_COUNT), undefined)
})

test('should prefer an engine that has run an item of the group, among equally busy ones', t => {
  const world = new KindWorld()
  world.groupEngines = [world.slow[2] as Engine]
  t.is(world.start(SHORT_EVENTS_COUNT), world.slow[2])
  t.is(world.start(SHORT_EVENTS_COUNT), world.slow[2], 'an item that has time makes do with one run more')
  t.not(world.start(SHORT_EVENTS_COUNT), world.slow[2])
})

test('should compare the engines of a hundred once, however many items wait for the fast kind', t => {
  const [few, many] = [50, 500].map(itemsCount => {
    const world = new KindWorld(25, 75)
    world.fill(world.fast)
    world.readsCount = 0
    for (let item = 0; item < itemsCount; item++) t.is(world.start(LONG_EVENTS_COUNT), undefined)
    return world.readsCount
  })
  t.is(many, few)
})
