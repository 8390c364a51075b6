/**
 * Snapshots of a state of many pieces: each write, transfer and read stays small,
 * and the loss of the leader during a transfer only delays it.
 */
import test from 'ava'
import { BatchState } from '../../src/batches/batchState.js'
import { BatchCommandKind, ResultState } from '../../src/protocol/batches.js'
import type { SnapshotPolicy } from '../../src/replication/log/logApplier.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

const KEEP_MS = 1_000_000
const CLIENT_TIMEOUT_MS = 5_000
const BATCHES_COUNT = 40
const ITEMS_PER_BATCH = 8
const TEXT_BYTES = 20_000
/** Size of all texts: about thirteen pieces of a transfer. */
const STATE_BYTES = BATCHES_COUNT * ITEMS_PER_BATCH * TEXT_BYTES
/** Above the size of a transferred piece, and of a snapshot piece with its 64 results. */
const LARGEST_STEP_BYTES = 1.5 * 1024 * 1024
const snapshotPolicy: SnapshotPolicy = { everyEntriesCount: 100, everyBytes: 1 << 30, keptEntriesCount: 2 }

type StoreCluster = ReplicaCluster<BatchState>
type StoreHost = ClusterHost<BatchState>

async function startStore (seed: number): Promise<StoreCluster> {
  const program = { createState: () => new BatchState(), run: () => {} }
  const cluster = new ReplicaCluster<BatchState>({ seed, hostsCount: 3, snapshotPolicy }, program)
  await cluster.startAll()
  await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  return cluster
}

async function propose (cluster: StoreCluster, command: unknown): Promise<void> {
  const { running } = await cluster.untilLeader()
  const progress = new Progress(cluster.clock, new Scope('client'), cluster.clock.nowMs() + CLIENT_TIMEOUT_MS)
  const outcome = await cluster.clock.advanceUntil(running?.replica.propose(command, progress) ?? Promise.resolve({ kind: 'not running' }))
  if (outcome.kind !== 'committed') throw new Error(outcome.kind)
}

async function fill (cluster: StoreCluster): Promise<void> {
  for (let batch = 0; batch < BATCHES_COUNT; batch++) {
    const batchId = `b${batch}`
    const itemIds = Array.from({ length: ITEMS_PER_BATCH }, (_value, item) => `${batchId}-i${item}`)
    await propose(cluster, { kind: BatchCommandKind.Submit, submission: submission(batchId, itemIds), keepMs: KEEP_MS })
    for (const itemId of itemIds) {
      const deflatedText = new Uint8Array(TEXT_BYTES).fill(batch)
      const parts = [{ eventsCount: 1, deflatedText, textLengthBytes: TEXT_BYTES, versions: [1] }]
      const result = { itemId, state: ResultState.Completed, parts, versions: [1] }
      await propose(cluster, { kind: BatchCommandKind.Finish, batchId, afterEventId: 0, result })
    }
  }
}

function contentOf (host: StoreHost): string {
  return JSON.stringify([...host.running?.state.batches() ?? []].map(batch => batch.record()), (_key, value: unknown) => (
    value instanceof Uint8Array ? Buffer.from(value).toString('base64') : value
  ))
}

function hasCaughtUp (cluster: StoreCluster, host: StoreHost): boolean {
  const others = cluster.hosts.filter(other => other !== host)
  return (host.running?.replica.appliedIndex ?? 0) >= Math.max(...others.map(({ running }) => running?.replica.appliedIndex ?? 0)) && contentOf(host) !== '[]'
}

test('should write, send and read a large state in pieces, and restore it on a host that lost its disk', async t => {
  const cluster = await startStore(1)
  await fill(cluster)
  const leader = await cluster.untilLeader()
  const wiped = cluster.hosts.find(host => host !== leader) as StoreHost
  cluster.wipe(wiped)
  await cluster.start(wiped)
  await cluster.until(() => hasCaughtUp(cluster, wiped), 'it holds everything')
  t.is(contentOf(wiped), contentOf(leader))
  t.true(contentOf(leader).length > STATE_BYTES)
  for (const { disk, hostId } of cluster.hosts) t.true(disk.largestTransferBytes < LARGEST_STEP_BYTES, `${hostId}: ${disk.largestTransferBytes} bytes in one step`)
  cluster.crash(wiped)
  await cluster.start(wiped)
  await cluster.until(() => hasCaughtUp(cluster, wiped), 'it has restored the received snapshot')
  t.is(contentOf(wiped), contentOf(leader))
  t.deepEqual([...cluster.violations, ...cluster.stopped], [])
})

test('should receive a complete snapshot when the leader is lost during the transfer', async t => {
  for (const lostAfterMs of [1, 4, 9, 14]) {
    const cluster = await startStore(lostAfterMs)
    await fill(cluster)
    const leader = await cluster.untilLeader()
    const wiped = cluster.hosts.find(host => host !== leader) as StoreHost
    cluster.wipe(wiped)
    await cluster.start(wiped)
    while (!wiped.disk.names().includes('incoming.tmp')) await cluster.clock.advance(1)
    await cluster.clock.advance(lostAfterMs)
    t.true(wiped.disk.names().includes('incoming.tmp'), `the transfer is still in progress ${lostAfterMs} ms later`)
    cluster.crash(leader)
    await cluster.clock.advance(1_500)
    await cluster.start(leader)
    await cluster.untilLeader()
    await cluster.until(() => hasCaughtUp(cluster, wiped), 'it holds everything')
    t.is(contentOf(wiped), contentOf(leader))
    t.deepEqual([...cluster.violations, ...cluster.stopped], [])
  }
})
