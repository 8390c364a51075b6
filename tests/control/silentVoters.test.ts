import test from 'ava'
import { votersOf } from '../../src/replication/log/members.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

const STRIKE_AFTER_MS = 8_000

async function startCluster (hostsCount: number): Promise<{ cluster: ReplicaCluster, leader: ClusterHost, others: ClusterHost[] }> {
  const cluster = new ReplicaCluster({ seed: 11, hostsCount, strikeSilentAfterMs: STRIKE_AFTER_MS })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  return { cluster, leader, others: cluster.hosts.filter(host => host !== leader) }
}

function votersCount (host: ClusterHost): number {
  return votersOf(host.running?.replica.core.members ?? []).length
}

test('should strike a voter that is gone for good, so that the next loss leaves a quorum', async t => {
  const { cluster, leader, others } = await startCluster(4)
  const [gone, next] = others as [ClusterHost, ClusterHost]
  cluster.crash(gone)
  await cluster.clock.advance(STRIKE_AFTER_MS / 2)
  t.is(votersCount(leader), 4, 'a short silence strikes nobody')
  await cluster.until(() => votersCount(leader) === 3, 'the silent one is struck')
  cluster.crash(next)
  await cluster.clock.advance(3_000)
  t.is(cluster.leading().length, 1)
  t.deepEqual(cluster.violations, [])
})

test('should never strike below three voters', async t => {
  const { cluster, leader, others } = await startCluster(3)
  cluster.crash(others[0] as ClusterHost)
  await cluster.clock.advance(4 * STRIKE_AFTER_MS)
  t.is(votersCount(leader), 3)
})

test('should take a struck voter in again when it comes back with its disk', async t => {
  const { cluster, leader, others } = await startCluster(4)
  const [away] = others as [ClusterHost]
  cluster.crash(away)
  await cluster.until(() => votersCount(leader) === 3, 'struck')
  await cluster.start(away)
  await cluster.until(() => cluster.leading().some(host => votersCount(host) === 4), 'it votes again')
  t.deepEqual(cluster.violations, [])
})

test('should take a struck voter in again that was only cut off, without disturbing the leader', async t => {
  const { cluster, leader, others } = await startCluster(4)
  const [away, ...near] = others as [ClusterHost, ...ClusterHost[]]
  for (const host of [leader, ...near]) cluster.network.cut(away.ip, host.ip)
  await cluster.until(() => votersCount(leader) === 3, 'struck')
  cluster.network.heal()
  await cluster.until(() => votersCount(leader) === 4, 'it votes again')
  t.deepEqual(cluster.leading(), [leader])
  t.deepEqual(cluster.violations, [])
})
