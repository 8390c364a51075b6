/**
 * A batch store in which only as many hosts are members as the tolerated losses
 * require. Modelled load: a deployment of many store hosts, of which two lose their
 * disk at once, or one after the other as soon as the first has been replaced.
 */
import test from 'ava'
import { BatchState } from '../../src/batches/batchState.js'
import { BatchCommandKind } from '../../src/protocol/batches.js'
import { MemberRole, votersOf, type Member } from '../../src/replication/log/members.js'
import { ReadMode, type Replica } from '../../src/replication/log/replica.js'
import { excessMember, shouldAdmit, placementFor, spreadOverDataCentres } from '../../src/replication/log/replicaPlacement.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

const TOLERATED_LOSSES = 2
const REMOVE_SILENT_AFTER_MS = 8_000
const CATCH_UP_MS = 6_000
const CLIENT_TIMEOUT_MS = 5_000
const KEEP_MS = 1_000_000
const HOSTS_COUNT = 30
/** More hosts than members, and faster to start than the large store. */
const SMALL_HOSTS_COUNT = 10
const placement = placementFor(TOLERATED_LOSSES)
const membersCount = placement.votersCount + placement.sparesCount

type StoreCluster = ReplicaCluster<BatchState>
type StoreHost = ClusterHost<BatchState>

function membersOf (cluster: StoreCluster): Member[] {
  return cluster.leading()[0]?.running?.replica.core.members ?? []
}

function hasConverged (cluster: StoreCluster): boolean {
  const members = membersOf(cluster)
  const present = cluster.hosts.flatMap(({ running }) => running?.replica.core.replicaId ?? [])
  return members.length === membersCount && votersOf(members).length === placement.votersCount &&
    members.every(({ replicaId }) => present.includes(replicaId))
}

async function startStore (hostsCount = HOSTS_COUNT): Promise<StoreCluster> {
  const program = { createState: () => new BatchState(), run: () => {} }
  const options = { seed: 5, hostsCount, strikeSilentAfterMs: REMOVE_SILENT_AFTER_MS, toleratedLosses: TOLERATED_LOSSES, placement }
  const cluster = new ReplicaCluster<BatchState>(options, program)
  await cluster.startAll()
  await cluster.until(() => hasConverged(cluster), 'all member roles are filled')
  return cluster
}

async function leaderOf (cluster: StoreCluster): Promise<{ replica: Replica, state: BatchState }> {
  const { running } = await cluster.untilLeader()
  if (!running) throw new Error('the leader is not running')
  return running
}

function progressOf (cluster: StoreCluster): Progress {
  return new Progress(cluster.clock, new Scope('client'), cluster.clock.nowMs() + CLIENT_TIMEOUT_MS)
}

async function accept (cluster: StoreCluster, batchId: string): Promise<string> {
  const { replica } = await leaderOf(cluster)
  const command = { kind: BatchCommandKind.Submit, submission: submission(batchId, [`${batchId}-item`]), keepMs: KEEP_MS }
  return (await cluster.clock.advanceUntil(replica.propose(command, progressOf(cluster)))).kind
}

async function missingBatches (cluster: StoreCluster, batchIds: string[]): Promise<string[]> {
  const { replica, state } = await leaderOf(cluster)
  const read = await cluster.clock.advanceUntil(replica.read(ReadMode.Quorum, progressOf(cluster)))
  return read.kind === 'confirmed' ? batchIds.filter(batchId => !state.get(batchId)) : batchIds
}

function hostsOf (cluster: StoreCluster, role: MemberRole): StoreHost[] {
  const replicaIds = membersOf(cluster).filter(member => member.role === role).map(({ replicaId }) => replicaId)
  return cluster.hosts.filter(({ running }) => replicaIds.includes(running?.replica.core.replicaId ?? ''))
}

test('should have as many replicas as the tolerated losses require, whatever the number of hosts', async t => {
  const cluster = await startStore()
  await cluster.clock.advance(CATCH_UP_MS)
  t.true(hasConverged(cluster))
  t.deepEqual(cluster.violations, [])
})

test('should replace two voters that are removed for good before the next two are lost', async t => {
  const cluster = await startStore()
  const batchIds: string[] = []
  for (let round = 0; round < 4; round++) {
    const batchId = `batch-${round}`
    t.is(await accept(cluster, batchId), 'committed')
    batchIds.push(batchId)
    for (const host of hostsOf(cluster, MemberRole.Voter).slice(0, TOLERATED_LOSSES)) cluster.remove(host)
    await cluster.clock.advance(CATCH_UP_MS)
    t.true(hasConverged(cluster), `round ${round}: ${JSON.stringify(membersOf(cluster).map(({ hostId, role }) => `${hostId} ${role}`))}`)
    t.deepEqual(await missingBatches(cluster, batchIds), [])
  }
  t.deepEqual(cluster.violations, [])
})

test('should keep accepted batches when two voters lose their disk while all others lose power, repeatedly', async t => {
  const cluster = await startStore()
  const batchIds: string[] = []
  for (let round = 0; round < 4; round++) {
    const batchId = `batch-${round}`
    t.is(await accept(cluster, batchId), 'committed')
    batchIds.push(batchId)
    const hostsLosingDisks = hostsOf(cluster, MemberRole.Voter).slice(0, TOLERATED_LOSSES)
    for (const host of cluster.hosts) cluster.crash(host)
    for (const host of hostsLosingDisks) cluster.wipe(host)
    for (const host of cluster.hosts) await cluster.start(host)
    t.deepEqual(await missingBatches(cluster, batchIds), [], `round ${round}`)
    await cluster.clock.advance(CATCH_UP_MS)
    t.true(hasConverged(cluster), `round ${round}`)
  }
})

for (const afterMs of [1_900, 2_200, 2_500, 2_800, 3_500]) {
  test(`should keep accepted batches when the second disk is lost ${afterMs} ms after the first, while a spare is promoted to voter`, async t => {
    const cluster = await startStore(SMALL_HOSTS_COUNT)
    t.is(await accept(cluster, 'batch'), 'committed')
    const [first, second] = hostsOf(cluster, MemberRole.Voter)
    if (!first || !second) return t.fail('fewer than two voters')
    cluster.remove(first)
    await cluster.clock.advance(afterMs)
    for (const host of cluster.hosts) cluster.crash(host)
    cluster.wipe(second)
    for (const host of cluster.hosts) await cluster.start(host)
    t.deepEqual(await missingBatches(cluster, ['batch']), [])
    await cluster.clock.advance(CATCH_UP_MS)
    t.true(hasConverged(cluster))
    t.deepEqual(cluster.violations, [])
  })
}

test('should promote a spare before a voter is removed, and add another host as a spare', async t => {
  const cluster = await startStore()
  const [leaving] = hostsOf(cluster, MemberRole.Voter).filter(host => !host.running?.replica.leadership)
  if (!leaving) return t.fail('no voter that follows')
  cluster.leavingHostIds.add(leaving.hostId)
  const isOut = (): boolean => {
    cluster.leading()[0]?.running?.replica.remove(leaving.hostId)
    return membersOf(cluster).every(({ hostId }) => hostId !== leaving.hostId)
  }
  await cluster.until(isOut, 'the voter is removed from the members', CATCH_UP_MS)
  t.true(votersOf(membersOf(cluster)).length >= placement.votersCount)
  await cluster.until(() => hasConverged(cluster), 'all member roles are filled again', CATCH_UP_MS)
  t.deepEqual(cluster.violations, [])
})

test('should make a voter that was down at most a spare when it returns', async t => {
  const cluster = await startStore()
  const [away] = hostsOf(cluster, MemberRole.Voter).filter(host => !host.running?.replica.leadership)
  if (!away) return t.fail('no voter that follows')
  cluster.crash(away)
  await cluster.clock.advance(CATCH_UP_MS)
  await cluster.start(away)
  await cluster.clock.advance(CATCH_UP_MS)
  t.true(hasConverged(cluster))
  t.deepEqual(cluster.violations, [])
})

function member (number: number, dataCentre: string, role = MemberRole.Voter): Member {
  return { replicaId: `r${number}`, hostId: `h${number}`, peerAddress: `h${number}:1`, operatorAddress: `h${number}:1`, dataCentre, role }
}

test('should choose the initial replicas from each data centre in turn', t => {
  const hosts = ['a', 'a', 'a', 'b', 'b', 'c'].map((dataCentre, number) => ({ dataCentre, number }))
  t.deepEqual(spreadOverDataCentres(hosts, 5).map(({ dataCentre }) => dataCentre).sort(), ['a', 'a', 'b', 'b', 'c'])
  t.is(spreadOverDataCentres(hosts, 9).length, hosts.length)
})

test('should not put too many replicas into one data centre, unless there is only one', t => {
  const crowded = [member(1, 'a'), member(2, 'a'), member(3, 'a'), member(4, 'b'), member(5, 'b')]
  t.false(shouldAdmit(placementFor(2), crowded.slice(0, 4).concat(member(6, 'a')), member(7, 'a')))
  t.true(shouldAdmit(placementFor(2), crowded, member(7, 'b')))
  const alone = [member(1, 'a'), member(2, 'a')]
  t.true(shouldAdmit(placementFor(1), alone, member(3, 'a')))
})

test('should demote neither the leader nor a voter that is needed', t => {
  const voters = [1, 2, 3].map(number => member(number, 'a'))
  t.is(excessMember(placementFor(1), voters, 'r1'), undefined)
  t.not(excessMember(placementFor(1), [...voters, member(4, 'a')], 'r4')?.replicaId, 'r4')
  t.is(excessMember(placementFor(1), [...voters, member(4, 'b', MemberRole.Learner), member(5, 'a', MemberRole.Learner)], 'r1')?.replicaId, 'r5')
})
