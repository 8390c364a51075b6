import test from 'ava'
import { LoadReason, nextLoad, setSizes, type LoadCapacity, type PlannedEngine, type PlannedModel } from '../../src/batches/weightPlanner.js'

/**
 * Modelled load: several models in training share the engines of one service, each
 * trainer names a version about every four seconds, a load takes about one second,
 * and the weight store sustains two at a time: eight loads in the time in which
 * every engine would need one of each model.
 */
const CAPACITY: LoadCapacity = { lanesCount: 2, loadMs: 1_000 }
const SLOTS_COUNT = 12

interface EngineChanges extends Partial<Omit<PlannedEngine, 'versionOf'>> {
  versions?: Record<string, number>
}

function engineNamed (engineId: string, { versions = {}, ...changes }: EngineChanges = {}): PlannedEngine {
  return {
    engineId,
    isAvailable: true,
    isFailing: false,
    acceptsOrders: true,
    gapMs: 40,
    slotsCount: SLOTS_COUNT,
    freeSlotsCount: SLOTS_COUNT,
    versionOf: model => versions[model] ?? 1,
    ...changes
  }
}

function modelNamed (model: string, changes: Partial<PlannedModel> = {}): PlannedModel {
  return { model, namedVersion: 1, neededVersion: 1, waitingCount: 0, stepItemsCount: 48, versionIntervalMs: 4_000, ...changes }
}

function enginesHolding (count: number, versions: Record<string, number>): PlannedEngine[] {
  return Array.from({ length: count }, (_value, position) => engineNamed(`e${position}`, { versions }))
}

/** Completes each planned load at once, until none is needed. */
function loadsUntilNoneNeeded (engines: PlannedEngine[], models: PlannedModel[], capacity = CAPACITY) {
  const loads = []
  for (let load = nextLoad(engines, models, capacity); load; load = nextLoad(engines, models, capacity)) {
    const { engineId, model, version } = load
    loads.push(load)
    if (loads.length > 100) throw new Error('the planner still wants loads after 100')
    const engine = engines.find(other => other.engineId === engineId)
    if (!engine) throw new Error(`unknown engine ${engineId}`)
    const { versionOf } = engine
    engine.versionOf = requestedModel => (requestedModel === model ? version : versionOf(requestedModel))
  }
  return loads
}

test('should give the next load to the model with the fewest engines, not to one that has enough', t => {
  const engines = [
    ...enginesHolding(2, { a: 5, b: 5, c: 3 }),
    engineNamed('x', { versions: { a: 5, b: 3, c: 3 } }),
    engineNamed('y', { versions: { a: 3, b: 3, c: 3 } })
  ]
  const models = ['a', 'b', 'c'].map(model => modelNamed(model, { namedVersion: 5, neededVersion: 4 }))
  const load = nextLoad(engines, models, CAPACITY)
  t.is(load?.model, 'c')
  t.is(load?.version, 5)
})

test('should serve items that wait before sets that are only incomplete', t => {
  const engines = [
    engineNamed('full', { versions: { a: 5, b: 3 }, freeSlotsCount: 0 }),
    ...enginesHolding(3, { a: 3, b: 3 })
  ]
  const models = [modelNamed('a', { namedVersion: 5, neededVersion: 4, waitingCount: 9 }), modelNamed('b', { namedVersion: 5, neededVersion: 4 })]
  const load = nextLoad(engines, models, CAPACITY)
  t.is(load?.model, 'a')
  t.is(load?.reason, LoadReason.ItemsWait)
})

test('should plan no more loads than the store sustains while a version is current', t => {
  const models = ['a', 'b', 'c'].map(model => modelNamed(model, { namedVersion: 5, neededVersion: 4 }))
  const engines = enginesHolding(8, { a: 4, b: 4, c: 4 })
  const loads = loadsUntilNoneNeeded(engines, models)
  const sustainableCount = 4_000 * CAPACITY.lanesCount / CAPACITY.loadMs
  t.true(loads.length >= models.length, `${loads.length} loads`)
  t.true(loads.length <= sustainableCount, `${loads.length} loads of ${sustainableCount}`)
})

test('should keep larger sets of engines if the store sustains more loads, and none larger than the work needs', t => {
  const engines = enginesHolding(31, {})
  const models = ['a', 'b', 'c', 'd'].map(model => modelNamed(model, { namedVersion: 5, neededVersion: 4, stepItemsCount: 96 }))
  const few = setSizes(engines, models, CAPACITY)
  const many = setSizes(engines, models, { lanesCount: 9, loadMs: 1_000 })
  few.forEach((size, position) => t.true(size < (many[position] ?? 0), `${size} and ${many[position]}`))
  const idle = setSizes(engines, [modelNamed('a', { stepItemsCount: 4, versionIntervalMs: 240_000 })], CAPACITY)
  t.true((idle[0] ?? 31) <= 2, `${idle[0]} engines for four items`)
})

test('should use every engine when one model alone has work for all of them', t => {
  const engines = enginesHolding(8, { a: 3 })
  const models = [modelNamed('a', { namedVersion: 5, neededVersion: 4, stepItemsCount: 108 })]
  t.deepEqual(setSizes(engines, models, CAPACITY), [8])
  t.is(loadsUntilNoneNeeded(engines, models).length, 8)
})

test('should bring half of a set to a new version when the other half remains usable for one more step', t => {
  const engines = enginesHolding(8, { a: 4 })
  const models = [modelNamed('a', { namedVersion: 5, neededVersion: 4, stepItemsCount: 108 })]
  const loads = loadsUntilNoneNeeded(engines, models)
  t.is(loads.length, 4)
  t.true(loads.every(({ reason }) => reason === LoadReason.NextVersion))
})

test('should load fast engines first, and none that is too slow for long samples', t => {
  const slow = engineNamed('slow', { gapMs: 52, versions: { a: 3 } })
  const crawling = engineNamed('crawling', { gapMs: 140, versions: { a: 3 } })
  const fast = engineNamed('fast', { gapMs: 38, versions: { a: 3 } })
  const models = [modelNamed('a', { namedVersion: 5, neededVersion: 4 })]
  const loads = loadsUntilNoneNeeded([crawling, slow, fast], models)
  t.deepEqual(loads.map(({ engineId }) => engineId), ['fast', 'slow'])
})

// Engines that are 2.2 times slower than the fastest ones by nature, three quarters of all, got no weights, so that the others ran nearly everything.
test('should load engines that are slower by nature, but none that is slowed down', t => {
  const fast = engineNamed('fast', { gapMs: 25, baselineGapMs: 25, versions: { a: 3 } })
  const slow = engineNamed('slow', { gapMs: 55, baselineGapMs: 55, versions: { a: 3 } })
  const slowed = engineNamed('slowed', { gapMs: 120, baselineGapMs: 55, versions: { a: 3 } })
  const crawling = engineNamed('crawling', { gapMs: 140, baselineGapMs: 140, versions: { a: 3 } })
  const models = [modelNamed('a', { namedVersion: 5, neededVersion: 4, stepItemsCount: 108 })]
  const loads = loadsUntilNoneNeeded([crawling, slowed, slow, fast], models)
  t.deepEqual(loads.map(({ engineId }) => engineId), ['fast', 'slow'])
})

test('should spread models over engines rather than concentrate them on one', t => {
  const engines = [engineNamed('shared', { versions: { a: 3, b: 5, c: 5 } }), engineNamed('own', { versions: { a: 3, b: 3, c: 3 } })]
  const models = ['a', 'b', 'c'].map(model => modelNamed(model, { namedVersion: 5, neededVersion: 4, stepItemsCount: model === 'a' ? 48 : 1 }))
  t.deepEqual(nextLoad(engines, models, CAPACITY)?.engineId, 'own')
})

test('should not count an engine that is suspected or very slow towards its model', t => {
  const engines = [
    engineNamed('suspect', { isAvailable: false, versions: { a: 5 } }),
    engineNamed('crawling', { gapMs: 140, versions: { a: 5 } }),
    engineNamed('sound', { versions: { a: 3 } })
  ]
  const load = nextLoad(engines, [modelNamed('a', { namedVersion: 5, neededVersion: 4 })], CAPACITY)
  t.is(load?.engineId, 'sound')
})

test('should order no engine that is loading, and plan nothing when every engine is up to date', t => {
  const models = [modelNamed('a', { namedVersion: 5, neededVersion: 4 })]
  t.is(nextLoad([engineNamed('e1', { acceptsOrders: false, versions: { a: 3 } })], models, CAPACITY), undefined)
  t.is(nextLoad(enginesHolding(3, { a: 5 }), models, CAPACITY), undefined)
  t.is(nextLoad([], models, CAPACITY), undefined)
})

// An engine that failed all runs always had free slots, and got the loads that the others needed.
test('should not count a failing engine for a model, and load nothing there while others are usable', t => {
  const failing = engineNamed('failing', { isFailing: true, versions: { a: 5 } })
  const busy = enginesHolding(6, { a: 3 }).map(engine => ({ ...engine, freeSlotsCount: 1 }))
  const loads = loadsUntilNoneNeeded([failing, ...busy], [modelNamed('a', { namedVersion: 5, neededVersion: 5 })], { lanesCount: 9, loadMs: 1_000 })
  t.true(loads.length > 0)
  t.false(loads.some(({ engineId }) => engineId === 'failing'))
})

test('should load on failing engines when all engines fail', t => {
  const engines = enginesHolding(3, { a: 3 }).map(engine => ({ ...engine, isFailing: true }))
  t.truthy(nextLoad(engines, [modelNamed('a', { namedVersion: 5, neededVersion: 5 })], CAPACITY))
})
