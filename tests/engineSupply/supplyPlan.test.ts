import test from 'ava'
import { planSupply, type DataCentreSupply } from '../../src/engineSupply/supplyPlan.js'

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
