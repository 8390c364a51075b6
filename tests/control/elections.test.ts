import test from 'ava'
import { defaultTimings } from '../../src/replication/log/timings.js'
import { ReplicaCluster } from '../fixtures/replicaCluster.js'

/** Polling interval of the cluster fixture; it also covers the messages and disk syncs of one round of votes. */
const STEP_MS = 100

test('should form a cluster of three and elect one leader', async t => {
  const cluster = new ReplicaCluster({ seed: 1, hostsCount: 3 })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  t.is(leader.running?.replica.core.members.length, 3)
  t.deepEqual(cluster.violations, [])
  t.deepEqual(cluster.stopped, [])
})

test('should elect a leader as soon as the start that makes a quorum allows, though one asked for votes too early', async t => {
  for (let seed = 1; seed <= 10; seed++) {
    const cluster = new ReplicaCluster({ seed, hostsCount: 3 })
    await cluster.startAll()
    await cluster.untilLeader()
    await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all vote')
    for (const host of cluster.hosts) cluster.crash(host)
    await cluster.start(cluster.host(0))
    await cluster.clock.advance(defaultTimings.electionMinMs)
    await cluster.start(cluster.host(1))
    const startedAtMs = cluster.clock.nowMs()
    await cluster.until(() => cluster.leading().length > 0, 'one leads')
    const allowedMs = defaultTimings.electionMinMs + defaultTimings.preVoteRetryMaxMs + STEP_MS
    t.true(cluster.clock.nowMs() - startedAtMs <= allowedMs, `seed ${seed}: ${cluster.clock.nowMs() - startedAtMs} ms`)
    t.deepEqual(cluster.violations, [])
  }
})

test('should count the time that a process took to start towards its election timeout', async t => {
  const cluster = new ReplicaCluster({ seed: 1, hostsCount: 3, bootMs: defaultTimings.electionMaxMs })
  await cluster.startAll()
  await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all vote')
  for (const host of cluster.hosts) cluster.crash(host)
  await cluster.clock.advance(defaultTimings.electionMaxMs)
  for (const host of cluster.hosts) await cluster.start(host)
  const startedAtMs = cluster.clock.nowMs()
  await cluster.until(() => cluster.leading().length > 0, 'one leads')
  t.true(cluster.clock.nowMs() - startedAtMs < defaultTimings.electionMinMs)
  t.deepEqual(cluster.violations, [])
})
