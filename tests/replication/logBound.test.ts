/**
 * Entries that arrive while a snapshot is written. A slow disk lengthens that time,
 * and all entries of it stay in memory, so there is a bound on them, counted in bytes.
 */
import test, { type ExecutionContext } from 'ava'
import { BatchState } from '../../src/batches/batchState.js'
import { BatchCommandKind } from '../../src/protocol/batches.js'
import type { SnapshotPolicy } from '../../src/replication/log/logApplier.js'
import type { ProposalOutcome } from '../../src/replication/log/proposals.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

const KEEP_MS = 1_000_000
const CLIENT_TIMEOUT_MS = 60_000
const BODY_BYTES = 100_000
const EVERY_BYTES = 1_000_000
/** Three times the size at which a snapshot is due, and the entry that exceeds it. */
const FULL_BYTES = 3 * EVERY_BYTES + 2 * BODY_BYTES
/** Largest message with entries, which a host that has room takes as a whole. */
const MAX_APPEND_BYTES = 1024 * 1024
const BATCHES_COUNT = 60
const INTERVAL_MS = 50
const SLOW_SYNC_MS = 4_000
const snapshotPolicy: SnapshotPolicy = { everyEntriesCount: 1_000_000, everyBytes: EVERY_BYTES, keptEntriesCount: 2 }

type StoreCluster = ReplicaCluster<BatchState>
type StoreHost = ClusterHost<BatchState>

async function startStore (seed: number): Promise<StoreCluster> {
  const cluster = new ReplicaCluster<BatchState>({ seed, hostsCount: 3, snapshotPolicy }, { createState: () => new BatchState(), run: () => {} })
  await cluster.startAll()
  await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  return cluster
}

function uncoveredBytes ({ running }: StoreHost): number {
  return running?.replica.core.state.log.uncoveredBytes ?? 0
}

function submitCommand (number: number): unknown {
  const batch = submission(`b${number}`, [`i${number}`])
  batch.items[0]!.body = new Uint8Array(BODY_BYTES).fill(number)
  return { kind: BatchCommandKind.Submit, submission: batch, keepMs: KEEP_MS }
}

/** Proposes batches at a fixed pace; returns the outcomes, and the most bytes that each host held after its latest snapshot. */
async function propose (cluster: StoreCluster, timeoutMs = CLIENT_TIMEOUT_MS): Promise<{ outcomes: ProposalOutcome[], mostBytes: Map<string, number> }> {
  const { running } = await cluster.untilLeader()
  const pending: Array<Promise<ProposalOutcome>> = []
  const mostBytes = new Map<string, number>()
  for (let number = 0; number < BATCHES_COUNT; number++) {
    const progress = new Progress(cluster.clock, new Scope('client'), cluster.clock.nowMs() + timeoutMs)
    pending.push(running!.replica.propose(submitCommand(number), progress))
    await cluster.clock.advance(INTERVAL_MS)
    for (const host of cluster.hosts) mostBytes.set(host.hostId, Math.max(mostBytes.get(host.hostId) ?? 0, uncoveredBytes(host)))
  }
  const outcomes = await cluster.clock.advanceUntil(Promise.all(pending))
  return { outcomes, mostBytes }
}

async function checkAllHold (t: ExecutionContext, cluster: StoreCluster, batchesCount: number): Promise<void> {
  await cluster.until(() => cluster.hosts.every(({ running }) => [...running?.state.batches() ?? []].length === batchesCount), 'all hosts hold all batches')
  t.deepEqual([...cluster.violations, ...cluster.stopped], [])
}

// The log in memory grew as long as the snapshot took: 6 MB in this run, with snapshots due every 1 MB.
test('should let entries wait while the snapshots of all hosts are slow, and lose none', async t => {
  const cluster = await startStore(1)
  for (const { disk } of cluster.hosts) disk.snapshotSyncMs = SLOW_SYNC_MS
  const { outcomes, mostBytes } = await propose(cluster)
  t.deepEqual(outcomes.filter(({ kind }) => kind !== 'committed'), [])
  for (const [hostId, bytes] of mostBytes) t.true(bytes <= FULL_BYTES, `${hostId}: ${bytes} bytes`)
  await checkAllHold(t, cluster, BATCHES_COUNT)
})

test('should hold up only the host whose snapshots are slow', async t => {
  const cluster = await startStore(2)
  const leader = await cluster.untilLeader()
  const slow = cluster.hosts.find(host => host !== leader) as StoreHost
  slow.disk.snapshotSyncMs = SLOW_SYNC_MS
  const fromMs = cluster.clock.nowMs()
  const { outcomes, mostBytes } = await propose(cluster)
  t.deepEqual(outcomes.filter(({ kind }) => kind !== 'committed'), [])
  t.true(cluster.clock.nowMs() - fromMs <= BATCHES_COUNT * INTERVAL_MS + SLOW_SYNC_MS / 10, `${cluster.clock.nowMs() - fromMs} ms`)
  t.true((mostBytes.get(slow.hostId) ?? 0) <= FULL_BYTES + MAX_APPEND_BYTES, `${mostBytes.get(slow.hostId)} bytes`)
  slow.disk.snapshotSyncMs = 0
  await checkAllHold(t, cluster, BATCHES_COUNT)
})

test('should refuse truly what finds no room in time', async t => {
  const cluster = await startStore(3)
  for (const { disk } of cluster.hosts) disk.snapshotSyncMs = 10 * SLOW_SYNC_MS
  const { outcomes } = await propose(cluster, 500)
  const committedCount = outcomes.filter(({ kind }) => kind === 'committed').length
  t.deepEqual(outcomes.filter(({ kind }) => kind === 'unknown'), [])
  t.true(committedCount > 0 && committedCount < BATCHES_COUNT, `${committedCount} committed`)
  for (const { disk } of cluster.hosts) disk.snapshotSyncMs = 0
  await checkAllHold(t, cluster, committedCount)
})

// A log that is full of entries which no quorum has must take the entries that replace them.
test('should let a host whose log is full of entries of a deposed leader follow the next one', async t => {
  const cluster = await startStore(4)
  const deposed = await cluster.untilLeader()
  for (const other of cluster.hosts) if (other !== deposed) cluster.network.cut(deposed.ip, other.ip)
  const pending: Array<Promise<ProposalOutcome>> = []
  while (uncoveredBytes(deposed) < 3 * EVERY_BYTES && deposed.running?.replica.leadership) {
    const progress = new Progress(cluster.clock, new Scope('client'), cluster.clock.nowMs() + CLIENT_TIMEOUT_MS)
    pending.push(deposed.running.replica.propose(submitCommand(1_000 + pending.length), progress))
    await cluster.clock.advance(1)
  }
  t.true(uncoveredBytes(deposed) >= 3 * EVERY_BYTES, `${uncoveredBytes(deposed)} bytes`)
  await cluster.until(() => cluster.leading().some(host => host !== deposed), 'another host leads')
  const next = cluster.leading().find(host => host !== deposed) as StoreHost
  await cluster.until(() => next.running?.replica.leadership?.mayChangeMembers() === true, 'it has committed')
  const progress = new Progress(cluster.clock, new Scope('client'), cluster.clock.nowMs() + CLIENT_TIMEOUT_MS)
  const outcome = await cluster.clock.advanceUntil(next.running!.replica.propose(submitCommand(1), progress))
  t.is(outcome.kind, 'committed')
  cluster.network.heal()
  await checkAllHold(t, cluster, 1)
  const outcomes = await cluster.clock.advanceUntil(Promise.all(pending))
  t.deepEqual(outcomes.filter(({ kind }) => kind === 'committed'), [])
})
