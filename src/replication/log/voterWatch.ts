/**
 * Logs, at the leader, which voters stop answering and which answer again, with
 * the number that still answer. This warns while a quorum is left, when the
 * loss of one more voter may lose it.
 */
import { ReplicationEvent } from '../replicationEvents.js'
import type { Leadership } from './leadership.js'
import { quorumCount, votersOf, type Member } from './members.js'
import type { Replica } from './replica.js'

export class VoterWatch {
  private readonly _replica: Replica
  /** Replica ids of the voters that do not answer the current leadership. */
  private _silent = new Set<string>()
  private _leadership: Leadership | undefined

  constructor (replica: Replica) {
    this._replica = replica
  }

  /** Logs the changes since the previous call. On a host that does not lead, it discards the recorded voters. */
  review (): void {
    const { leadership, core } = this._replica
    if (leadership !== this._leadership) this._silent.clear()
    this._leadership = leadership
    if (!leadership) return
    const voters = votersOf(core.members)
    const silent = voters.filter(voter => this._isSilent(voter, leadership))
    const answering = voters.filter(voter => !silent.includes(voter))
    const counts = { answeringCount: answering.length, votersCount: voters.length, quorumCount: quorumCount(voters.length) }
    for (const { replicaId, hostId } of silent) {
      if (!this._silent.has(replicaId)) this._log(ReplicationEvent.VoterSilent, { hostId, replicaId, ...counts })
    }
    for (const { replicaId, hostId } of answering) {
      if (this._silent.has(replicaId)) this._log(ReplicationEvent.VoterRecovered, { hostId, replicaId, ...counts })
    }
    this._silent = new Set(silent.map(({ replicaId }) => replicaId))
  }

  /** True after an election timeout without an answer, the same limit as in the leader's quorum check. */
  private _isSilent ({ replicaId }: Member, leadership: Leadership): boolean {
    const { clock, timings } = this._replica.core.options
    return leadership.lastSeenAtMs(replicaId) < clock.nowMs() - timings.electionMaxMs
  }

  private _log (event: ReplicationEvent, fields: Record<string, string | number>): void {
    this._replica.core.options.logger.event(event, fields)
  }
}
