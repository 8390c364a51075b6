/**
 * Watches: server-sent events for every resource change after a revision. If the
 * history no longer covers the revision, the answer is 410 and the operator has to
 * list the resources again.
 */
import type { ServerResponse } from 'node:http'
import { z } from 'zod'
import { ResourceKind } from '../../protocol/resources.js'
import type { ResourceEvent } from '../../protocol/resourceCommands.js'
import { Executed, RefusalReason } from '../../protocol/refusals.js'
import type { Clock } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { ControlNode } from '../controlNode.js'
import { isResourceEvent } from '../resources/changeHistory.js'
import type { LeaderCalls } from '../routing/leaderCalls.js'
import { sendJson } from './jsonExchange.js'

/** Interval of comments that are sent while nothing changes, to detect broken connections. */
const KEEP_ALIVE_MS = 15_000
/** A watcher with more unread bytes is disconnected; it can resume from its revision. */
const MAX_UNREAD_BYTES = 4 * 1024 * 1024

const watchQuerySchema = z.object({
  /** The watch starts after this revision. */
  fromRevision: z.coerce.number().int().min(0),
  kind: z.enum(ResourceKind).optional()
})

export class WatchStreams {
  private readonly _node: ControlNode
  private readonly _leaderCalls: Pick<LeaderCalls, 'read'>
  private readonly _clock: Clock

  constructor (node: ControlNode, leaderCalls: Pick<LeaderCalls, 'read'>, clock: Clock) {
    this._node = node
    this._leaderCalls = leaderCalls
    this._clock = clock
  }

  async serve (query: URLSearchParams, response: ServerResponse, progress: Progress): Promise<void> {
    const parsed = watchQuerySchema.safeParse(Object.fromEntries(query))
    if (!parsed.success) {
      return sendJson(response, { status: 400, body: { reason: RefusalReason.MalformedRequest, executed: Executed.No, message: parsed.error.issues[0]?.message } })
    }
    const read = await this._leaderCalls.read(progress)
    if (read.kind !== 'confirmed') {
      return sendJson(response, { status: 503, body: { reason: RefusalReason.ControlUnavailable, executed: Executed.No, message: 'no leader answers' } })
    }
    const { fromRevision, kind } = parsed.data
    const since = this._node.state.history.since(fromRevision)
    if (since.kind === 'compacted') return sendJson(response, { status: 410, body: { reason: 'compacted', currentRevision: since.currentRevision } })
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
    response.flushHeaders()
    await this._stream(response, fromRevision, kind, progress.scope)
  }

  private async _stream (response: ServerResponse, fromRevision: number, kind: ResourceKind | undefined, scope: Scope): Promise<void> {
    const { replica, state } = this._node
    let sentRevision = fromRevision
    for (;;) {
      const since = state.history.since(sentRevision)
      // Disconnects the watcher; its next watch is answered with 410.
      if (since.kind === 'compacted') break
      const events = since.changes.filter(isResourceEvent).filter(event => kind === undefined || kindOf(event) === kind)
      for (const event of events) response.write(`id: ${event.revision}\nevent: change\ndata: ${JSON.stringify(event)}\n\n`)
      sentRevision = Math.max(sentRevision, state.revision)
      if (response.writableLength > MAX_UNREAD_BYTES) break
      const limit = { clock: this._clock, deadlineMs: this._clock.nowMs() + KEEP_ALIVE_MS }
      if (!(await replica.applied.wait(scope, limit))) response.write(': keep alive\n\n')
    }
    response.destroy()
  }
}

function kindOf (event: ResourceEvent): ResourceKind {
  return event.kind === 'put' ? event.resource.kind : event.resourceKind
}
