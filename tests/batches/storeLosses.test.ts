/**
 * A batch store whose hosts lose their disks, two at a time, with all store hosts
 * of a deployment as members.
 */
import test from 'ava'
import { BatchState } from '../../src/batches/batchState.js'
import { BatchCommandKind } from '../../src/protocol/batches.js'
import { votersOf } from '../../src/replication/log/members.js'
import { ReadMode, type Replica } from '../../src/replication/log/replica.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

const REMOVE_SILENT_AFTER_MS = 8_000
const KEEP_MS = 1_000_000
/** A host that returns with an empty disk has caught up after this time. */
const CATCH_UP_MS = 6_000
const TOLERATED_LOSSES = 2
const CLIENT_TIMEOUT_MS = 5_000
/** All store hosts of a small and of a large deployment. */
const STORE_SIZES = [10, 13]
/** The smallest store that tolerates the losses. */
const SMALLEST_SIZE = 2 * TOLERATED_LOSSES + 1

type StoreCluster = ReplicaCluster<BatchState>
type StoreHost = ClusterHost<BatchState>

async function startStore (hostsCount: number): Promise<StoreCluster> {
  const program = { createState: () => new BatchState(), run: () => {} }
  const cluster = new ReplicaCluster<BatchState>({ seed: 17, hostsCount, strikeSilentAfterMs: REMOVE_SILENT_AFTER_MS, toleratedLosses: TOLERATED_LOSSES }, program)
  await cluster.startAll()
  await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  return cluster
}

function progressOf (cluster: StoreCluster): Progress {
  return new Progress(cluster.clock, new Scope('client'), cluster.clock.nowMs() + CLIENT_TIMEOUT_MS)
}

async function leaderOf (cluster: StoreCluster): Promise<{ replica: Replica, state: BatchState }> {
  const { running } = await cluster.untilLeader()
  if (!running) throw new Error('the leader is not running')
  return running
}

async function accept (cluster: StoreCluster, batchId: string): Promise<string> {
  const { replica } = await leaderOf(cluster)
  const command = { kind: BatchCommandKind.Submit, submission: submission(batchId, [`${batchId}-item`]), keepMs: KEEP_MS }
  const outcome = await cluster.clock.advanceUntil(replica.propose(command, progressOf(cluster)))
  return outcome.kind
}

/** Batches that a quorum read does not find. */
async function missingBatches (cluster: StoreCluster, batchIds: string[]): Promise<string[]> {
  const { replica, state } = await leaderOf(cluster)
  const read = await cluster.clock.advanceUntil(replica.read(ReadMode.Quorum, progressOf(cluster)))
  return read.kind === 'confirmed' ? batchIds.filter(batchId => !state.get(batchId)) : batchIds
}

/** Hosts whose current replica does not vote. */
async function nonVotingHosts (cluster: StoreCluster): Promise<string[]> {
  const { replica } = await leaderOf(cluster)
  const voters = votersOf(replica.core.members)
  const isVoting = ({ running }: StoreHost): boolean => voters.some(({ replicaId }) => replicaId === running?.replica.core.replicaId)
  const others = voters.length - cluster.hosts.length
  return [...cluster.hosts.filter(host => !isVoting(host)).map(({ hostId }) => hostId), ...others > 0 ? [`${others} removed voters`] : []]
}

/** All hosts lose power, some of them their disk too, and all start again. */
async function losePower (cluster: StoreCluster, hostsLosingDisks: StoreHost[]): Promise<void> {
  for (const host of cluster.hosts) cluster.crash(host)
  for (const host of hostsLosingDisks) cluster.wipe(host)
  for (const host of cluster.hosts) await cluster.start(host)
}

function pairsOf (cluster: StoreCluster): StoreHost[][] {
  const { hosts } = cluster
  return hosts.map((_host, position) => hosts.slice(position, position + TOLERATED_LOSSES)).filter((_pair, position) => position % TOLERATED_LOSSES === 0)
}

for (const hostsCount of STORE_SIZES) {
  test(`should let two hosts that lost their disk vote again in time in a store of ${hostsCount} hosts`, async t => {
    const cluster = await startStore(hostsCount)
    const [pair = []] = pairsOf(cluster)
    for (const host of pair) cluster.wipe(host)
    for (const host of pair) await cluster.start(host)
    await cluster.clock.advance(CATCH_UP_MS)
    t.deepEqual(await nonVotingHosts(cluster), [])
    t.deepEqual(cluster.violations, [])
  })
}

test('should keep every accepted batch while all disks are lost in turn, two with each power loss', async t => {
  for (const hostsCount of STORE_SIZES) {
    const cluster = await startStore(hostsCount)
    const batchIds: string[] = []
    for (const [round, pair] of pairsOf(cluster).entries()) {
      const batchId = `batch-${round}`
      t.is(await accept(cluster, batchId), 'committed')
      batchIds.push(batchId)
      await losePower(cluster, pair)
      t.deepEqual(await missingBatches(cluster, batchIds), [], `loss ${round} of ${hostsCount} hosts`)
      await cluster.clock.advance(CATCH_UP_MS)
    }
    t.deepEqual(cluster.violations, [])
  }
})

test('should keep a batch that was accepted while two hosts were down for long, when two others lose their disk', async t => {
  const cluster = await startStore(SMALLEST_SIZE)
  const [first, second, third, fourth] = cluster.hosts as [StoreHost, StoreHost, StoreHost, StoreHost]
  for (const host of [first, second]) cluster.crash(host)
  await cluster.clock.advance(4 * REMOVE_SILENT_AFTER_MS)
  t.is(await accept(cluster, 'batch'), 'committed')
  await losePower(cluster, [third, fourth])
  t.deepEqual(await missingBatches(cluster, ['batch']), [])
  t.deepEqual(cluster.violations, [])
})

test('should let a new host replace a voter that was removed just before', async t => {
  const cluster = await startStore(SMALLEST_SIZE)
  cluster.remove(cluster.host(1))
  await cluster.start(cluster.addHost())
  await cluster.clock.advance(CATCH_UP_MS / 2)
  t.deepEqual(await nonVotingHosts(cluster), [])
})

test('should not remove a member while too few would remain to tolerate the losses', async t => {
  const cluster = await startStore(SMALLEST_SIZE + 1)
  const [away, leaving, third, fourth] = cluster.hosts as [StoreHost, StoreHost, StoreHost, StoreHost]
  cluster.crash(away)
  await cluster.clock.advance(2 * REMOVE_SILENT_AFTER_MS)
  t.is((await leaderOf(cluster)).replica.remove(leaving.hostId).kind, 'refused')
  t.is(await accept(cluster, 'batch'), 'committed')
  await losePower(cluster, [third, fourth])
  t.deepEqual(await missingBatches(cluster, ['batch']), [])
  await cluster.clock.advance(CATCH_UP_MS)
  t.is((await leaderOf(cluster)).replica.remove(leaving.hostId).kind, 'accepted')
})

test('should keep every batch when two hosts were replaced at new addresses and two others lose their disk', async t => {
  const cluster = await startStore(SMALLEST_SIZE)
  const [first, second, third, fourth] = cluster.hosts as [StoreHost, StoreHost, StoreHost, StoreHost]
  for (const host of [first, second]) cluster.remove(host)
  await cluster.start(cluster.addHost())
  await cluster.start(cluster.addHost())
  await cluster.clock.advance(CATCH_UP_MS)
  t.is(await accept(cluster, 'batch'), 'committed')
  await losePower(cluster, [third, fourth])
  t.deepEqual(await missingBatches(cluster, ['batch']), [])
  await cluster.clock.advance(CATCH_UP_MS)
  t.deepEqual(await nonVotingHosts(cluster), [])
  t.deepEqual(cluster.violations, [])
})
