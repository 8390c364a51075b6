import test from 'ava'
import { votersOf } from '../../src/replication/log/members.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

const REMOVAL_AFTER_MS = 8_000

async function startCluster (hostsCount: number): Promise<{ cluster: ReplicaCluster, leader: ClusterHost, others: ClusterHost[] }> {
  const cluster = new ReplicaCluster({ seed: 11, hostsCount, strikeSilentAfterMs: REMOVAL_AFTER_MS })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  return { cluster, leader, others: cluster.hosts.filter(host => host !== leader) }
}

function votersCount (host: ClusterHost): number {
  return votersOf(host.running?.replica.core.members ?? []).length
}

test('should remove a voter that stays unreachable, so that the next loss leaves a quorum', async t => {
  const { cluster, leader, others } = await startCluster(4)
  const [crashed, next] = others as [ClusterHost, ClusterHost]
  cluster.crash(crashed)
  await cluster.clock.advance(REMOVAL_AFTER_MS / 2)
  t.is(votersCount(leader), 4, 'a short silence removes no voter')
  await cluster.until(() => votersCount(leader) === 3, 'the silent voter is removed')
  cluster.crash(next)
  await cluster.clock.advance(3_000)
  t.is(cluster.leading().length, 1)
  t.deepEqual(cluster.violations, [])
})

test('should never remove a voter when three are left', async t => {
  const { cluster, leader, others } = await startCluster(3)
  cluster.crash(others[0] as ClusterHost)
  await cluster.clock.advance(4 * REMOVAL_AFTER_MS)
  t.is(votersCount(leader), 3)
})

test('should admit a removed voter again when it restarts with its disk', async t => {
  const { cluster, leader, others } = await startCluster(4)
  const [away] = others as [ClusterHost]
  cluster.crash(away)
  await cluster.until(() => votersCount(leader) === 3, 'struck')
  await cluster.start(away)
  await cluster.until(() => cluster.leading().some(host => votersCount(host) === 4), 'it votes again')
  t.deepEqual(cluster.violations, [])
})

test('should admit a removed voter again that was only partitioned, without disturbing the leader', async t => {
  const { cluster, leader, others } = await startCluster(4)
  const [away, ...connected] = others as [ClusterHost, ...ClusterHost[]]
  for (const host of [leader, ...connected]) cluster.network.cut(away.ip, host.ip)
  await cluster.until(() => votersCount(leader) === 3, 'struck')
  cluster.network.heal()
  await cluster.until(() => votersCount(leader) === 4, 'it votes again')
  t.deepEqual(cluster.leading(), [leader])
  t.deepEqual(cluster.violations, [])
})
