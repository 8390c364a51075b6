/**
 * Operator calls for the quarantine: list the requests that were running when
 * endpoints ended, and release one of them.
 */
import { quarantineEntrySchema } from '../../protocol/quarantine.js'
import { RoutingCommandKind } from '../../protocol/routingCommands.js'
import type { Progress } from '../../utils/progress.js'
import type { ControlNode } from '../controlNode.js'
import type { LeaderCalls } from '../routing/leaderCalls.js'

export type QuarantineCallOutcome =
  | { kind: 'done', body: unknown }
  | { kind: 'unknownDigest' }
  | { kind: 'malformedDigest' }
  /** The call may or may not have taken effect. */
  | { kind: 'unavailable', reason: string }

export class QuarantineCalls {
  private readonly _node: ControlNode
  private readonly _leaderCalls: Pick<LeaderCalls, 'submit' | 'read'>

  constructor (node: ControlNode, leaderCalls: Pick<LeaderCalls, 'submit' | 'read'>) {
    this._node = node
    this._leaderCalls = leaderCalls
  }

  async list (progress: Progress): Promise<QuarantineCallOutcome> {
    const read = await this._leaderCalls.read(progress)
    if (read.kind !== 'confirmed') return { kind: 'unavailable', reason: 'reason' in read ? read.reason : 'the leader has moved' }
    return { kind: 'done', body: { requests: this._node.state.routing.ends.all() } }
  }

  /** Releases a request; its next end counts as the first. */
  async lift (digest: string, progress: Progress): Promise<QuarantineCallOutcome> {
    if (!quarantineEntrySchema.shape.digest.safeParse(digest).success) return { kind: 'malformedDigest' }
    const listed = await this.list(progress)
    if (listed.kind !== 'done') return listed
    if (!this._node.state.routing.ends.all().some(entry => entry.digest === digest)) return { kind: 'unknownDigest' }
    const reply = await this._leaderCalls.submit({ kind: RoutingCommandKind.ClearSuspects, digests: [digest] }, progress)
    if (reply.kind !== 'committed') return { kind: 'unavailable', reason: 'reason' in reply ? reply.reason : 'no leader is known' }
    return { kind: 'done', body: { lifted: digest } }
  }
}
