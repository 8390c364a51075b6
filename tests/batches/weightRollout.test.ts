import test from 'ava'
import type { FleetEndpoint } from '../../src/protocol/fleet.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const LEASE_MS = 3_000

function engines (count: number): FleetEndpoint[] {
  return Array.from({ length: count }, (_value, position) => engine(`e${position}`, 1))
}

test('should give no order before every order of a predecessor is older than the lease', async t => {
  const world = await new StoreWorld({ engines: engines(2), orderLeaseMs: LEASE_MS }).start()
  const ledSinceMs = world.clock.nowMs()
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 3 }] })
  await world.clock.advance(6_000)
  t.true(world.endpoints.orders.length > 0)
  t.true(world.endpoints.orders.every(({ atMs }) => atMs >= ledSinceMs + LEASE_MS))
  world.close()
})

test('should let no more engines load at once than allowed, and order each version once for an engine', async t => {
  const world = await new StoreWorld({ engines: engines(6), orderLeaseMs: 0, maxLoadsCount: 2 }).start()
  await world.clock.advance(400)
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 3 }] })
  let mostBusyCount = 0
  for (let step = 0; step < 400; step++) {
    await world.clock.advance(20)
    mostBusyCount = Math.max(mostBusyCount, [...world.endpoints.reports.values()].filter(({ isBusy }) => isBusy).length)
  }
  t.is(mostBusyCount, 2)
  t.is(world.endpoints.orders.length, 6)
  t.is(new Set(world.endpoints.orders.map(({ endpointId }) => endpointId)).size, 6)
  world.close()
})

test('should load only some of the engines while what the others hold still does', async t => {
  const world = await new StoreWorld({ engines: engines(4), orderLeaseMs: 0 }).start()
  await world.clock.advance(400)
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 2 }] })
  await world.clock.advance(8_000)
  t.is(world.endpoints.orders.length, 2)
  world.close()
})

test('should name in each order how many the engine had taken, so that a late one is void', async t => {
  const world = await new StoreWorld({ engines: engines(1), orderLeaseMs: 0 }).start()
  await world.clock.advance(400)
  for (const version of [3, 5]) {
    world.view.merge('control-1', { weights: [{ model: 'hints-model', version }] })
    await world.clock.advance(4_000)
  }
  t.deepEqual(world.endpoints.orders.map(({ expectedOrdersCount }) => expectedOrdersCount), [0, 1])
  t.true(world.endpoints.orders.every(({ fencingNumber, holder }) => fencingNumber === world.replica.core.term && holder === 'h1'))
  world.close()
})

test('should load at once what an open batch needs', async t => {
  const world = await new StoreWorld({ engines: engines(2), orderLeaseMs: 0 }).start()
  await world.clock.advance(400)
  world.endpoints.onRun = () => ({ eventsCount: 2, gapMs: 10, version: 3 })
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 3 }] })
  await world.submit(submission('b1', ['i1'], { minVersion: 2 }))
  await world.untilListed('b1', 1, 4_000)
  t.deepEqual(world.state.get('b1')?.results[0]?.versions, [3])
  world.close()
})

test('should order again when an order had no effect', async t => {
  const world = await new StoreWorld({ engines: engines(1), orderLeaseMs: 0 }).start()
  await world.clock.advance(400)
  world.endpoints.onOrder = () => ({ outcome: { kind: 'unknown', reason: 'no answer' }, loadMs: world.endpoints.orders.length === 1 ? 1_000_000 : 500 })
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 3 }] })
  await world.clock.advance(8_000)
  world.endpoints.reports.set('e0', { isBusy: false, ordersCount: 1, weights: [{ model: 'hints-model', version: 1 }] })
  await world.clock.advance(3_000)
  t.is(world.endpoints.orders.length, 2)
  world.close()
})
