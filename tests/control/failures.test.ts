/**
 * One test for each safety rule of the log that random runs seldom exercise.
 */
import test from 'ava'
import { ReadMode } from '../../src/replication/log/replica.js'
import { ReplicationEvent } from '../../src/replication/replicationEvents.js'
import { MemberRole } from '../../src/replication/log/members.js'
import type { Replica } from '../../src/replication/log/replica.js'
import { ResourceCommandKind, type ResourceCommand } from '../../src/protocol/resourceCommands.js'
import { ResourceKind } from '../../src/protocol/resources.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

function replicaOf (host: ClusterHost): Replica {
  if (!host.running) throw new Error(`${host.hostId} is not running`)
  return host.running.replica
}

function progressOf (cluster: ReplicaCluster, timeoutMs = 5_000): Progress {
  return new Progress(cluster.clock, new Scope('client'), cluster.clock.nowMs() + timeoutMs)
}

function change (changeId: string, note = ''): ResourceCommand {
  return { kind: ResourceCommandKind.Apply, changeId, resourceKind: ResourceKind.PriorityClass, name: 'gold', spec: { note } }
}

async function write (cluster: ReplicaCluster, host: ClusterHost, command: ResourceCommand) {
  return await cluster.clock.advanceUntil(replicaOf(host).propose(command, progressOf(cluster)))
}

async function startThree (seed: number): Promise<{ cluster: ReplicaCluster, leader: ClusterHost, others: ClusterHost[] }> {
  const cluster = new ReplicaCluster({ seed, hostsCount: 3 })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  return { cluster, leader, others: cluster.hosts.filter(host => host !== leader) }
}

for (const mode of [ReadMode.Lease, ReadMode.Quorum]) {
  test(`should not let a leader that was frozen past its lease answer reads of mode ${mode}`, async t => {
    const { cluster, leader, others } = await startThree(1)
    cluster.freeze(leader)
    await cluster.until(() => others.some(host => replicaOf(host).leadership?.mayChangeMembers()), 'a successor')
    const successor = others.find(host => replicaOf(host).leadership) as ClusterHost
    t.is((await write(cluster, successor, change('first'))).kind, 'committed')
    cluster.wake(leader)
    const read = replicaOf(leader).read(mode, progressOf(cluster))
    t.not((await cluster.clock.advanceUntil(read)).kind, 'confirmed')
    t.deepEqual(cluster.violations, [])
  })
}

// Guards against changes that hang until their deadline at a host that has lost the leadership.
test('should settle every proposal of a deposed leader as soon as an entry of its successor is committed', async t => {
  const { cluster, leader, others } = await startThree(3)
  for (const other of others) cluster.network.cut(leader.ip, other.ip)
  const progress = progressOf(cluster, 30_000)
  const outcomes = Promise.all(['first', 'second', 'third'].map(changeId => replicaOf(leader).propose(change(changeId), progress)))
  await cluster.until(() => others.some(host => replicaOf(host).leadership?.mayChangeMembers()), 'a successor')
  cluster.network.heal()
  const kinds = (await cluster.clock.advanceUntil(outcomes)).map(outcome => outcome.kind)
  t.deepEqual(kinds, ['notCommitted', 'notCommitted', 'notCommitted'])
  t.true(progress.remainingMs() > 20_000)
})

test('should not disturb a leader that a quorum follows when one replica cannot reach it', async t => {
  const { cluster, leader, others } = await startThree(2)
  cluster.network.cut(leader.ip, others[0]?.ip ?? '')
  await cluster.clock.advance(20_000)
  t.is(cluster.leaders.size, 1)
  t.deepEqual(cluster.leading(), [leader])
})

test('should vote for nobody after a restart until the lease that it may have given has ended', async t => {
  const { cluster, leader, others: [restarted, candidate] } = await startThree(3)
  if (!restarted || !candidate) return t.fail()
  for (let round = 0; round < 20; round++) {
    cluster.network.cut(leader.ip, candidate.ip)
    await cluster.clock.advance(1_000)
    const leaseEndsAtMs = replicaOf(leader).leadership?.leaseEndsAtMs ?? 0
    cluster.crash(restarted, false)
    cluster.network.cut(leader.ip, restarted.ip)
    await cluster.start(restarted)
    while (leader.clock.nowMs() < leaseEndsAtMs) {
      t.falsy(replicaOf(candidate).leadership)
      await cluster.clock.advance(10)
    }
    cluster.network.heal()
    await cluster.untilLeader()
    if (!replicaOf(leader).leadership) return t.pass()
  }
})

test('should give no vote that is not on disk yet', async t => {
  const { cluster, leader, others: [voter] } = await startThree(4)
  if (!voter) return t.fail()
  voter.disk.syncMs = 60_000
  cluster.crash(leader)
  await cluster.clock.advance(20_000)
  t.deepEqual(cluster.leading(), [])
  voter.disk.syncMs = 1
})

test('should take one change of members at a time, and newcomers as learners', async t => {
  const { cluster, leader } = await startThree(5)
  const newcomer = (number: number) => ({ replicaId: `new-${number}`, hostId: `new-${number}`, peerAddress: `127.0.10.9${number}:1`, operatorAddress: '' })
  t.is(replicaOf(leader).join(newcomer(1)).kind, 'accepted')
  t.is(replicaOf(leader).join(newcomer(2)).kind, 'busy')
  t.is(replicaOf(leader).core.members.find(member => member.replicaId === 'new-1')?.role, MemberRole.Learner)
  await cluster.clock.advance(10_000)
  t.is(replicaOf(leader).core.members.find(member => member.replicaId === 'new-1')?.role, MemberRole.Learner)
})

test('should give a host whose disk was wiped a new identity, and let it vote again as that', async t => {
  const { cluster, others: [wiped] } = await startThree(6)
  if (!wiped) return t.fail()
  const oldId = replicaOf(wiped).core.replicaId
  cluster.wipe(wiped)
  await cluster.start(wiped)
  await cluster.until(() => replicaOf(wiped).core.isVoter(), 'it votes again')
  t.not(replicaOf(wiped).core.replicaId, oldId)
  t.false(replicaOf(wiped).core.members.some(member => member.replicaId === oldId))
  t.is(replicaOf(wiped).core.members.length, 3)
})

test('should survive the loss of a second of five right after the first was replaced', async t => {
  const cluster = new ReplicaCluster({ seed: 7, hostsCount: 5 })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  const [first, second] = cluster.hosts.filter(host => host !== leader)
  if (!first || !second) return t.fail()
  t.is((await write(cluster, leader, change('kept'))).kind, 'committed')
  cluster.wipe(first)
  await cluster.start(first)
  await cluster.until(() => replicaOf(first).core.isVoter(), 'the first is replaced')
  cluster.wipe(second)
  cluster.crash(leader)
  const successor = await cluster.untilLeader()
  t.truthy(successor.running?.state.resources.get(ResourceKind.PriorityClass, 'gold'))
  t.is((await write(cluster, successor, change('after'))).kind, 'committed')
  t.deepEqual(cluster.violations, [])
})

test('should not count an entry of an earlier term as committed by its copies alone', async t => {
  const { cluster, leader: first, others: [second, third] } = await startThree(8)
  if (!second || !third) return t.fail()
  // An entry of the first leader's term that no other replica has. It is large enough to need a message of its own.
  for (const other of [second, third]) cluster.network.cut(first.ip, other.ip)
  replicaOf(first).propose(change('lone', 'x'.repeat(1_200_000)), progressOf(cluster)).catch(() => {})
  await cluster.clock.advance(10)
  const index = replicaOf(first).core.state.log.lastIndex
  cluster.crash(first)
  // Another leader has an entry of a later term at the same index, which no other replica has either.
  let successor: ClusterHost | undefined
  while (!successor) {
    await cluster.clock.advance(1)
    successor = [second, third].find(host => host.running?.replica.leadership)
  }
  const voter = successor === second ? third : second
  cluster.crash(voter)
  await cluster.clock.advance(20)
  t.is(replicaOf(successor).core.state.log.lastIndex, index)
  cluster.crash(successor)
  // The first leads again and replicates its old entry, but crashes before an entry of its new term follows.
  cluster.network.heal()
  await cluster.start(first)
  await cluster.start(voter)
  while (replicaOf(voter).core.state.log.lastIndex < index) await cluster.clock.advance(1)
  cluster.network.cutOneWay(first.ip, voter.ip)
  await cluster.clock.advance(10)
  t.is(replicaOf(first).core.term > replicaOf(first).core.state.log.termAt(index)!, true)
  cluster.crash(first)
  await cluster.start(successor)
  await cluster.untilLeader()
  cluster.network.heal()
  await cluster.start(first)
  await cluster.clock.advance(2_000)
  t.deepEqual(cluster.violations, [])
})

test('should wait until a full disk has room, and not count its copy towards a quorum', async t => {
  const { cluster, leader, others } = await startThree(9)
  leader.disk.isFull = true
  t.is((await write(cluster, leader, change('by the others'))).kind, 'committed')
  cluster.crash(others[0] as ClusterHost)
  const lacking = await write(cluster, leader, change('by one disk only'))
  t.is(lacking.kind, 'unknown', 'one synced copy of three is no quorum')
  t.deepEqual(cluster.stopped, [])
  leader.disk.isFull = false
  const successor = await cluster.untilLeader()
  t.is((await write(cluster, successor, change('after'))).kind, 'committed')
  cluster.crash(leader)
  await cluster.start(leader)
  await cluster.start(others[0] as ClusterHost)
  await cluster.until(() => cluster.hosts.every(host => replicaOf(host).core.commitIndex >= replicaOf(successor).core.commitIndex), 'all hold everything')
  t.deepEqual(cluster.violations, [])
})

// A disk that was full when its replica became a member ended the process: only writes to the log waited.
for (const [kind, number] of [['forms', 0], ['joins', 1]] as const) {
  test(`should wait for room on the disk of a host that ${kind} a cluster`, async t => {
    const cluster = new ReplicaCluster({ seed: 12, hostsCount: 3 })
    await cluster.startAll()
    const short = cluster.hosts[number] as ClusterHost
    short.disk.isFull = true
    await cluster.clock.advance(5_000)
    t.deepEqual(cluster.stopped, [])
    t.true(cluster.logged.some(({ number }) => number === ReplicationEvent.DiskFull))
    short.disk.isFull = false
    await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
    t.deepEqual(cluster.violations, [])
    t.deepEqual(cluster.stopped, [])
  })
}

test('should wait on a full disk while a snapshot of the leader arrives, and install it once there is room', async t => {
  const { cluster, leader, others } = await startThree(11)
  const behind = others[0] as ClusterHost
  for (const other of cluster.hosts) if (other !== behind) cluster.network.cut(behind.ip, other.ip)
  for (let number = 0; number < 20; number++) t.is((await write(cluster, leader, change(`without it ${number}`))).kind, 'committed')
  t.true(replicaOf(leader).core.state.log.baseIndex > replicaOf(behind).core.state.log.lastIndex, 'it needs the snapshot')
  behind.disk.isFull = true
  cluster.network.heal()
  await cluster.clock.advance(5_000)
  t.deepEqual(cluster.stopped, [])
  t.true(replicaOf(behind).core.commitIndex < replicaOf(leader).core.state.log.baseIndex)
  behind.disk.isFull = false
  await cluster.until(() => replicaOf(behind).core.commitIndex >= replicaOf(leader).core.commitIndex, 'it holds everything')
  t.deepEqual(cluster.violations, [])
  t.deepEqual(cluster.stopped, [])
})

test('should not form a second cluster when the first host restarts with an empty disk and reaches no other host', async t => {
  const { cluster } = await startThree(10)
  const wiped = cluster.host(0)
  for (const other of cluster.hosts.slice(1)) cluster.network.cut(wiped.ip, other.ip)
  cluster.wipe(wiped)
  await cluster.start(wiped)
  await cluster.clock.advance(20_000)
  t.is(replicaOf(wiped).core.clusterId, null)
  cluster.network.heal()
  await cluster.until(() => replicaOf(wiped).core.isVoter(), 'it joins the old one')
  t.is(replicaOf(wiped).core.clusterId, replicaOf(cluster.host(1)).core.clusterId)
})
