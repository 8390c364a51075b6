/**
 * Guards against sending a large routing configuration more often than necessary:
 * the links of a control host carry a few megabytes a second. A configuration of
 * 1,700 routes that every control host pushed to each of 89 hosts, and again with each
 * call until they had it, took longer than the 2.5 s after which it must be in force,
 * and the leave of an endpoint was not confirmed meanwhile.
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
/** Below the shortest bound of a deployment, which is 2,000 ms. */
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
