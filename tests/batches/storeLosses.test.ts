/**
 * A batch store whose hosts lose their disks, two at a time, while it is as
 * large as all the store hosts of a deployment.
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

const STRIKE_AFTER_MS = 8_000
const KEEP_MS = 1_000_000
/** A host that comes back with an empty disk counts as whole again after this. */
const CATCH_UP_MS = 6_000
const TOLERATED_LOSSES = 2
const PATIENCE_MS = 5_000
/** All store hosts of a small and of a large deployment. */
const STORE_SIZES = [10, 13]
/** The smallest store that bears the losses. */
const SMALLEST_SIZE = 2 * TOLERATED_LOSSES + 1

type StoreCluster = ReplicaCluster<BatchState>
type StoreHost = ClusterHost<BatchState>

async function startStore (hostsCount: number): Promise<StoreCluster> {
  const program = { createState: () => new BatchState(), run: () => {} }
  const cluster = new ReplicaCluster<BatchState>({ seed: 17, hostsCount, strikeSilentAfterMs: STRIKE_AFTER_MS, toleratedLosses: TOLERATED_LOSSES }, program)
  await cluster.startAll()
  await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  return cluster
}

function progressOf (cluster: StoreCluster): Progress {
  return new Progress(cluster.clock, new Scope('client'), cluster.clock.nowMs() + PATIENCE_MS)
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

/** Batches that a quorum does not have. */
async function missing (cluster: StoreCluster, batchIds: string[]): Promise<string[]> {
  const { replica, state } = await leaderOf(cluster)
  const read = await cluster.clock.advanceUntil(replica.read(ReadMode.Quorum, progressOf(cluster)))
  return read.kind === 'confirmed' ? batchIds.filter(batchId => !state.get(batchId)) : batchIds
}

/** Hosts whose present disk does not vote. */
async function notVoting (cluster: StoreCluster): Promise<string[]> {
  const { replica } = await leaderOf(cluster)
  const voters = votersOf(replica.core.members)
  const isVoting = ({ running }: StoreHost): boolean => voters.some(({ replicaId }) => replicaId === running?.replica.core.replicaId)
  const others = voters.length - cluster.hosts.length
  return [...cluster.hosts.filter(host => !isVoting(host)).map(({ hostId }) => hostId), ...others > 0 ? [`${others} that are gone`] : []]
}

/** Every host loses power; some of them lose their disk too. */
async function losePower (cluster: StoreCluster, disksOf: StoreHost[]): Promise<void> {
  for (const host of cluster.hosts) cluster.crash(host)
  for (const host of disksOf) cluster.wipe(host)
  for (const host of cluster.hosts) await cluster.start(host)
}

function pairsOf (cluster: StoreCluster): StoreHost[][] {
  const { hosts } = cluster
  return hosts.map((_host, position) => hosts.slice(position, position + TOLERATED_LOSSES)).filter((_pair, position) => position % TOLERATED_LOSSES === 0)
}

for (const hostsCount of STORE_SIZES) {
  test(`should let two hosts that lost their disk vote again in time in a store of ${hostsCount}`, async t => {
    const cluster = await startStore(hostsCount)
    const [pair = []] = pairsOf(cluster)
    for (const host of pair) cluster.wipe(host)
    for (const host of pair) await cluster.start(host)
    await cluster.clock.advance(CATCH_UP_MS)
    t.deepEqual(await notVoting(cluster), [])
    t.deepEqual(cluster.violations, [])
  })
}

test('should keep every accepted batch while all disks are lost in turn, two with each loss of power', async t => {
  for (const hostsCount of STORE_SIZES) {
    const cluster = await startStore(hostsCount)
    const batchIds: string[] = []
    for (const [round, pair] of pairsOf(cluster).entries()) {
      const batchId = `batch-${round}`
      t.is(await accept(cluster, batchId), 'committed')
      batchIds.push(batchId)
      await losePower(cluster, pair)
      t.deepEqual(await missing(cluster, batchIds), [], `loss ${round} of ${hostsCount} hosts`)
      await cluster.clock.advance(CATCH_UP_MS)
    }
    t.deepEqual(cluster.violations, [])
  }
})

test('should keep a batch that was accepted while two hosts were away for long, when two others lose their disk', async t => {
  const cluster = await startStore(SMALLEST_SIZE)
  const [first, second, third, fourth] = cluster.hosts as [StoreHost, StoreHost, StoreHost, StoreHost]
  for (const host of [first, second]) cluster.crash(host)
  await cluster.clock.advance(4 * STRIKE_AFTER_MS)
  t.is(await accept(cluster, 'batch'), 'committed')
  await losePower(cluster, [third, fourth])
  t.deepEqual(await missing(cluster, ['batch']), [])
  t.deepEqual(cluster.violations, [])
})

test('should let a newcomer take the place of a voter that went just before it came', async t => {
  const cluster = await startStore(SMALLEST_SIZE)
  cluster.remove(cluster.host(1))
  await cluster.start(cluster.addHost())
  await cluster.clock.advance(CATCH_UP_MS / 2)
  t.deepEqual(await notVoting(cluster), [])
})

test('should not take a host out of the members while fewer would be left than bear the losses', async t => {
  const cluster = await startStore(SMALLEST_SIZE + 1)
  const [away, leaving, third, fourth] = cluster.hosts as [StoreHost, StoreHost, StoreHost, StoreHost]
  cluster.crash(away)
  await cluster.clock.advance(2 * STRIKE_AFTER_MS)
  t.is((await leaderOf(cluster)).replica.remove(leaving.hostId).kind, 'refused')
  t.is(await accept(cluster, 'batch'), 'committed')
  await losePower(cluster, [third, fourth])
  t.deepEqual(await missing(cluster, ['batch']), [])
  await cluster.clock.advance(CATCH_UP_MS)
  t.is((await leaderOf(cluster)).replica.remove(leaving.hostId).kind, 'accepted')
})

test('should keep every batch when two hosts were replaced at other addresses and two others lose their disk', async t => {
  const cluster = await startStore(SMALLEST_SIZE)
  const [first, second, third, fourth] = cluster.hosts as [StoreHost, StoreHost, StoreHost, StoreHost]
  for (const host of [first, second]) cluster.remove(host)
  await cluster.start(cluster.addHost())
  await cluster.start(cluster.addHost())
  await cluster.clock.advance(CATCH_UP_MS)
  t.is(await accept(cluster, 'batch'), 'committed')
  await losePower(cluster, [third, fourth])
  t.deepEqual(await missing(cluster, ['batch']), [])
  await cluster.clock.advance(CATCH_UP_MS)
  t.deepEqual(await notVoting(cluster), [])
  t.deepEqual(cluster.violations, [])
})
