import test from 'ava'
import { JoinRefusals } from '../../src/replication/log/joinRefusals.js'
import { EntryKind, type LogEntry } from '../../src/replication/log/logEntry.js'
import { encodeMembership, MembershipHistory } from '../../src/replication/log/membershipHistory.js'
import { setReplicaGauges } from '../../src/replication/log/replicaGauges.js'
import { SnapshotStats } from '../../src/replication/log/snapshotStats.js'
import { VoterWatch } from '../../src/replication/log/voterWatch.js'
import { ReplicationEvent } from '../../src/replication/replicationEvents.js'
import type { LogFields, Logger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

async function startCluster (seed = 5, hostsCount = 3): Promise<{ cluster: ReplicaCluster, leader: ClusterHost, others: ClusterHost[] }> {
  const cluster = new ReplicaCluster({ seed, hostsCount, strikeSilentAfterMs: 8_000 })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  return { cluster, leader, others: cluster.hosts.filter(host => host !== leader) }
}

function replicaOf (host: ClusterHost) {
  if (!host.running) throw new Error(`${host.hostId} does not run`)
  return host.running.replica
}

function gaugesOf (host: ClusterHost): Record<string, number> {
  const metrics = memoryMetrics()
  setReplicaGauges(replicaOf(host), metrics)
  return metrics.snapshot()
}

function eventsOf (cluster: ReplicaCluster, number: ReplicationEvent, hostId?: string): LogFields[] {
  return cluster.logged.filter(event => event.number === number && (hostId ?? event.hostId) === event.hostId).map(({ fields }) => fields)
}

async function propose (cluster: ReplicaCluster, leader: ClusterHost, count: number): Promise<void> {
  const { replica, scope } = leader.running as NonNullable<typeof leader.running>
  for (let number = 0; number < count; number++) {
    const command = { kind: 'register', hostId: `entry-${number}`, incarnation: 1, dataCentre: 'dc', operatorAddress: 'x:1', programVersion: '0' }
    await cluster.clock.advanceUntil(replica.propose(command, new Progress(leader.clock, scope, leader.clock.nowMs() + 5_000)))
  }
}

test('should report log, members and lag at the leader, and no lag elsewhere', async t => {
  const { cluster, leader, others } = await startCluster()
  await cluster.clock.advance(1_000)
  const { log } = replicaOf(leader).core.state
  const shown = gaugesOf(leader)
  t.is(shown['log.held_entries'], log.lastIndex - log.baseIndex)
  t.is(shown['log.held_bytes'], log.bytes)
  t.is(shown['log.applied_index'], replicaOf(leader).appliedIndex)
  t.is(shown['log.commit_index'], replicaOf(leader).core.commitIndex)
  t.is(shown['members.voters'], 3)
  t.is(shown['members.learners'], 0)
  t.is(shown['members.live_voters'], 3)
  t.is(shown['members.largest_lag_entries'], 0)
  const follower = gaugesOf(others[0] as ClusterHost)
  t.is(follower['members.voters'], 3)
  t.is(follower['members.live_voters'], -1)
  t.is(follower['members.largest_lag_entries'], -1)
})

test('should report how many voters answer, and the lag of the one that does not', async t => {
  const { cluster, leader, others } = await startCluster()
  const matchedIndex = replicaOf(leader).core.state.log.lastIndex
  await cluster.clock.advance(1_000)
  cluster.crash(others[0] as ClusterHost)
  await propose(cluster, leader, 4)
  await cluster.clock.advance(2_000)
  const shown = gaugesOf(leader)
  t.is(shown['members.live_voters'], 2)
  t.is(shown['members.largest_lag_entries'], replicaOf(leader).core.state.log.lastIndex - matchedIndex)
})

test('should log once that a voter is silent and once that it answers again, with the number of answering voters', async t => {
  const { cluster, leader, others } = await startCluster()
  const [away] = others as [ClusterHost]
  const watch = new VoterWatch(replicaOf(leader))
  const reviewFor = async (seconds: number): Promise<void> => {
    for (let second = 0; second < seconds; second++) {
      await cluster.clock.advance(1_000)
      watch.review()
    }
  }
  await reviewFor(2)
  t.deepEqual(eventsOf(cluster, ReplicationEvent.VoterSilent), [])
  cluster.crash(away)
  await reviewFor(4)
  const [logged, ...more] = eventsOf(cluster, ReplicationEvent.VoterSilent)
  t.like(logged, { hostId: away.hostId, answeringCount: 2, votersCount: 3, quorumCount: 2 })
  t.deepEqual(more, [])
  await cluster.start(away)
  await reviewFor(4)
  t.like(eventsOf(cluster, ReplicationEvent.VoterRecovered)[0], { hostId: away.hostId, answeringCount: 3 })
  t.is(eventsOf(cluster, ReplicationEvent.VoterRecovered).length, 1)
})

test('should report the size and duration of snapshots by source', async t => {
  const { cluster, leader, others } = await startCluster()
  const [away] = others as [ClusterHost]
  cluster.wipe(away)
  await propose(cluster, leader, 20)
  t.true((gaugesOf(leader)['snapshot.bytes{source=taken}'] ?? 0) > 0)
  t.true(gaugesOf(leader)['snapshot.took_ms{source=taken}'] !== undefined)
  await cluster.start(away)
  await cluster.until(() => eventsOf(cluster, ReplicationEvent.SnapshotInstalled, away.hostId).length > 0, 'a snapshot is installed')
  const installed = eventsOf(cluster, ReplicationEvent.SnapshotInstalled, away.hostId)[0]
  t.is(gaugesOf(away)['snapshot.bytes{source=installed}'], installed?.bytesCount as number)
  t.is(gaugesOf(away)['snapshot.took_ms{source=installed}'], installed?.tookMs as number)
  await cluster.clock.advance(1_000)
  cluster.crash(leader)
  await cluster.start(leader)
  const loaded = eventsOf(cluster, ReplicationEvent.Loaded, leader.hostId).at(-1)
  t.is(gaugesOf(leader)['snapshot.bytes{source=loaded}'], loaded?.snapshotBytesCount as number)
  t.true((loaded?.snapshotBytesCount as number) > 0)
})

test('should log what a start has read, the voters, and when its own log was applied', async t => {
  const { cluster, leader, others } = await startCluster()
  const [restarted] = others as [ClusterHost]
  await propose(cluster, leader, 3)
  await cluster.clock.advance(1_000)
  cluster.crash(restarted, false)
  await cluster.start(restarted)
  const loaded = eventsOf(cluster, ReplicationEvent.Loaded, restarted.hostId).at(-1)
  t.deepEqual([...loaded?.voters as string[]].sort(), cluster.hosts.map(({ hostId }) => hostId))
  t.true((loaded?.logBytesCount as number) > 0)
  const appliedBefore = loaded?.appliedIndex as number
  await cluster.until(() => eventsOf(cluster, ReplicationEvent.OwnLogApplied, restarted.hostId).length === 2, 'its own log is applied')
  const applied = eventsOf(cluster, ReplicationEvent.OwnLogApplied, restarted.hostId).at(-1)
  t.is(applied?.leaderHostId, leader.hostId)
  t.is(applied?.entriesAppliedCount, applied?.appliedIndex as number - appliedBefore)
  t.true((applied?.appliedIndex as number) >= appliedBefore + (loaded?.entriesCount as number))
  t.true((applied?.sinceStartMs as number) >= (loaded?.sinceStartMs as number))
})

test('should log each change of members at every replica, with the quorum', async t => {
  const { cluster, leader, others } = await startCluster(5, 4)
  const [crashed, ...running] = others as [ClusterHost, ...ClusterHost[]]
  cluster.crash(crashed)
  await cluster.until(() => running.every(host => replicaOf(host).core.members.length === 3), 'the silent voter is removed everywhere')
  const remaining = [leader, ...running].map(({ hostId }) => hostId).sort()
  for (const { hostId } of [leader, ...running]) {
    const logged = eventsOf(cluster, ReplicationEvent.MembersChanged, hostId).at(-1)
    t.deepEqual([...logged?.voters as string[]].sort(), remaining, hostId)
    t.like(logged, { learners: [], quorumCount: 2, isVoter: true }, hostId)
  }
})

test('should report members when entries are truncated or a snapshot is installed', t => {
  const history = new MembershipHistory(0, [])
  const reportedIndexes: number[] = []
  history.watch(() => reportedIndexes.push(history.latestIndex))
  const entry = (index: number): LogEntry => (
    { index, term: 1, kind: EntryKind.Membership, atMs: 0, payload: encodeMembership({ clusterId: 'c', members: [] }) }
  )
  history.record(entry(1))
  history.record(entry(5))
  history.truncateFrom(9)
  history.truncateFrom(5)
  history.compactTo(3)
  history.reset(8, [])
  t.deepEqual(reportedIndexes, [1, 5, 1, 8])
})

test('should count the time of an arriving snapshot from its first piece', async t => {
  const clock = new VirtualClock()
  const stats = new SnapshotStats(clock)
  stats.recordChunkArrived(7)
  await clock.advance(300)
  stats.recordChunkArrived(7)
  await clock.advance(200)
  t.is(stats.recordInstalled(10), 500)
})

test('should log at the leader why a replica is not admitted', async t => {
  const { cluster, leader, others } = await startCluster()
  const [running] = others as [ClusterHost]
  const newcomer = { replicaId: 'other-disk', hostId: running.hostId, peerAddress: running.address, operatorAddress: running.address }
  for (let asked = 0; asked < 8; asked++) {
    replicaOf(leader).join(newcomer)
    await cluster.clock.advance(250)
  }
  t.deepEqual(eventsOf(cluster, ReplicationEvent.JoinRefused), [
    { hostId: running.hostId, replicaId: 'other-disk', reason: `host ${running.hostId} is running already`, forMs: 0, membersCount: 3 }
  ])
})

test('should log a refused join again while it persists, and a busy leader only when it stays busy', async t => {
  const clock = new VirtualClock()
  const logged: LogFields[] = []
  const logger: Logger = { event: (_number, fields = {}) => { logged.push(fields) }, child: () => logger }
  const refusals = new JoinRefusals(clock, logger)
  const newcomer = { replicaId: 'r1', hostId: 'h1', peerAddress: 'h1:1', operatorAddress: 'h1:1' }
  const joinFor = async (seconds: number, outcome: Parameters<JoinRefusals['record']>[1]): Promise<void> => {
    for (let asked = 0; asked < 4 * seconds; asked++) {
      refusals.record(newcomer, outcome, 9)
      await clock.advance(250)
    }
  }
  await joinFor(1, { kind: 'busy' })
  await joinFor(1, { kind: 'accepted' })
  t.deepEqual(logged, [])
  await joinFor(12, { kind: 'refused', reason: 'host h1 is running already' })
  t.deepEqual(logged.map(({ forMs }) => forMs), [0, 10_000])
  await joinFor(3, { kind: 'busy' })
  t.like(logged.at(-1), { reason: 'another change of members is open', forMs: 2_000 })
  t.is(logged.length, 3)
})
