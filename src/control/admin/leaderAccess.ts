/**
 * Operator calls, answered by this host if it leads and through the leader
 * otherwise.
 */
import { createTRPCClient, httpLink } from '@trpc/client'
import { fetch } from 'undici'
import type { SubmitReply } from '../../protocol/controlMessages.js'
import type { ResourceCommand } from '../../protocol/resourceCommands.js'
import type { Clock } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { ControlNode } from '../controlNode.js'
import type { MembershipOutcome } from '../../replication/log/membershipChanges.js'
import { ReadMode, type ReadOutcome } from '../../replication/log/replica.js'
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

  async submit (command: ResourceCommand, progress: Progress): Promise<SubmitReply> {
    if (this._node.isLeader) return await this._node.submit(command, progress)
    const outcome = await this._callLeader(progress, (client, remainingMs, signal) => (
      client.submit.mutate({ command, remainingMs }, { signal })
    ))
    switch (outcome.kind) {
      case 'answered':
        return outcome.answer as SubmitReply
      case 'unasked':
        return { kind: 'notCommitted', reason: outcome.reason }
      case 'lost':
        return { kind: 'unknown', reason: outcome.reason }
    }
  }

  /** Waits until this host's state is recent enough for a linearizable read. */
  async read (progress: Progress): Promise<ReadOutcome> {
    if (this._node.isLeader) return await this._node.read(ReadMode.Quorum, progress)
    const outcome = await this._callLeader(progress, (client, remainingMs, signal) => client.readIndex.query({ remainingMs }, { signal }))
    if (outcome.kind !== 'answered') return { kind: 'unavailable', reason: outcome.reason }
    if (outcome.answer.kind !== 'confirmed') return outcome.answer
    const applied = await progress.race(this._node.replica.whenApplied(outcome.answer.index))
    return applied.kind === 'done' ? { kind: 'confirmed' } : { kind: 'unavailable', reason: `this host did not apply entry ${outcome.answer.index} in time` }
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
