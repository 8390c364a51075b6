/**
 * Commits a second by number of proposals in flight, with and without syncing the
 * log to disk: three replicas in this process, connected over TCP, with their logs
 * in a temporary folder.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ControlState } from '../../src/control/controlState.js'
import { createLedgers } from '../../src/control/ledgers/createLedgers.js'
import { ClusterFormation } from '../../src/replication/log/clusterFormation.js'
import { defaultSnapshotPolicy } from '../../src/replication/log/logApplier.js'
import { identifyMethod } from '../../src/replication/log/raftMethods.js'
import { Replica } from '../../src/replication/log/replica.js'
import { defaultTimings } from '../../src/replication/log/timings.js'
import type { ReplicatedState } from '../../src/replication/replicatedState.js'
import { FileDisk } from '../../src/replication/storage/fileDisk.js'
import { ReplicaStorage } from '../../src/replication/storage/replicaStorage.js'
import { HostCommandKind } from '../../src/protocol/hostCommands.js'
import { RpcHandlers, RpcPeer } from '../../src/transport/rpcPeer.js'
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import { systemClock } from '../../src/utils/clock.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { systemRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { until } from '../../tests/fixtures/controlProcesses.js'
import type { BenchResult } from '../benchResult.js'

const HOSTS_COUNT = 3
const HANG_GUARD_MS = 60_000

interface BenchReplica {
  replica: Replica
  batchesCount: () => number
}

function fail (error: unknown): never {
  throw error
}

/** Counts the writes of a log, from which the entries per write follow. */
function countingMetrics () {
  let batchesCount = 0
  const metrics = { ...memoryMetrics(), timing: () => { batchesCount++ } }
  return { metrics, batchesCount: () => batchesCount }
}

async function startReplica (number: number, folder: string, syncs: boolean, scope: Scope): Promise<BenchReplica> {
  const hostId = `control-${number}`
  const peerAddress = addressOf(number)
  const { metrics, batchesCount } = countingMetrics()
  const transport = new TcpTransport()
  const supervisor = new Supervisor(scope.child(hostId), (_task, error) => fail(error))
  const opened = await ReplicaStorage.open(await FileDisk.open(join(folder, hostId)), hostId, () => systemRandom().id(), { syncs })
  const replica = new Replica({
    clock: systemClock,
    random: systemRandom(),
    metrics,
    logger: silentLogger,
    timings: defaultTimings,
    transport,
    supervisor,
    onFatal: fail,
    opened,
    state: new ControlState(createLedgers) as ReplicatedState<unknown, unknown>,
    snapshotPolicy: defaultSnapshotPolicy
  })
  const handlers = new RpcHandlers()
  replica.serve(handlers)
  const own = { hostId, peerAddress, operatorAddress: peerAddress }
  handlers.on(identifyMethod, () => ({ replicaId: replica.core.replicaId, ...own, clusterId: replica.core.clusterId }))
  await transport.listen(peerAddress, supervisor.scope, connection => {
    const peer = new RpcPeer(connection, handlers, fail)
    supervisor.scope.onClose(() => peer.connection.close('over'))
  })
  replica.start()
  const members = Array.from({ length: HOSTS_COUNT }, (_value, position) => ({ hostId: `control-${position + 1}`, peerAddress: addressOf(position + 1) }))
  const formation = new ClusterFormation(replica.core, replica.links, own, { initialMembers: members, mayForm: true }, async () => 'not needed')
  supervisor.spawn('formation', formationScope => formation.run(formationScope))
  return { replica, batchesCount }
}

function addressOf (number: number): string {
  return `127.${1 + process.pid % 250}.18.${number}:7100`
}

/** Keeps `inFlightCount` proposals in flight for `durationMs`; returns commits a second and entries per write. */
async function measure (leader: BenchReplica, inFlightCount: number, durationMs: number, scope: Scope): Promise<{ perSecond: number, entriesPerWrite: number }> {
  const endsAtMs = systemClock.nowMs() + durationMs
  const batchesBefore = leader.batchesCount()
  let committedCount = 0
  const propose = async (worker: number): Promise<void> => {
    for (let turn = 0; systemClock.nowMs() < endsAtMs; turn++) {
      const command = { kind: HostCommandKind.AcquireFence, fenceScope: `engine-${worker}`, holder: `host-${turn % 2}` }
      const outcome = await leader.replica.propose(command, new Progress(systemClock, scope, systemClock.nowMs() + HANG_GUARD_MS))
      if (outcome.kind === 'committed') committedCount++
    }
  }
  await Promise.all(Array.from({ length: inFlightCount }, (_value, worker) => propose(worker)))
  return {
    perSecond: committedCount / (durationMs / 1000),
    entriesPerWrite: committedCount / Math.max(1, leader.batchesCount() - batchesBefore)
  }
}

export async function measureCommits (quick: boolean, report: (line: string) => void): Promise<BenchResult[]> {
  const results: BenchResult[] = []
  for (const syncs of [true, false]) {
    const scope = new Scope('commits')
    const folder = mkdtempSync(join(tmpdir(), 'threaddrum-bench-'))
    const replicas = await Promise.all([1, 2, 3].map(number => startReplica(number, folder, syncs, scope)))
    const leader = await until(async () => replicas.find(({ replica }) => replica.leadership?.mayChangeMembers()), 'a leader')
    for (const inFlightCount of [1, 8, 64, 512]) {
      const { perSecond, entriesPerWrite } = await measure(leader, inFlightCount, quick ? 500 : 3_000, scope)
      const name = `control.commits.${syncs ? 'synced' : 'unsynced'}.${inFlightCount}`
      report(`${name}: ${Math.round(perSecond)} commits/s, ${entriesPerWrite.toFixed(1)} entries per write`)
      results.push({ name, value: Math.round(perSecond), unit: 'per_second', detail: { entriesPerWrite: Number(entriesPerWrite.toFixed(2)) } })
      results.push({ name: `${name}.writesPerEntry`, value: Number((1 / entriesPerWrite).toFixed(4)), unit: 'ratio' })
    }
    scope.close('measured')
    rmSync(folder, { recursive: true, force: true })
  }
  return results
}
