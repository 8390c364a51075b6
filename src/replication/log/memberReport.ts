/**
 * Tells the log of this host of every change of members that its replica
 * learns of, by whichever way: so the logs of all hosts together show who
 * counted whom at any time.
 */
import { ReplicationEvent } from '../replicationEvents.js'
import { MemberRole, quorumCount, votersOf } from './members.js'
import type { ReplicaCore } from './replicaCore.js'

export function logMemberChanges (core: ReplicaCore): void {
  core.state.members.watch(() => {
    const voters = votersOf(core.members)
    core.options.logger.event(ReplicationEvent.MembersKnown, {
      index: core.state.members.latestIndex,
      voters: voters.map(({ hostId }) => hostId),
      learners: core.members.filter(({ role }) => role === MemberRole.Learner).map(({ hostId }) => hostId),
      quorumCount: quorumCount(voters.length),
      isVoter: core.isVoter()
    })
  })
}
