/**
 * Operator calls about the members, which only the leader can answer: answered
 * by this host if it leads, and through the leader otherwise.
 */
import { createTRPCClient, httpLink } from '@trpc/client'
import { fetch } from 'undici'
import type { Clock } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { ControlNode } from '../controlNode.js'
import type { MembershipOutcome } from '../../replication/log/membershipChanges.js'
import { controlStatus, type StatusOutcome } from './controlStatus.js'
import type { AdminRouter } from './adminRouter.js'

type AdminClient = ReturnType<typeof createTRPCClient<AdminRouter>>

/** A client for the admin calls of a control host. */
export function adminClient (operatorAddress: string): AdminClient {
  return createTRPCClient<AdminRouter>({
    links: [httpLink({ url: `http://${operatorAddress}/trpc`, fetch: fetch as unknown as typeof globalThis.fetch })]
  })
}

export class LeaderAccess {
  private readonly _node: ControlNode
  private readonly _clock: Clock
  private readonly _scope: Scope

  constructor (node: ControlNode, clock: Clock, scope: Scope) {
    this._node = node
    this._clock = clock
    this._scope = scope
  }

  async status (progress: Progress): Promise<StatusOutcome> {
    if (this._node.isLeader) return await controlStatus(this._node, progress)
    const outcome = await this._callLeader(progress, (client, remainingMs, signal) => client.status.query({ remainingMs }, { signal }))
    return outcome.kind === 'answered' ? outcome.answer : { kind: 'unavailable', reason: outcome.reason }
  }

  async removeMember (hostId: string, progress: Progress): Promise<MembershipOutcome> {
    if (this._node.isLeader) return this._node.replica.remove(hostId)
    const outcome = await this._callLeader(progress, (client, _remainingMs, signal) => client.removeMember.mutate({ hostId }, { signal }))
    return outcome.kind === 'answered' ? outcome.answer : { kind: 'refused', reason: outcome.reason }
  }

  private async _callLeader<T> (progress: Progress, call: (client: AdminClient, remainingMs: number, signal: AbortSignal) => Promise<T>): Promise<LeaderCallOutcome<T>> {
    const leader = this._node.leader
    if (!leader) return { kind: 'unasked', reason: 'no leader is known' }
    const scope = this._scope.child('call to the leader')
    const cancelTimer = this._clock.callAt(progress.deadlineMs, () => scope.close('deadline passed'))
    try {
      return { kind: 'answered', answer: await call(adminClient(leader.operatorAddress), Math.floor(progress.remainingMs()), scope.signal()) }
    } catch (error) {
      return { kind: 'lost', reason: `the leader ${leader.hostId} did not answer: ${(error as Error).message}` }
    } finally {
      cancelTimer()
      scope.close('asked')
    }
  }
}

type LeaderCallOutcome<T> =
  | { kind: 'answered', answer: T }
  | { kind: 'unasked', reason: string }
  /** The leader may have executed the call. */
  | { kind: 'lost', reason: string }
