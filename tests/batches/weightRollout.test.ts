import test from 'ava'
import type { FleetEndpoint } from '../../src/protocol/fleet.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { engine, incarnation } from '../fixtures/fleet/fleetFixtures.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const LEASE_MS = 3_000
/** Longest time from the announcement of an order to its arrival: 300 ms to send, 300 ms to be answered. */
const ANNOUNCEMENT_TO_ARRIVAL_MS = 600

function engines (count: number): FleetEndpoint[] {
  return Array.from({ length: count }, (_value, position) => engine(`e${position}`, 1))
}

test('should not order an engine that another host ordered within the lease, and order the others at once', async t => {
  const world = await new StoreWorld({ engines: engines(2), orderLeaseMs: LEASE_MS }).start()
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 2 }] })
  await world.clock.advance(2_000)
  const [first] = world.endpoints.orders
  t.is(world.endpoints.orders.length, 1)
  world.stopDispatching()
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 4 }] })
  world.startDispatching('h2')
  const ledSinceMs = world.clock.nowMs()
  await world.clock.advance(8_000)
  const [second, third] = world.endpoints.orders.slice(1)
  t.not(second?.endpointId, first?.endpointId)
  t.true((second?.atMs ?? 0) - ledSinceMs < 100, 'the engine without an earlier order is ordered at once')
  t.is(third?.endpointId, first?.endpointId)
  t.true((third?.atMs ?? 0) - (first?.atMs ?? 0) >= LEASE_MS)
  world.close()
})

test('should not order an engine that another host ordered within the lease, even if it has restarted since', async t => {
  const weights = [{ model: 'hints-model', version: 1 }]
  const earlier = incarnation('e1', 1_000, { service: 'engines', weights })
  const world = await new StoreWorld({ engines: [earlier], orderLeaseMs: LEASE_MS }).start()
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 2 }] })
  await world.clock.advance(2_000)
  t.is(world.endpoints.orders.length, 1)
  world.stopDispatching()
  world.view.merge('control-1', { endpoints: [incarnation('e1', 2_000, { service: 'engines', weights })], weights: [{ model: 'hints-model', version: 4 }] })
  world.startDispatching('h2')
  await world.clock.advance(8_000)
  const [first, second] = world.endpoints.orders
  t.is(second?.endpointId, 'e1@2000')
  t.true((second?.atMs ?? 0) - (first?.atMs ?? 0) >= LEASE_MS)
  world.close()
})

test('should not order an engine within the lease if its latest order is only known from a snapshot', async t => {
  const world = await new StoreWorld({ engines: engines(1), orderLeaseMs: LEASE_MS }).start()
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 3 }] })
  await world.clock.advance(2_000)
  world.stopDispatching()
  await world.clock.advance(10_000)
  world.state.restore([...world.state.snapshot()])
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 5 }] })
  world.startDispatching('h2')
  const ledSinceMs = world.clock.nowMs()
  await world.clock.advance(8_000)
  t.is(world.endpoints.orders.length, 2)
  t.true((world.endpoints.orders[1]?.atMs ?? 0) >= ledSinceMs + LEASE_MS)
  world.close()
})

test('should send no order whose announcement is not committed in time', async t => {
  const world = await new StoreWorld({ engines: engines(1), orderLeaseMs: LEASE_MS }).start()
  world.disk.syncMs = 700
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 3 }] })
  await world.clock.advance(10_000)
  t.deepEqual(world.endpoints.orders, [])
  world.disk.syncMs = 1
  await world.clock.advance(2_000)
  t.is(world.endpoints.orders.length, 1)
  world.close()
})

test('should let no more engines load at once than the store sustains, and order each version once per engine', async t => {
  const sustainedCount = 2
  const world = await new StoreWorld({ engines: engines(6), orderLeaseMs: 0 }).start()
  let endsAtMs: number[] = []
  const busyCount = (): number => endsAtMs.filter(atMs => atMs > world.clock.nowMs()).length
  world.endpoints.onOrder = () => {
    const loadMs = 900 * Math.max(1, (busyCount() + 1) / sustainedCount)
    endsAtMs = [...endsAtMs, world.clock.nowMs() + loadMs]
    return { outcome: { kind: 'underWay' }, loadMs }
  }
  await world.clock.advance(400)
  const busyCounts: number[] = []
  for (let version = 3; version <= 15; version += 2) {
    world.view.merge('control-1', { weights: [{ model: 'hints-model', version }] })
    for (let step = 0; step < 200; step++) {
      await world.clock.advance(20)
      busyCounts.push(busyCount())
    }
  }
  t.is(Math.max(...busyCounts), sustainedCount + 1, 'the limit is raised by one as a trial')
  const aboveCount = busyCounts.filter(count => count > sustainedCount).length
  t.true(aboveCount < busyCounts.length / 10, `${aboveCount} of ${busyCounts.length} samples show more loads than the store sustains`)
  const ordered = world.endpoints.orders.map(({ endpointId, version }) => `${endpointId}@${version}`)
  t.is(new Set(ordered).size, ordered.length)
  t.is(new Set(world.endpoints.orders.map(({ endpointId }) => endpointId)).size, 6)
  world.close()
})

test('should load only some of the engines while the versions of the others are still usable', async t => {
  const world = await new StoreWorld({ engines: engines(4), orderLeaseMs: 0 }).start()
  await world.clock.advance(400)
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 2 }] })
  await world.clock.advance(8_000)
  t.is(world.endpoints.orders.length, 2)
  world.close()
})

test('should state in each order how many the engine had accepted, so that it rejects a late one', async t => {
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

test('should load at once the version that an open batch needs', async t => {
  const world = await new StoreWorld({ engines: engines(2), orderLeaseMs: 0 }).start()
  await world.clock.advance(400)
  world.endpoints.onRun = () => ({ eventsCount: 2, gapMs: 10, version: 3 })
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 3 }] })
  await world.submit(submission('b1', ['i1'], { minVersion: 2 }))
  await world.untilListed('b1', 1, 4_000)
  t.deepEqual(world.state.get('b1')?.results[0]?.versions, [3])
  world.close()
})

test('should repeat an order that had no effect', async t => {
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

test('should wait until its own orders of an earlier leadership have arrived, so that no lower fencing number follows a higher one', async t => {
  const world = await new StoreWorld({ engines: engines(1), orderLeaseMs: LEASE_MS }).start()
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 3 }] })
  await world.clock.advance(1_000)
  const [first] = world.endpoints.orders
  world.stopDispatching()
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 5 }] })
  world.endpoints.reports.delete('e0')
  world.startDispatching()
  await world.clock.advance(4_000)
  const gapMs = (world.endpoints.orders[1]?.atMs ?? 0) - (first?.atMs ?? 0)
  t.true(gapMs >= ANNOUNCEMENT_TO_ARRIVAL_MS && gapMs < LEASE_MS, `${gapMs} ms`)
  world.close()
})

test('should soon repeat an order that an engine neither answered nor accepted', async t => {
  const world = await new StoreWorld({ engines: engines(1), orderLeaseMs: 0 }).start()
  await world.clock.advance(400)
  world.endpoints.onOrder = () => ({ outcome: { kind: 'unknown', reason: 'no answer' }, loadMs: 500, isLost: world.endpoints.orders.length <= 3 })
  world.view.merge('control-1', { weights: [{ model: 'hints-model', version: 3 }] })
  await world.clock.advance(3_000)
  const [first, ...others] = world.endpoints.orders.map(({ atMs }) => atMs)
  t.is(others.length, 3)
  t.true((others[2] ?? Infinity) - (first ?? 0) <= 1_000, `${others.map(atMs => atMs - (first ?? 0)).join(', ')} ms`)
  t.deepEqual(new Set(world.endpoints.orders.map(({ expectedOrdersCount }) => expectedOrdersCount)), new Set([0]))
  t.is(world.endpoints.reports.get('e0')?.weights[0]?.version, 3)
  world.close()
})

// Each new leader started with two concurrent loads, so weights arrived slowest after a power loss, when all engines had to load again.
test('should start with as many concurrent loads as the previous leader', async t => {
  const world = await new StoreWorld({ engines: engines(12), orderLeaseMs: 0 }).start()
  let endsAtMs: number[] = []
  const busyCount = (): number => endsAtMs.filter(atMs => atMs > world.clock.nowMs()).length
  world.endpoints.onOrder = () => {
    endsAtMs = [...endsAtMs, world.clock.nowMs() + 900]
    return { outcome: { kind: 'underWay' }, loadMs: 900 }
  }
  const mostLoadsOf = async (version: number): Promise<number> => {
    world.view.merge('control-1', { weights: [{ model: 'hints-model', version }] })
    let most = 0
    for (let step = 0; step < 45; step++) {
      await world.clock.advance(20)
      most = Math.max(most, busyCount())
    }
    return most
  }
  for (let version = 3; version <= 25; version += 2) {
    await mostLoadsOf(version)
    await world.clock.advance(3_000)
  }
  const before = await mostLoadsOf(27)
  t.true(before >= 6, `${before} at a time`)
  await world.clock.advance(5_000)
  world.stopDispatching()
  world.state.restore([...world.state.snapshot()])
  world.startDispatching('h2')
  const after = await mostLoadsOf(29)
  t.true(after >= before / 2, `${after} at a time after ${before}`)
  world.close()
})
