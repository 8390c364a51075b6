/**
 * Starts a replica of the batch store on a loopback address, with its own folder.
 */
import { join } from 'node:path'
import { BatchState } from '../../src/batches/batchState.js'
import { storeSnapshotPolicy, storeTimings } from '../../src/batches/storeProgram.js'
import { EntryKind } from '../../src/replication/log/logEntry.js'
import { MemberRole, type Member } from '../../src/replication/log/members.js'
import { encodeMembership } from '../../src/replication/log/membershipHistory.js'
import { Replica } from '../../src/replication/log/replica.js'
import type { ReplicatedState } from '../../src/replication/replicatedState.js'
import { FileDisk } from '../../src/replication/storage/fileDisk.js'
import { ReplicaStorage } from '../../src/replication/storage/replicaStorage.js'
import { RpcHandlers, RpcPeer } from '../../src/transport/rpcPeer.js'
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import { systemClock } from '../../src/utils/clock.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { systemRandom } from '../../src/utils/randomSource.js'
import type { Supervisor } from '../../src/utils/supervisor.js'

const CLUSTER_ID = 'store'
const PORT = 7_100

export interface BenchStoreReplica {
  replica: Replica
  state: BatchState
  /** Serves the calls of the other hosts. */
  handlers: RpcHandlers
}

export function membersOf (ip: string, count: number): Member[] {
  return Array.from({ length: count }, (_value, position) => {
    const peerAddress = `${ip}:${PORT + position}`
    return { replicaId: `r${position}`, hostId: `h${position}`, peerAddress, operatorAddress: peerAddress, role: MemberRole.Voter }
  })
}

/** Followers wait this long, so that the first member is elected. */
const FOLLOWER_ELECTION_MIN_MS = 2_500
const FOLLOWER_ELECTION_MAX_MS = 12_000

/** @param position index in `members`; the first member starts an election at once, the others wait */
export async function startStoreReplica (members: Member[], position: number, folder: string, supervisor: Supervisor): Promise<BenchStoreReplica> {
  const own = members[position] as Member
  const onFatal = (error: unknown): void => { throw error }
  const transport = new TcpTransport()
  const state = new BatchState()
  const opened = await ReplicaStorage.open(await FileDisk.open(join(folder, own.hostId)), own.hostId, () => own.replicaId)
  const isLeading = position === 0
  const replica = new Replica({
    clock: systemClock,
    random: systemRandom(),
    metrics: memoryMetrics(),
    logger: silentLogger,
    timings: isLeading ? storeTimings : { ...storeTimings, electionMinMs: FOLLOWER_ELECTION_MIN_MS, electionMaxMs: FOLLOWER_ELECTION_MAX_MS },
    transport,
    supervisor,
    onFatal,
    opened,
    state: state as ReplicatedState<unknown, unknown>,
    snapshotPolicy: storeSnapshotPolicy,
    startedAtMs: isLeading ? Number.NEGATIVE_INFINITY : systemClock.nowMs()
  })
  const handlers = new RpcHandlers()
  replica.serve(handlers)
  replica.core.state.append([{ index: 1, term: 0, kind: EntryKind.Membership, atMs: 0, payload: encodeMembership({ clusterId: CLUSTER_ID, members }) }])
  await replica.core.adoptCluster(CLUSTER_ID)
  await transport.listen(own.peerAddress, supervisor.scope, connection => { new RpcPeer(connection, handlers, onFatal).connection.onMessage(() => {}) })
  replica.start()
  return { replica, state, handlers }
}
