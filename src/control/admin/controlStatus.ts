/**
 * The state of the control hosts and of every registered entry host, as the
 * leader knows it.
 */
import type { ControlStatus } from '../../protocol/controlStatus.js'
import type { Progress } from '../../utils/progress.js'
import type { ControlNode } from '../controlNode.js'
import { ReadMode } from '../../replication/log/replica.js'

export type StatusOutcome =
  | { kind: 'status', status: ControlStatus }
  | { kind: 'notLeader' }
  | { kind: 'unavailable', reason: string }

export async function controlStatus (node: ControlNode, progress: Progress): Promise<StatusOutcome> {
  const read = await node.read(ReadMode.Quorum, progress)
  if (read.kind !== 'confirmed') return read
  const { core, leadership } = node.replica
  if (!leadership) return { kind: 'notLeader' }
  node.leases.enterTerm(core.term)
  const members = core.members.map(({ replicaId, hostId, peerAddress, operatorAddress, role }) => {
    const isSelf = replicaId === core.replicaId
    const matchIndex = isSelf ? core.state.log.lastIndex : leadership.progressOf(replicaId)?.matchIndex ?? 0
    return { replicaId, hostId, peerAddress, operatorAddress, role, isLive: leadership.isLive(replicaId), matchIndex }
  })
  const status = {
    leaderHostId: core.leader?.hostId ?? '',
    term: core.term,
    revision: node.state.revision,
    commitIndex: core.commitIndex,
    members,
    entryHosts: node.state.hosts.all().map(host => entryHostStatus(node, host.hostId))
  }
  return { kind: 'status', status }
}

function entryHostStatus (node: ControlNode, hostId: string): ControlStatus['entryHosts'][number] {
  const host = node.state.hosts.get(hostId)
  const lease = node.leases.get(hostId)
  return {
    hostId,
    dataCentre: host?.dataCentre ?? '',
    callerAddress: host?.callerAddress ?? '',
    operatorAddress: lease?.operatorAddress,
    revisionInForce: lease?.revisionInForce ?? 0,
    holdsLease: node.leases.mayHold(hostId)
  }
}
