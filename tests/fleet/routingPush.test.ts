/**
 * Guards against sending a large routing configuration more often than necessary:
 * the links of a control host carry a few megabytes a second. A configuration of
 * 1,700 routes that every control host pushed to each of 89 hosts, and again with each
 * call until they had it, took longer than the 2.5 s after which it must be in force,
 * and the leave of an endpoint was not confirmed meanwhile.
 */
import test, { type ExecutionContext } from 'ava'
import type { RoutingRoute } from '../../src/protocol/routing.js'
import { RoutingCommandKind } from '../../src/protocol/routingCommands.js'
import { Progress } from '../../src/utils/progress.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { route, routing } from '../fixtures/fleet/fleetFixtures.js'
import { LeavingWorld } from '../fixtures/fleet/leavingWorld.js'

const CONTROL_HOSTS_COUNT = 4
const FOLLOWERS_COUNT = 8
const SETTLE_MS = 3_000
/** Below the shortest bound of a deployment, which is 2,000 ms. */
const IN_FORCE_WITHIN_MS = 1_500
const STORM_GAP_MS = 330
const STORM_COUNT = 15
const LARGE_ROUTES_COUNT = 1_700
const LARGE_CHANGES_COUNT = 5
const LARGE_GAP_MS = 1_200
/** The bound of the deployments whose configurations have so many routes. */
const LARGE_IN_FORCE_WITHIN_MS = 2_500
const LARGE_CONTROL_HOSTS_COUNT = 3
const LARGE_FOLLOWERS_COUNT = 24
/** As 9 MB/s for 80 followers. */
const LINK_BYTES_PER_MS = 2_700

async function start (t: ExecutionContext, controlHostsCount = CONTROL_HOSTS_COUNT, followersCount = FOLLOWERS_COUNT): Promise<LeavingWorld> {
  const world = await new LeavingWorld(11, controlHostsCount).start(followersCount)
  t.teardown(() => {
    world.stop()
    if (world.failures.length > 0) throw new Error(world.failures.join('\n'))
  })
  await replace(world, 1)
  await world.cluster.clock.advance(SETTLE_MS)
  return world
}

async function replace (world: LeavingWorld, version: number, routes?: RoutingRoute[]): Promise<void> {
  const { cluster } = world
  const leader = await cluster.untilLeader()
  const command = { kind: RoutingCommandKind.Replace as const, routing: routing(version, routes), document: `${version}` }
  const proposed = leader.running!.replica.propose(command, new Progress(cluster.clock, new Scope('operator'), cluster.clock.nowMs() + SETTLE_MS))
  await cluster.clock.advanceUntil(proposed)
}

function versionsOf (world: LeavingWorld): Array<number | undefined> {
  return world.followers.map(({ view }) => view.routing?.version)
}

/** Counts how often followers receive a complete configuration from now on. */
function countReceived (world: LeavingWorld): () => number {
  let count = 0
  for (const { view } of world.followers) {
    const merge = view.merge.bind(view)
    view.merge = (address, update) => {
      if (update.routing) count++
      merge(address, update)
    }
  }
  return () => count
}

test('should send a new configuration to each host from one control host, not from all', async t => {
  const world = await start(t)
  const receivedCount = countReceived(world)
  await replace(world, 2)
  await world.cluster.clock.advance(SETTLE_MS)
  t.deepEqual(versionsOf(world), Array.from({ length: FOLLOWERS_COUNT }, () => 2))
  t.true(receivedCount() <= FOLLOWERS_COUNT, `${receivedCount()} times for ${FOLLOWERS_COUNT} hosts`)
})

test('should not send a configuration again while it is in transit on a slow link', async t => {
  const world = await start(t)
  world.cluster.network.faults = { lossPercent: 0, duplicatePercent: 0, minDelayMs: 250, maxDelayMs: 250 }
  const receivedCount = countReceived(world)
  await replace(world, 2)
  await world.cluster.clock.advance(SETTLE_MS)
  t.deepEqual(versionsOf(world), Array.from({ length: FOLLOWERS_COUNT }, () => 2))
  t.true(receivedCount() <= FOLLOWERS_COUNT, `${receivedCount()} times for ${FOLLOWERS_COUNT} hosts`)
})

test('should deliver every configuration of a rapid series to all hosts in time while a control host is down', async t => {
  const world = await start(t)
  const { cluster } = world
  const leader = await cluster.untilLeader()
  cluster.crash(cluster.hosts.find(host => host !== leader)!)
  for (let version = 2; version < 2 + STORM_COUNT; version++) {
    await replace(world, version)
    await cluster.clock.advance(STORM_GAP_MS)
    const due = version - Math.ceil(IN_FORCE_WITHIN_MS / STORM_GAP_MS)
    t.true(versionsOf(world).every(known => (known ?? 0) >= due), `${versionsOf(world).join(' ')} when ${due} is due`)
  }
  await cluster.clock.advance(IN_FORCE_WITHIN_MS)
  t.deepEqual(versionsOf(world), Array.from({ length: FOLLOWERS_COUNT }, () => 1 + STORM_COUNT))
})

/** Routes whose names have nothing in common, as an operator's. */
function largeRoutes (): RoutingRoute[] {
  const random = seededRandom(5)
  return Array.from({ length: LARGE_ROUTES_COUNT }, () => route({ name: random.id(), host: `${random.id()}.example`, pathPrefix: `/${random.id()}/` }))
}

// Copies of 300 KB filled the links of the control hosts, so that replies came after their time limit; each follower then connected again and got the copy again, without end, and kept a version of 14 s before.
test('should deliver a large configuration in time that changes several times while a control host is cut off', async t => {
  const world = await start(t, LARGE_CONTROL_HOSTS_COUNT, LARGE_FOLLOWERS_COUNT)
  const { cluster } = world
  const routes = largeRoutes()
  cluster.network.linkBytesPerMs = LINK_BYTES_PER_MS
  const leader = await cluster.untilLeader()
  const cutOff = cluster.hosts.find(host => host !== leader)!
  for (let version = 2; version < 2 + LARGE_CHANGES_COUNT; version++) {
    await replace(world, version, routes)
    if (version === 3) world.partition(cutOff)
    await cluster.clock.advance(LARGE_GAP_MS)
    const due = version - Math.ceil(LARGE_IN_FORCE_WITHIN_MS / LARGE_GAP_MS)
    t.true(versionsOf(world).every(known => (known ?? 0) >= due), `${versionsOf(world).join(' ')} when ${due} is due`)
  }
  await cluster.clock.advance(LARGE_IN_FORCE_WITHIN_MS)
  t.deepEqual(versionsOf(world), Array.from({ length: LARGE_FOLLOWERS_COUNT }, () => 1 + LARGE_CHANGES_COUNT))
})

test('should put the newest large configuration into force on a host that starts while the others receive it', async t => {
  const world = await start(t, LARGE_CONTROL_HOSTS_COUNT, LARGE_FOLLOWERS_COUNT)
  const { cluster } = world
  cluster.network.linkBytesPerMs = LINK_BYTES_PER_MS
  await replace(world, 2, largeRoutes())
  const { view } = world.follow(LARGE_FOLLOWERS_COUNT + 1)
  await cluster.clock.advance(IN_FORCE_WITHIN_MS)
  t.is(view.routing?.version, 2)
  t.is(view.routing?.routes.length, LARGE_ROUTES_COUNT)
})
