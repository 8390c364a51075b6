/**
 * HTTP client for operator calls to control hosts and entry hosts. A call that
 * gets no answer is sent again to the next control host until its deadline. Every
 * change carries an id, so that a change that is sent twice is made only once.
 */
import { request } from 'undici'
import { z } from 'zod'
import { clusterStatusSchema, compactedSchema, operatorPaths, quarantineListSchema, type QuarantineList, type ClusterStatus, type PutResource } from '../protocol/operators.js'
import { resourceResultSchema, type ResourceResult } from '../protocol/resourceCommands.js'
import { resourceSchema, type Resource, type ResourceKind } from '../protocol/resources.js'
import { rolloutProgressSchema, type RolloutProgress } from '../protocol/rolloutProgress.js'
import { Progress } from '../utils/progress.js'
import { sleepUntil } from '../utils/clock.js'

export type OperatorAnswer<T> =
  | { kind: 'answered', value: T }
  | { kind: 'notFound' }
  /** The host answered, but not with the expected result. */
  | { kind: 'refused', message: string }
  /** No host answered before the deadline. */
  | { kind: 'unreachable', message: string }

interface HttpCall {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  path: string
  body?: unknown
}

type HttpReply = { kind: 'reply', status: number, value: unknown } | { kind: 'lost', reason: string }

export type WatchStart =
  | { kind: 'streaming', host: string, body: AsyncIterable<Uint8Array> }
  | { kind: 'compacted', currentRevision: number }
  | { kind: 'refused', message: string }
  | { kind: 'unreachable', message: string }

const ATTEMPT_TIMEOUT_MS = 5_000
const PAUSE_BETWEEN_ROUNDS_MS = 200
const STATUS_OK = 200
const FIRST_REDIRECT_STATUS = 300
const STATUS_NOT_FOUND = 404
const STATUS_GONE = 410
/** Statuses after which a retry, at another host or later, may succeed. */
const RETRIED_STATUSES = [502, 503, 504]
const resourceListSchema = z.union([z.array(resourceSchema), z.object({ resources: z.array(resourceSchema) })])

export class OperatorClient {
  private readonly _controlAddresses: string[]
  private _hostIndex = 0

  /** @param controlAddresses operator addresses of control hosts, `ip:port` */
  constructor (controlAddresses: string[]) {
    this._controlAddresses = controlAddresses
  }

  async put (kind: ResourceKind, name: string, change: PutResource, progress: Progress): Promise<OperatorAnswer<ResourceResult>> {
    const path = `${operatorPaths.resources}${kind}/${name}`
    return asResult(await this._requestControl({ method: 'PUT', path, body: change }, progress))
  }

  async delete (kind: ResourceKind, name: string, change: Omit<PutResource, 'spec'>, progress: Progress): Promise<OperatorAnswer<ResourceResult>> {
    const query = new URLSearchParams({ changeId: change.changeId })
    if (change.expectedRevision !== undefined) query.set('expectedRevision', String(change.expectedRevision))
    const path = `${operatorPaths.resources}${kind}/${name}?${query}`
    return asResult(await this._requestControl({ method: 'DELETE', path }, progress))
  }

  async get (kind: ResourceKind, name: string, progress: Progress): Promise<OperatorAnswer<Resource>> {
    return asAnswer(await this._requestControl({ method: 'GET', path: `${operatorPaths.resources}${kind}/${name}` }, progress), resourceSchema)
  }

  async list (kind: ResourceKind, progress: Progress): Promise<OperatorAnswer<Resource[]>> {
    const answer = asAnswer(await this._requestControl({ method: 'GET', path: `${operatorPaths.resources}${kind}` }, progress), resourceListSchema)
    if (answer.kind !== 'answered') return answer
    return { kind: 'answered', value: Array.isArray(answer.value) ? answer.value : answer.value.resources }
  }

  async status (progress: Progress): Promise<OperatorAnswer<ClusterStatus>> {
    return asAnswer(await this._requestControl({ method: 'GET', path: operatorPaths.status }, progress), clusterStatusSchema)
  }

  async jobProgress (job: string, progress: Progress): Promise<OperatorAnswer<RolloutProgress>> {
    return asAnswer(await this._requestControl({ method: 'GET', path: `${operatorPaths.jobs}${job}/progress` }, progress), rolloutProgressSchema)
  }

  async quarantine (progress: Progress): Promise<OperatorAnswer<QuarantineList>> {
    return asAnswer(await this._requestControl({ method: 'GET', path: operatorPaths.quarantine }, progress), quarantineListSchema)
  }

  async liftQuarantine (digest: string, progress: Progress): Promise<OperatorAnswer<unknown>> {
    return asAnswer(await this._requestControl({ method: 'DELETE', path: `${operatorPaths.quarantine}${encodeURIComponent(digest)}` }, progress), z.unknown())
  }

  /** Sends a call once to one entry host. */
  async requestEntryHost (address: string, call: HttpCall, progress: Progress): Promise<OperatorAnswer<unknown>> {
    return asAnswer(await send(address, call, progress), z.unknown())
  }

  /** Opens a watch at any control host; the body is a stream of server-sent events. */
  async watch (fromRevision: number, kind: ResourceKind | undefined, progress: Progress): Promise<WatchStart> {
    const query = new URLSearchParams({ fromRevision: String(fromRevision) })
    if (kind) query.set('kind', kind)
    let message = 'no control host was tried'
    while (!progress.isPastDeadline()) {
      const host = this._currentHost()
      try {
        const answer = await request(`http://${host}${operatorPaths.watch}?${query}`, { bodyTimeout: 0, signal: progress.scope.signal() })
        if (answer.statusCode === STATUS_OK) return { kind: 'streaming', host, body: answer.body }
        const text = await answer.body.text()
        const compacted = compactedSchema.safeParse(parseJson(text))
        if (answer.statusCode === STATUS_GONE && compacted.success) return { kind: 'compacted', currentRevision: compacted.data.currentRevision }
        if (!RETRIED_STATUSES.includes(answer.statusCode)) return { kind: 'refused', message: text }
        message = text
      } catch (error) {
        message = `${host}: ${describeError(error)}`
      }
      await this._selectNextHost(progress)
    }
    return { kind: 'unreachable', message }
  }

  private async _requestControl (call: HttpCall, progress: Progress): Promise<HttpReply> {
    let reason = 'no control host was tried'
    while (!progress.isPastDeadline()) {
      const host = this._currentHost()
      const reply = await send(host, call, progress)
      if (reply.kind === 'reply' && !RETRIED_STATUSES.includes(reply.status)) return reply
      reason = reply.kind === 'lost' ? reply.reason : `${host}: status ${reply.status}: ${JSON.stringify(reply.value)}`
      progress.log(reason)
      await this._selectNextHost(progress)
    }
    return { kind: 'lost', reason }
  }

  private _currentHost (): string {
    return this._controlAddresses[this._hostIndex % this._controlAddresses.length] ?? ''
  }

  /** Moves to the next host; pauses after each round over all hosts. */
  private async _selectNextHost (progress: Progress): Promise<void> {
    this._hostIndex++
    if (this._hostIndex % this._controlAddresses.length !== 0) return
    const untilMs = Math.min(progress.deadlineMs, progress.clock.nowMs() + PAUSE_BETWEEN_ROUNDS_MS)
    await sleepUntil(progress.clock, progress.scope, untilMs)
  }
}

async function send (host: string, { method, path, body }: HttpCall, progress: Progress): Promise<HttpReply> {
  try {
    const answer = await request(`http://${host}${path}`, {
      method,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(Math.ceil(Math.min(ATTEMPT_TIMEOUT_MS, progress.remainingMs())))
    })
    const text = await answer.body.text()
    return { kind: 'reply', status: answer.statusCode, value: parseJson(text) }
  } catch (error) {
    return { kind: 'lost', reason: `${host}: ${describeError(error)}` }
  }
}

function asAnswer<S extends z.ZodType> (reply: HttpReply, schema: S): OperatorAnswer<z.output<S>> {
  if (reply.kind === 'lost') return { kind: 'unreachable', message: reply.reason }
  if (reply.status === STATUS_NOT_FOUND) return { kind: 'notFound' }
  const parsed = schema.safeParse(reply.value)
  const isSuccess = reply.status >= STATUS_OK && reply.status < FIRST_REDIRECT_STATUS
  if (isSuccess && parsed.success) return { kind: 'answered', value: parsed.data }
  return { kind: 'refused', message: `status ${reply.status}: ${JSON.stringify(reply.value)}` }
}

/** Conflicts and invalid specs are results, regardless of the HTTP status. */
function asResult (reply: HttpReply): OperatorAnswer<ResourceResult> {
  if (reply.kind === 'lost') return { kind: 'unreachable', message: reply.reason }
  const parsed = resourceResultSchema.safeParse(reply.value)
  if (parsed.success) return { kind: 'answered', value: parsed.data }
  if (reply.status === STATUS_NOT_FOUND) return { kind: 'notFound' }
  return { kind: 'refused', message: `status ${reply.status}: ${JSON.stringify(reply.value)}` }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}

function describeError (error: unknown): string {
  const { code, message } = error as { code?: string, message: string }
  return code ?? message
}
