import test from 'ava'
import { ReplicaCluster } from '../fixtures/replicaCluster.js'

test('should form a cluster of three and elect one leader', async t => {
  const cluster = new ReplicaCluster({ seed: 1, hostsCount: 3 })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  t.is(leader.running?.replica.core.members.length, 3)
  t.deepEqual(cluster.violations, [])
  t.deepEqual(cluster.stopped, [])
})
