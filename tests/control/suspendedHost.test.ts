/**
 * A machine that resumes after a suspension must not rely on leases from before.
 * Its monotonic clock does not advance while it is suspended, so a lease that has
 * expired for all other hosts looks valid. The time of day does advance and reveals
 * the suspension.
 */
import test, { type ExecutionContext } from 'ava'
import { defaultTimings } from '../../src/replication/log/timings.js'
import { ReadMode } from '../../src/replication/log/replica.js'
import { RoutingCommandKind } from '../../src/protocol/routingCommands.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

const SUSPENDED_MS = 10_000
const SETTLE_MS = 3_000
const LEASE_MS = defaultTimings.leaderLeaseMs

async function start (t: ExecutionContext): Promise<{ cluster: ReplicaCluster, leader: ClusterHost }> {
  const cluster = new ReplicaCluster({ seed: 3, hostsCount: 3 })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  await cluster.clock.advance(SETTLE_MS)
  t.teardown(() => { for (const { running } of cluster.hosts) running?.scope.close('test over') })
  return { cluster, leader: cluster.leading()[0] ?? leader }
}

async function name (cluster: ReplicaCluster, host: ClusterHost, version: number): Promise<string | undefined> {
  const progress = new Progress(host.clock, new Scope('caller'), host.clock.nowMs() + SETTLE_MS)
  const outcome = host.running?.replica.propose({ kind: RoutingCommandKind.NameWeights, model: 'm', version }, progress)
  return outcome && (await cluster.clock.advanceUntil(outcome)).kind
}

test('should answer no read under a lease that ended while its machine was suspended', async t => {
  const { cluster, leader } = await start(t)
  t.is(await name(cluster, leader, 2), 'committed')
  cluster.suspend(leader)
  await cluster.clock.advance(SUSPENDED_MS)
  const successor = await cluster.untilLeader()
  t.is(await name(cluster, successor, 3), 'committed')
  const { replica } = leader.running!
  cluster.wake(leader)
  t.false(replica.leadership?.holdsLease() ?? false, 'before anything that waited is answered')
  const progress = new Progress(leader.clock, new Scope('caller'), leader.clock.nowMs() + SETTLE_MS)
  const read = await cluster.clock.advanceUntil(replica.read(ReadMode.Lease, progress))
  t.not(read.kind, 'confirmed')
})

test('should not treat an answer as recent that was in transit while the machine was suspended', async t => {
  const { cluster, leader } = await start(t)
  const { leadership } = leader.running!.replica
  let wokenCount = 0
  // A heartbeat is sent every 150 ms and answered after 2 ms; the machine is suspended at every point in between.
  for (let stepMs = 0; stepMs < 150 && leadership?.holdsLease() === true; stepMs++) {
    await cluster.clock.advance(1)
    cluster.suspend(leader)
    await cluster.clock.advance(LEASE_MS + 5)
    cluster.wake(leader)
    await cluster.clock.advance(0)
    t.false(leadership.holdsLease(), `${stepMs} ms`)
    await cluster.clock.advance(400)
    wokenCount++
  }
  t.true(wokenCount > 3, `${wokenCount} times`)
})

test('should keep the leader and lose no proposal when the time of day is set', async t => {
  const { cluster, leader } = await start(t)
  const term = leader.running?.replica.core.term
  for (const byMs of [5_000, -5_000, 2_000]) {
    for (const { clock } of cluster.hosts) clock.shiftTimeOfDay(byMs)
    t.is(await name(cluster, leader, 4 + Math.abs(byMs)), 'committed')
    await cluster.clock.advance(SETTLE_MS)
  }
  t.is(leader.running?.replica.core.term, term)
  t.true(leader.running?.replica.leadership?.holdsLease())
})
