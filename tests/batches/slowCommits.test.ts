import test from 'ava'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const SLOW_SYNC_MS = 7_000

// Results that were not committed within two seconds were proposed again in full, which delayed all commits further.
test('should propose each result once, however long its commit takes', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  t.teardown(() => world.close())
  await world.submit(submission('b1', ['i1', 'i2']))
  const { log } = world.replica.core.state
  const indexBefore = log.lastIndex
  world.disk.syncMs = SLOW_SYNC_MS
  await world.untilListed('b1', 2)
  t.is(log.lastIndex - indexBefore, 2)
  t.deepEqual(world.failures, [])
})

test('should propose the output of a run once, however long its commit takes', async t => {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  t.teardown(() => world.close())
  world.endpoints.onRun = () => ({ eventsCount: 20, gapMs: 300, version: 1 })
  await world.submit(submission('b1', ['i1']))
  const { log } = world.replica.core.state
  const indexBefore = log.lastIndex
  world.disk.syncMs = SLOW_SYNC_MS
  await world.untilListed('b1', 1)
  t.is(log.lastIndex - indexBefore, 2)
})
