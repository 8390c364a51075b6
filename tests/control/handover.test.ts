import test from 'ava'
import { defaultTimings } from '../../src/replication/log/timings.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

const HANDOVER_MS = 800
/** Time for a few messages and disk syncs. */
const SOON_MS = 60

function progressOf (cluster: ReplicaCluster, withinMs = HANDOVER_MS): Progress {
  return new Progress(cluster.clock, new Scope('test'), cluster.clock.nowMs() + withinMs)
}

async function startedCluster (seed: number): Promise<{ cluster: ReplicaCluster, leader: ClusterHost }> {
  const cluster = new ReplicaCluster({ seed, hostsCount: 3 })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all vote')
  return { cluster, leader }
}

function otherLeader (cluster: ReplicaCluster, than: ClusterHost): ClusterHost | undefined {
  return cluster.leading().find(host => host !== than)
}

/** Orders the hosts so that the one that will lag comes first. */
function orderOf (hosts: ClusterHost[], lagging: number): [ClusterHost, ClusterHost] {
  const [first, second] = hosts as [ClusterHost, ClusterHost]
  return lagging === 0 ? [first, second] : [second, first]
}

test('should let another replica lead at once when the leader hands over, long before an election timeout', async t => {
  const { cluster, leader } = await startedCluster(1)
  const startedAtMs = cluster.clock.nowMs()
  await cluster.clock.advanceUntil(leader.running?.replica.handOver(progressOf(cluster)) ?? Promise.resolve())
  await cluster.until(() => otherLeader(cluster, leader) !== undefined, 'another one leads')
  t.true(cluster.clock.nowMs() - startedAtMs <= SOON_MS, `it took ${cluster.clock.nowMs() - startedAtMs} ms`)
  t.true(SOON_MS < defaultTimings.electionMinMs)
  t.is(leader.running?.replica.leadership, undefined)
  t.deepEqual(cluster.violations, [])
})

test('should hand over to the replica that holds the whole log, not to one that lags', async t => {
  for (const lagging of [0, 1]) {
    const { cluster, leader } = await startedCluster(2)
    const [behind, upToDate] = orderOf(cluster.hosts.filter(host => host !== leader), lagging)
    behind.disk.syncMs = 5 * SOON_MS
    const startedAtMs = cluster.clock.nowMs()
    leader.running?.replica.propose({}, progressOf(cluster)).catch(() => {})
    await cluster.clock.advanceUntil(leader.running?.replica.handOver(progressOf(cluster)) ?? Promise.resolve())
    await cluster.until(() => otherLeader(cluster, leader) !== undefined, 'another one leads')
    t.is(otherLeader(cluster, leader), upToDate)
    t.true(cluster.clock.nowMs() - startedAtMs <= SOON_MS)
  }
})

test('should refuse proposals during a handover, and report them as not committed', async t => {
  const { cluster, leader } = await startedCluster(3)
  const replica = leader.running?.replica
  if (!replica) return t.fail('no replica')
  const handingOver = replica.handOver(progressOf(cluster))
  const outcome = await replica.propose({}, progressOf(cluster))
  t.is(outcome.kind, 'notCommitted')
  await cluster.clock.advanceUntil(handingOver)
})

test('should abandon the handover, and continue to stop, when no other replica answers', async t => {
  const { cluster, leader } = await startedCluster(4)
  for (const host of cluster.hosts) if (host !== leader) cluster.crash(host)
  const startedAtMs = cluster.clock.nowMs()
  await cluster.clock.advanceUntil(leader.running?.replica.handOver(progressOf(cluster)) ?? Promise.resolve())
  t.true(cluster.clock.nowMs() - startedAtMs <= HANDOVER_MS)
  t.deepEqual(cluster.violations, [])
})

test('should elect a leader after the usual time when the one that was asked to lead is gone', async t => {
  const { cluster, leader } = await startedCluster(5)
  const replica = leader.running?.replica
  const handingOver = replica?.handOver(progressOf(cluster)) ?? Promise.resolve()
  for (const host of cluster.hosts) if (host !== leader) cluster.network.cut(leader.ip, host.ip)
  await cluster.clock.advanceUntil(handingOver)
  cluster.crash(leader)
  await cluster.until(() => otherLeader(cluster, leader) !== undefined, 'another one leads', 5_000)
  t.deepEqual(cluster.violations, [])
})

test('should continue to lead when no replica could take over and the process keeps running', async t => {
  const { cluster, leader } = await startedCluster(6)
  for (const host of cluster.hosts) if (host !== leader) cluster.network.cut(leader.ip, host.ip)
  leader.running?.replica.propose({}, progressOf(cluster)).catch(() => {})
  await cluster.clock.advanceUntil(leader.running?.replica.handOver(progressOf(cluster, SOON_MS)) ?? Promise.resolve())
  t.truthy(leader.running?.replica.leadership)
  cluster.network.heal()
  // Calls that were in progress when the network was cut fail after the call timeout.
  const outcome = leader.running?.replica.propose({}, progressOf(cluster, 2 * defaultTimings.callTimeoutMs))
  t.is((await cluster.clock.advanceUntil(outcome ?? Promise.resolve({ kind: 'none' }))).kind, 'committed')
})
