/**
 * Logs every change of members that this host's replica learns of, from log
 * entries, truncation or snapshots. Together, the logs of all hosts show which
 * members each replica assumed at any time.
 */
import { ReplicationEvent } from '../replicationEvents.js'
import { MemberRole, quorumCount, votersOf } from './members.js'
import type { ReplicaCore } from './replicaCore.js'

export function logMemberChanges (core: ReplicaCore): void {
  core.state.members.watch(() => {
    const voters = votersOf(core.members)
    core.options.logger.event(ReplicationEvent.MembersChanged, {
      index: core.state.members.latestIndex,
      voters: voters.map(({ hostId }) => hostId),
      learners: core.members.filter(({ role }) => role === MemberRole.Learner).map(({ hostId }) => hostId),
      quorumCount: quorumCount(voters.length),
      isVoter: core.isVoter()
    })
  })
}
