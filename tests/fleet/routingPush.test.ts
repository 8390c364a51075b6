/**
 * A routing configuration may be large, and the links of a control host carry
 * a few megabytes a second. Seen: one of 1,700 routes that every control host
 * pushed to each of 89 hosts, and again with each call until they had it, took
 * longer than the 2.5 s after which it is to be in force, and an endpoint that
 * wanted to leave meanwhile was not confirmed.
 */
import test, { type ExecutionContext } from 'ava'
import { RoutingCommandKind } from '../../src/protocol/routingCommands.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { routing } from '../fixtures/fleet/fleetFixtures.js'
import { LeavingWorld } from '../fixtures/fleet/leavingWorld.js'

const CONTROL_HOSTS_COUNT = 4
const FOLLOWERS_COUNT = 8
const SETTLE_MS = 3_000
/** The shortest time that a deployment promises is 2,000 ms. */
const IN_FORCE_WITHIN_MS = 1_500
const STORM_GAP_MS = 330
const STORM_COUNT = 15

async function start (t: ExecutionContext): Promise<LeavingWorld> {
  const world = await new LeavingWorld(11, CONTROL_HOSTS_COUNT).start(FOLLOWERS_COUNT)
  t.teardown(() => {
    world.stop()
    if (world.failures.length > 0) throw new Error(world.failures.join('\n'))
  })
  await replace(world, 1)
  await world.cluster.clock.advance(SETTLE_MS)
  return world
}

async function replace (world: LeavingWorld, version: number): Promise<void> {
  const { cluster } = world
  const leader = await cluster.untilLeader()
  const command = { kind: RoutingCommandKind.Replace as const, routing: routing(version), document: `${version}` }
  const proposed = leader.running!.replica.propose(command, new Progress(cluster.clock, new Scope('operator'), cluster.clock.nowMs() + SETTLE_MS))
  await cluster.clock.advanceUntil(proposed)
}

function versionsOf (world: LeavingWorld): Array<number | undefined> {
  return world.followers.map(({ view }) => view.routing?.version)
}

/** How often followers are told of a whole configuration from now on. */
function countTold (world: LeavingWorld): () => number {
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

test('should tell each host of a new configuration by one control host, not by all', async t => {
  const world = await start(t)
  const told = countTold(world)
  await replace(world, 2)
  await world.cluster.clock.advance(SETTLE_MS)
  t.deepEqual(versionsOf(world), Array.from({ length: FOLLOWERS_COUNT }, () => 2))
  t.true(told() <= FOLLOWERS_COUNT, `${told()} times for ${FOLLOWERS_COUNT} hosts`)
})

test('should not tell it again while it is on a slow way', async t => {
  const world = await start(t)
  world.cluster.network.faults = { lossPercent: 0, duplicatePercent: 0, minDelayMs: 250, maxDelayMs: 250 }
  const told = countTold(world)
  await replace(world, 2)
  await world.cluster.clock.advance(SETTLE_MS)
  t.deepEqual(versionsOf(world), Array.from({ length: FOLLOWERS_COUNT }, () => 2))
  t.true(told() <= FOLLOWERS_COUNT, `${told()} times for ${FOLLOWERS_COUNT} hosts`)
})

test('should bring every configuration of a storm of them to all hosts in time while a control host is down', async t => {
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
