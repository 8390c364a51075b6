/**
 * Commands and reads from callers that reach any control host. They are executed
 * here if this host leads, and forwarded to the leader otherwise. While the hosts
 * elect a leader, calls wait for it instead of being refused.
 */
import type { SubmitReply } from '../../protocol/controlMessages.js'
import type { ResourceCommand } from '../../protocol/resourceCommands.js'
import type { RoutingCommand } from '../../protocol/routingCommands.js'
import { ReadMode, type ReadOutcome } from '../../replication/log/replica.js'
import { readIndexMethod, submitMethod } from '../../transport/controlMethods.js'
import { sleepUntil } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import type { ControlNode } from '../controlNode.js'

/** Pause before a retry when no leader is known, or the known one has just stepped down. */
const RETRY_PAUSE_MS = 40
/** No attempt starts later than this after the call. Covers an election that has to be held twice. */
const RETRIES_LIMIT_MS = 2_500

export class LeaderCalls {
  private readonly _node: ControlNode

  constructor (node: ControlNode) {
    this._node = node
  }

  /** Commits a command. All commands that pass here are idempotent, so a call whose reply is lost is repeated. */
  async submit (command: ResourceCommand | RoutingCommand, progress: Progress): Promise<SubmitReply> {
    let last: SubmitReply = { kind: 'notCommitted', reason: 'no leader is known' }
    const retries = this._retries(progress)
    while (!retries.isPastDeadline()) {
      const reply = await this._submitOnce(command, progress)
      if (reply.kind === 'committed') return reply
      if (reply.kind !== 'notLeader') last = reply
      await this._pause(retries)
    }
    return last
  }

  /** Waits until this host's state is recent enough for a linearizable read. */
  async read (progress: Progress): Promise<ReadOutcome> {
    let last: ReadOutcome = { kind: 'unavailable', reason: 'no leader is known' }
    const retries = this._retries(progress)
    while (!retries.isPastDeadline()) {
      const outcome = await this._readOnce(progress)
      if (outcome.kind === 'confirmed') return outcome
      if (outcome.kind !== 'notLeader') last = outcome
      await this._pause(retries)
    }
    return last
  }

  private async _submitOnce (command: ResourceCommand | RoutingCommand, progress: Progress): Promise<SubmitReply> {
    if (this._node.isLeader) return await this._node.submit(command, progress)
    const { leader, replica } = this._node
    if (!leader) return { kind: 'notLeader', leaderAddress: undefined }
    const outcome = await replica.links.to(leader).call(submitMethod, { command }, progress)
    if (outcome.kind === 'replied') return outcome.body
    return outcome.kind === 'unserved' ? { kind: 'notCommitted', reason: outcome.reason } : { kind: 'unknown', reason: outcome.reason }
  }

  private async _readOnce (progress: Progress): Promise<ReadOutcome> {
    if (this._node.isLeader) return await this._node.read(ReadMode.Quorum, progress)
    const { leader, replica } = this._node
    if (!leader) return { kind: 'notLeader' }
    const outcome = await replica.links.to(leader).call(readIndexMethod, {}, progress)
    if (outcome.kind !== 'replied') return { kind: 'unavailable', reason: outcome.reason }
    if (outcome.body.kind !== 'confirmed') return outcome.body.kind === 'notLeader' ? { kind: 'notLeader' } : outcome.body
    const applied = await progress.race(replica.whenApplied(outcome.body.index))
    return applied.kind === 'done' ? { kind: 'confirmed' } : { kind: 'unavailable', reason: `this host did not apply entry ${outcome.body.index} in time` }
  }

  /** The time within which attempts may start; an attempt that has started may take until the deadline of the call. */
  private _retries (progress: Progress): Progress {
    return progress.withDeadline(progress.clock.nowMs() + RETRIES_LIMIT_MS)
  }

  private async _pause (progress: Progress): Promise<void> {
    const nowMs = progress.clock.nowMs()
    await sleepUntil(progress.clock, progress.scope, Math.min(progress.deadlineMs, nowMs + RETRY_PAUSE_MS))
  }
}
