import test from 'ava'
import { planSupply, type SuppliedPlace } from '../../src/engineSupply/supplyPlan.js'

const scaling = { minCount: 1, maxCount: 15, bootMs: 4_000, reclaimablePrice: 0.15, prices: { north: 1, south: 0.8 } }

function place (dataCentre: string, changes: Partial<SuppliedPlace> = {}): SuppliedPlace {
  return { dataCentre, keptCount: 8, orderedKeptCount: undefined, isDry: false, ...changes }
}

test('should leave engines as they are where none can be had for less', t => {
  const { reclaimablePrice, ...without } = scaling
  t.deepEqual(planSupply([place('north')], without, { itemsCount: 900, slotsCount: 8 }), [{ dataCentre: 'north', keptCount: 8, reclaimableCount: 0 }])
})

test('should add reclaimable engines for the work that is foreseen, spread over the data centres', t => {
  const planned = planSupply([place('north'), place('south', { keptCount: 7 })], scaling, { itemsCount: 160, slotsCount: 8 })
  t.deepEqual(planned.map(({ keptCount, reclaimableCount }) => [keptCount, reclaimableCount]), [[8, 3], [7, 2]])
})

test('should have as many as may be had until a step was seen, and never more', t => {
  const planned = planSupply([place('north'), place('south', { keptCount: 14 })], scaling, { itemsCount: undefined, slotsCount: 8 })
  t.deepEqual(planned.map(({ keptCount, reclaimableCount }) => keptCount + reclaimableCount), [15, 15])
})

test('should keep to the number that was ordered while engines are down', t => {
  const [planned] = planSupply([place('north', { keptCount: 3, orderedKeptCount: 8 })], scaling, { itemsCount: 0, slotsCount: 8 })
  t.is(planned?.keptCount, 8)
})

test('should order within the bounds of a data centre', t => {
  const [planned] = planSupply([place('north', { keptCount: 0, orderedKeptCount: undefined })], scaling, { itemsCount: 0, slotsCount: 8 })
  t.is(planned?.keptCount, 1)
})
