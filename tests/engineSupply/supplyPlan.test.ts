import test from 'ava'
import { neededEnginesCount, planSupply, type DataCentreSupply, type SupplyNeed, type WorkForecast } from '../../src/engineSupply/supplyPlan.js'

const scaling = { minCount: 1, maxCount: 15, bootMs: 4_000, reclaimablePrice: 0.15, prices: { north: 1, south: 0.8 } }

function place (dataCentre: string, changes: Partial<DataCentreSupply> = {}): DataCentreSupply {
  return { dataCentre, permanentCount: 8, orderedPermanentCount: undefined, isOutOfCapacity: false, ...changes }
}

test('should leave the number of engines unchanged where none are reclaimable', t => {
  const { reclaimablePrice, ...without } = scaling
  t.deepEqual(planSupply([place('north')], without, { itemsCount: 900, slotsCount: 8 }), [{ dataCentre: 'north', permanentCount: 8, reclaimableCount: 0 }])
})

test('should replace missing engines by reclaimable ones, spread over the data centres', t => {
  const planned = planSupply([place('north', { permanentCount: 5, orderedPermanentCount: 8 }), place('south', { permanentCount: 7, orderedPermanentCount: 7 })], scaling, { itemsCount: 160, slotsCount: 8 })
  t.deepEqual(planned.map(({ permanentCount, reclaimableCount }) => [permanentCount, reclaimableCount]), [[8, 4], [7, 4]])
})

// Guards against more runs than the leader of the batch store can read events of, which made it lose its leadership at each step.
test('should order no more engines than one leader can use, however many items there are', t => {
  const enough = ['a', 'b', 'c', 'd'].map(name => place(name))
  for (const itemsCount of [undefined, 960]) t.true(planSupply(enough, scaling, { itemsCount, slotsCount: 8 }).every(({ reclaimableCount }) => reclaimableCount === 0))
})

test('should stay within the limit of a data centre, and order elsewhere when one has no capacity', t => {
  const full = planSupply([place('north', { permanentCount: 1, orderedPermanentCount: 14 }), place('south', { permanentCount: 0, orderedPermanentCount: 15 })], scaling, { itemsCount: 960, slotsCount: 8 })
  t.deepEqual(full.map(({ permanentCount, reclaimableCount }) => permanentCount + reclaimableCount), [15, 15])
  const dry = planSupply([place('north', { permanentCount: 4, isOutOfCapacity: true }), place('south', { permanentCount: 4 })], scaling, { itemsCount: 80, slotsCount: 8 })
  t.deepEqual(dry.map(({ reclaimableCount }) => reclaimableCount), [0, 2])
})

test('should keep the ordered number of engines while some are down', t => {
  const [planned] = planSupply([place('north', { permanentCount: 3, orderedPermanentCount: 8 })], scaling, { itemsCount: 0, slotsCount: 8 })
  t.is(planned?.permanentCount, 8)
})

test('should order within the bounds of a data centre', t => {
  const [planned] = planSupply([place('north', { permanentCount: 0, orderedPermanentCount: undefined })], scaling, { itemsCount: 0, slotsCount: 8 })
  t.is(planned?.permanentCount, 1)
})

/** Three trainers with 408 items every four seconds before engines of six slots: 102 slots are busy on average. */
const steps = [136, 160, 112].map(itemsCount => ({ itemsCount, itemMs: 1_000, intervalMs: 4_000 }))

function forecastNeed (changes: Partial<WorkForecast> = {}): SupplyNeed {
  return { itemsCount: 816, slotsCount: 6, forecast: { steps, openWorkMs: 100_000, presentSlotsCount: 264, ...changes } }
}

function counts (supplies: DataCentreSupply[], need: SupplyNeed): number[] {
  return planSupply(supplies, { ...scaling, prices: { north: 1, south: 0.8, west: 1.2 } }, need).map(({ reclaimableCount }) => reclaimableCount)
}

test('should order nothing while the engines that are there carry the expected work', t => {
  t.deepEqual(counts([place('north', { permanentCount: 8 }), place('south', { permanentCount: 8 }), place('west', { permanentCount: 7 })], forecastNeed()), [0, 0, 0])
})

test('should order what the expected work lacks, and what one data centre can take back at once', t => {
  const planned = counts([place('north', { permanentCount: 6 }), place('south', { permanentCount: 6 }), place('west', { permanentCount: 4 })], forecastNeed())
  const total = planned.reduce((sum, count) => sum + count, 0)
  t.is(Math.floor(102 / 0.75 / 6) - 16, 6)
  t.true(total - Math.max(...planned) >= 6, `${planned.join(', ')}`)
  t.true(total <= 6 + 3, `${planned.join(', ')}`)
})

test('should order the cheaper of equally exposed engines first', t => {
  const planned = counts([place('north', { permanentCount: 7 }), place('south', { permanentCount: 7 }), place('west', { permanentCount: 6 })], forecastNeed())
  t.deepEqual(planned, [1, 1, 1])
  t.deepEqual(counts([place('north', { permanentCount: 7 }), place('south', { permanentCount: 7 }), place('west', { permanentCount: 7 })], forecastNeed()), [1, 1, 0])
})

// A data centre takes back all of its reclaimable engines at once, and has none for some seconds.
test('should order elsewhere, and as many as before, when one data centre takes its engines back', t => {
  const dry = counts([place('north', { permanentCount: 6, isOutOfCapacity: true }), place('south', { permanentCount: 6 }), place('west', { permanentCount: 4 })], forecastNeed())
  t.is(dry[0], 0)
  t.true((dry[1] ?? 0) + (dry[2] ?? 0) >= 6)
})

test('should keep no reserve where reclaimable engines cost nearly as much as others', t => {
  const planned = planSupply([place('north', { permanentCount: 7 }), place('south', { permanentCount: 7 })], { ...scaling, reclaimablePrice: 0.9 }, forecastNeed())
  t.is(planned.reduce((sum, { reclaimableCount }) => sum + reclaimableCount, 0), 8)
})

test('should order for open work that the present engines cannot finish while others start', t => {
  const few = [place('north', { permanentCount: 12 }), place('south', { permanentCount: 12 })]
  t.deepEqual(counts(few, forecastNeed({ presentSlotsCount: 144 })), [0, 0])
  const planned = counts(few, forecastNeed({ presentSlotsCount: 144, openWorkMs: 144 * 4_000 + 240_000 }))
  t.is(planned.reduce((sum, count) => sum + count, 0), 6, 'three for 240 s of work within 8 s, and three in reserve')
})

test('should order no engines for more items than a leader can write', t => {
  const many = steps.map(step => ({ ...step, itemsCount: 10 * step.itemsCount }))
  t.is(neededEnginesCount(forecastNeed({ steps: many, openWorkMs: 0 }), scaling.bootMs), Math.floor(240 / 0.75 / 6))
})
