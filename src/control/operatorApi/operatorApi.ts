/**
 * The HTTP/JSON API for operators: resources with compare-and-set, status,
 * members, jobs and quarantined requests. Watches are in watchStream.ts.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'
import type { SubmitReply } from '../../protocol/controlMessages.js'
import { putResourceSchema } from '../../protocol/operators.js'
import { QueryKind } from '../../protocol/queries.js'
import { Executed, RefusalReason } from '../../protocol/refusals.js'
import { ResourceCommandKind, resourceCommandSchema, type ResourceCommand, type ResourceResult } from '../../protocol/resourceCommands.js'
import { ResourceKind } from '../../protocol/resources.js'
import type { RequestBody } from '../../clients/requestBody.js'
import type { Clock } from '../../utils/clock.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { LeaderAccess } from '../admin/leaderAccess.js'
import type { ControlNode } from '../controlNode.js'
import type { LeaderCalls } from '../routing/leaderCalls.js'
import { readBody, sendJson, type Answer } from './jsonExchange.js'
import type { QuarantineCalls } from './quarantineCalls.js'
import type { WatchStreams } from './watchStream.js'
import { decodePathSegments, parseRequestUrl } from '../../utils/urlPath.js'

/** Time limit of an operator's call. */
const CALL_TIMEOUT_MS = 10_000

const kindSchema = z.enum(ResourceKind)

interface Call {
  method: string
  segments: string[]
  query: URLSearchParams
  request: IncomingMessage
  progress: Progress
}

export interface OperatorApiOptions {
  node: ControlNode
  access: LeaderAccess
  leaderCalls: Pick<LeaderCalls, 'submit' | 'read'>
  watches: WatchStreams
  quarantine: QuarantineCalls
  clock: Clock
  bodyOf: (request: IncomingMessage) => RequestBody
}

export class OperatorApi {
  private readonly _options: OperatorApiOptions

  constructor (options: OperatorApiOptions) {
    this._options = options
  }

  /** Answers one request; returns false if the path does not belong to this API. */
  async handle (request: IncomingMessage, response: ServerResponse, scope: Scope): Promise<boolean> {
    const url = parseRequestUrl(request.url ?? '/')
    const path = url && decodePathSegments(url.pathname)
    if (!path) {
      sendJson(response, malformed(400, 'the path cannot be read'))
      return true
    }
    const [version, ...segments] = path
    if (version !== 'v1') return false
    const progress = new Progress(this._options.clock, scope, this._options.clock.nowMs() + CALL_TIMEOUT_MS)
    const call: Call = { method: request.method ?? 'GET', segments, query: url.searchParams, request, progress }
    if (segments[0] === 'watch' && call.method === 'GET') await this._options.watches.serve(url.searchParams, response, progress)
    else sendJson(response, await this._answer(call))
    return true
  }

  private async _answer (call: Call): Promise<Answer> {
    switch (call.segments[0]) {
      case 'resources':
        return await this._answerResource(call)
      case 'status':
        return await this._status(call)
      case 'members':
        return await this._members(call)
      case 'jobs':
        return await this._jobProgress(call)
      case 'quarantine':
        return await this._quarantine(call)
      default:
        return malformed(404, `no such path: /v1/${call.segments.join('/')}`)
    }
  }

  private async _answerResource (call: Call): Promise<Answer> {
    const [, kindText, name] = call.segments
    const kind = kindSchema.safeParse(kindText)
    if (!kind.success) return malformed(404, `no such kind: ${kindText}; kinds are ${Object.values(ResourceKind).join(', ')}`)
    switch (call.method) {
      case 'GET':
        return await this._read(call, kind.data, name)
      case 'PUT':
        return await this._put(call, kind.data, name)
      case 'DELETE':
        return await this._delete(call, kind.data, name)
      default:
        return malformed(405, `${call.method} is not one of GET, PUT, DELETE`)
    }
  }

  private async _read (call: Call, kind: ResourceKind, name: string | undefined): Promise<Answer> {
    const read = await this._options.leaderCalls.read(call.progress)
    if (read.kind !== 'confirmed') return unavailable(read.kind === 'notLeader' ? 'the leader has moved' : read.reason)
    const { resources, revision } = this._options.node.state
    if (name === undefined) return { status: 200, body: { revision, resources: resources.list(kind) } }
    const resource = resources.get(kind, name)
    return resource ? { status: 200, body: resource } : malformed(404, `no ${kind} ${name}`)
  }

  private async _put (call: Call, resourceKind: ResourceKind, name: string | undefined): Promise<Answer> {
    const { progress } = call
    const read = await progress.scope.race(readBody(this._options.bodyOf(call.request), progress.deadlineMs, putResourceSchema))
    if (read.kind === 'malformed') return malformed(read.status, read.message)
    return await this._submit({ kind: ResourceCommandKind.Apply, ...read.body, resourceKind, name: name ?? '' }, call.progress)
  }

  private async _delete (call: Call, resourceKind: ResourceKind, name: string | undefined): Promise<Answer> {
    const expected = call.query.get('expectedRevision')
    return await this._submit({
      kind: ResourceCommandKind.Delete,
      changeId: call.query.get('changeId') ?? '',
      resourceKind,
      name: name ?? '',
      expectedRevision: expected === null ? undefined : Number(expected)
    }, call.progress)
  }

  private async _submit (unchecked: ResourceCommand, progress: Progress): Promise<Answer> {
    const parsed = resourceCommandSchema.safeParse(unchecked)
    if (!parsed.success) {
      const issue = parsed.error.issues[0]
      return { status: 422, body: { kind: 'invalid', field: issue?.path.join('.') ?? '', message: issue?.message ?? 'malformed' } }
    }
    return answerOf(await this._options.leaderCalls.submit(parsed.data, progress))
  }

  private async _status (call: Call): Promise<Answer> {
    const outcome = await this._options.access.status(call.progress)
    if (outcome.kind === 'status') return { status: 200, body: outcome.status }
    return unavailable(outcome.kind === 'notLeader' ? 'the leader has moved' : outcome.reason)
  }

  private async _members (call: Call): Promise<Answer> {
    const hostId = call.segments[1]
    if (call.method !== 'DELETE' || hostId === undefined) return malformed(405, 'expected DELETE /v1/members/{hostId}')
    const outcome = await this._options.access.removeMember(hostId, call.progress)
    switch (outcome.kind) {
      case 'accepted':
        return { status: 202, body: outcome }
      case 'busy':
      case 'notNeeded':
        return { status: 503, body: outcome }
      case 'refused':
        return { status: 409, body: outcome }
    }
  }

  private async _quarantine ({ method, segments: [, digest = ''], progress }: Call): Promise<Answer> {
    const { quarantine } = this._options
    if (method !== 'GET' && method !== 'DELETE') return malformed(405, `${method} is not one of GET, DELETE`)
    const outcome = method === 'GET' ? await quarantine.list(progress) : await quarantine.lift(digest, progress)
    switch (outcome.kind) {
      case 'done':
        return { status: 200, body: outcome.body }
      case 'malformedDigest':
        return malformed(400, `digest: expected 32 hexadecimal digits, not "${digest}"`)
      case 'unknownDigest':
        return malformed(404, `no endpoint ended under ${digest}`)
      case 'unavailable':
        return unavailable(outcome.reason)
    }
  }

  private async _jobProgress (call: Call): Promise<Answer> {
    const [, job = '', view] = call.segments
    if (view !== 'progress') return malformed(404, 'expected /v1/jobs/{job}/progress')
    const read = await this._options.leaderCalls.read(call.progress)
    if (read.kind !== 'confirmed') return unavailable(read.kind === 'notLeader' ? 'the leader has moved' : read.reason)
    const progress = this._options.node.state.answer({ kind: QueryKind.RolloutProgress, job })
    return progress ? { status: 200, body: progress } : malformed(404, `no job ${job}`)
  }
}

function answerOf (reply: SubmitReply): Answer {
  switch (reply.kind) {
    case 'committed':
      return { status: resultStatus(reply.result as ResourceResult), body: reply.result }
    case 'notLeader':
      return unavailable('the leader has moved')
    case 'notCommitted':
      return unavailable(reply.reason)
    case 'unknown':
      return unavailable(reply.reason, Executed.Unknown)
  }
}

function resultStatus (result: ResourceResult): number {
  switch (result.kind) {
    case 'applied':
    case 'deleted':
      return 200
    case 'conflict':
      return 409
    case 'invalid':
      return 422
  }
}

/** A change whose outcome is unknown can be resent under the same change id. */
function unavailable (message: string, executed = Executed.No): Answer {
  return { status: 503, body: { reason: RefusalReason.ControlUnavailable, executed, message, retryAfterMs: 500 } }
}

function malformed (status: number, message: string): Answer {
  return { status, body: { reason: RefusalReason.MalformedRequest, executed: Executed.No, message } }
}
