/**
 * What the quarantine of requests costs: nothing is left behind by requests that
 * are over, and little is written when many endpoints go at once.
 */
import test from 'ava'
import { RoutingCommandKind } from '../../src/protocol/routingCommands.js'
import { DeadlyRequestWorld } from '../fixtures/fleet/deadlyRequestWorld.js'

test('should remember no run that is over, whether it was answered, lost or given up by its caller', async t => {
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

test('should write one entry or two for each host when all endpoints go at once, and suspect nothing that is answered soon', async t => {
  const world = await new DeadlyRequestWorld({ seed: 6, endpointsCount: 12 }).start()
  t.teardown(() => world.stop())
  const { cluster } = world.control
  const before = cluster.applied.length
  for (let number = 0; number < 60; number++) world.send(`/open/${number}`)
  await world.clock.advance(20)
  // One stays, so that what was lost is answered there.
  for (const address of world.endpoints.addresses.slice(1)) world.endpoints.end(address)
  await world.clock.advance(4_000)
  const entries = cluster.applied.slice(before).filter(entry => entry && Buffer.from(entry.payload).includes(RoutingCommandKind.NoteEnds))
  t.true(world.endpoints.ends.flatMap(({ paths }) => paths).length > 40, 'many requests were lost')
  t.true(entries.length <= 2 * world.hosts.length, `${entries.length} entries`)
  t.deepEqual(world.hosts.flatMap(({ following }) => following.view.quarantine.condemnedDigests()), [])
  t.is(world.innocentShare(), 1)
})
