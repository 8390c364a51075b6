/**
 * Once the drain time after a confirmed leave has passed, no host may send an
 * endpoint new requests.
 *
 * Guards against a leave that is confirmed but not propagated: a request reached an
 * endpoint 2.06 s after its leave, which had been confirmed within 37 ms. The control
 * host of the endpoint was partitioned from the others and refused the leave. Another
 * control host, which did not know the endpoint, confirmed it without announcing
 * it. Hosts that the partitioned control host still reached used the endpoint for
 * another 4.2 s, until it counted as silent; the others did so for longer.
 */
import test, { type ExecutionContext } from 'ava'
import { DRAIN_MS, LeavingWorld } from '../fixtures/fleet/leavingWorld.js'
import type { ClusterHost } from '../fixtures/replicaCluster.js'

const CONTROL_HOSTS_COUNT = 4
const FOLLOWERS_COUNT = 3
const SETTLE_MS = 3_000
/** An endpoint that gets no confirmation terminates anyway after some seconds. */
const CONFIRMATION_TIMEOUT_MS = 4_000
const ENDPOINT = 'e1'

async function start (t: ExecutionContext): Promise<LeavingWorld> {
  const world = await new LeavingWorld(7, CONTROL_HOSTS_COUNT).start(FOLLOWERS_COUNT)
  t.teardown(() => {
    world.stop()
    if (world.failures.length > 0) throw new Error(world.failures.join('\n'))
  })
  return world
}

/** A control host that is not the leader, so that a failure there affects only this host. */
function nonLeader (world: LeavingWorld): { home: ClusterHost, homeNumber: number } {
  const home = world.cluster.hosts.find(host => host.running?.replica.leadership === undefined) as ClusterHost
  return { home, homeNumber: world.cluster.hosts.indexOf(home) }
}

async function untilKnown (t: ExecutionContext, world: LeavingWorld): Promise<void> {
  await world.cluster.clock.advance(SETTLE_MS)
  t.is(world.usersOf(ENDPOINT).length, FOLLOWERS_COUNT)
}

test('should let no host use an endpoint whose leave was confirmed by a control host that did not know it', async t => {
  const world = await start(t)
  const { home, homeNumber } = nonLeader(world)
  world.announce(ENDPOINT, homeNumber)
  await untilKnown(t, world)
  world.partition(home)
  await world.cluster.clock.advance(SETTLE_MS)
  const confirmed = await world.cluster.clock.advanceUntil(world.announceLeave(ENDPOINT, CONFIRMATION_TIMEOUT_MS))
  t.truthy(confirmed, 'the other control hosts can confirm')
  t.not(confirmed?.hostId, home.hostId)
  await world.cluster.clock.advance(DRAIN_MS)
  t.deepEqual(world.usersOf(ENDPOINT), [])
})

test('should confirm no leave at a control host that has just been disconnected, and let no host use the endpoint', async t => {
  const world = await start(t)
  const { home, homeNumber } = nonLeader(world)
  world.announce(ENDPOINT, homeNumber)
  await untilKnown(t, world)
  world.partition(home)
  for (const { ip } of world.followers) world.cluster.network.cut(home.ip, ip)
  await world.cluster.clock.advance(500)
  const confirmed = await world.cluster.clock.advanceUntil(world.drain(ENDPOINT, CONFIRMATION_TIMEOUT_MS))
  t.truthy(confirmed, 'the other control hosts can confirm')
  await world.cluster.clock.advance(DRAIN_MS)
  t.deepEqual(world.usersOf(ENDPOINT), [])
})

test('should keep a leave that was confirmed by a control host without followers that is killed right afterwards', async t => {
  const world = await start(t)
  const { home, homeNumber } = nonLeader(world)
  world.announce(ENDPOINT, homeNumber)
  await untilKnown(t, world)
  for (const { ip } of world.followers) world.cluster.network.cut(home.ip, ip)
  await world.cluster.clock.advance(SETTLE_MS)
  t.is(world.sessionsCountOf(home), 0)
  const confirmed = await world.cluster.clock.advanceUntil(world.announceLeave(ENDPOINT, CONFIRMATION_TIMEOUT_MS))
  t.truthy(confirmed)
  world.cluster.crash(home)
  world.cluster.network.heal()
  await world.cluster.clock.advance(DRAIN_MS)
  t.deepEqual(world.usersOf(ENDPOINT), [])
})

test('should not reinstate an endpoint that has left when another control host receives a late heartbeat', async t => {
  const world = await start(t)
  const { homeNumber } = nonLeader(world)
  world.announce(ENDPOINT, homeNumber)
  await untilKnown(t, world)
  t.truthy(await world.cluster.clock.advanceUntil(world.announceLeave(ENDPOINT, CONFIRMATION_TIMEOUT_MS)))
  await world.cluster.clock.advance(DRAIN_MS)
  for (let number = 0; number < CONTROL_HOSTS_COUNT; number++) world.deliverLate(ENDPOINT, number, 90)
  await world.cluster.clock.advance(SETTLE_MS)
  t.deepEqual(world.usersOf(ENDPOINT), [])
  const newcomer = world.follow(FOLLOWERS_COUNT + 1)
  await world.cluster.clock.advance(SETTLE_MS)
  t.deepEqual(world.readyAt(newcomer), [])
})

test('should remember a leave after a restart of all control hosts', async t => {
  const world = await start(t)
  const { homeNumber } = nonLeader(world)
  world.announce(ENDPOINT, homeNumber)
  await untilKnown(t, world)
  t.truthy(await world.cluster.clock.advanceUntil(world.announceLeave(ENDPOINT, CONFIRMATION_TIMEOUT_MS)))
  for (const host of [...world.cluster.hosts]) world.cluster.crash(host)
  for (const host of world.cluster.hosts) await world.restart(host)
  await world.cluster.untilLeader()
  for (let number = 0; number < CONTROL_HOSTS_COUNT; number++) world.deliverLate(ENDPOINT, number, 90)
  const newcomer = world.follow(FOLLOWERS_COUNT + 1)
  await world.cluster.clock.advance(SETTLE_MS)
  t.deepEqual(world.readyAt(newcomer), [])
  t.deepEqual(world.usersOf(ENDPOINT), [])
})
