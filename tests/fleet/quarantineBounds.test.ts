/**
 * Bounds the cost of the quarantine: finished requests leave no state behind, and
 * few log entries are written when many endpoints terminate at once.
 */
import test from 'ava'
import { RoutingCommandKind } from '../../src/protocol/routingCommands.js'
import { DeadlyRequestWorld } from '../fixtures/fleet/deadlyRequestWorld.js'

test('should release every run that is over, whether it was answered, lost or abandoned by its caller', async t => {
  const world = await new DeadlyRequestWorld({ seed: 5 }).start()
  t.teardown(() => world.stop())
  for (let number = 0; number < 200; number++) {
    world.send(`/open/${number}`, undefined, {}, number % 3 === 0 ? 10 : undefined)
    if (number % 50 === 0) world.endpoints.reset(world.endpoints.addresses[0] ?? '')
    await world.clock.advance(10)
  }
  t.true(world.hosts.some(({ quarantine }) => quarantine.runsCount > 0))
  await world.clock.advance(5_000)
  t.deepEqual(world.hosts.map(({ quarantine }) => quarantine.runsCount), world.hosts.map(() => 0))
})

test('should write at most two log entries per host when all endpoints terminate at once, and condemn nothing that is answered soon', async t => {
  const world = await new DeadlyRequestWorld({ seed: 6, endpointsCount: 12 }).start()
  t.teardown(() => world.stop())
  const { cluster } = world.control
  const before = cluster.applied.length
  for (let number = 0; number < 60; number++) world.send(`/open/${number}`)
  await world.clock.advance(20)
  // One endpoint stays, so that the lost requests are answered there.
  for (const address of world.endpoints.addresses.slice(1)) world.endpoints.end(address)
  await world.clock.advance(4_000)
  const entries = cluster.applied.slice(before).filter(entry => entry && Buffer.from(entry.payload).includes(RoutingCommandKind.RecordEnds))
  t.true(world.endpoints.ends.flatMap(({ paths }) => paths).length > 40, 'many requests were lost')
  t.true(entries.length <= 2 * world.hosts.length, `${entries.length} entries`)
  t.deepEqual(world.hosts.flatMap(({ following }) => following.view.quarantine.condemnedDigests()), [])
  t.is(world.innocentShare(), 1)
})
