/**
 * HTTP routes for trainers: session, pull and weights. Every call is idempotent
 * and may be repeated on any host.
 */
import type { ServerResponse } from 'node:http'
import { z } from 'zod'
import { callerPaths } from '../../protocol/callers.js'
import { Executed, RefusalReason, refusalStatus, type Refusal } from '../../protocol/refusals.js'
import { RolloutCommandKind, type RolloutResult } from '../../protocol/rolloutCommands.js'
import { publishWeightsSchema, pullRequestSchema, type OpenSessionReply } from '../../protocol/trainers.js'
import { MetricName } from '../../utils/metricNames.js'
import { Progress } from '../../utils/progress.js'
import { parseJson, readBody } from '../http/requestBody.js'
import type { Exchange, Route } from '../http/route.js'
import type { LedgerClient } from './ledgerClient.js'
import type { PullServer } from './pullServer.js'
import { RolloutEvent } from './rolloutEvents.js'
import type { RolloutContext } from './rolloutContext.js'
import { decodePathSegment } from '../../utils/urlPath.js'

const MAX_BODY_BYTES = 64 * 1024
const CALL_TIMEOUT_MS = 10_000
/** Time for fetching contents, in addition to the wait time of a pull. */
const PULL_GRACE_MS = 10_000
const MAX_PULL_WAIT_MS = 60_000
const RETRY_AFTER_MS = 1_000

const openSessionRequestSchema = z.object({
  /** Chosen by the trainer; a repeated request with the same id gets the same session. */
  sessionId: z.string().min(1).max(128).optional()
})

export interface TrainerRoutesOptions {
  context: RolloutContext
  ledger: LedgerClient
  pulls: PullServer
  /** Called after a weight version was published for the job. */
  onWeightsPublished: (job: string, weightVersion: number) => void
}

type Answer = { kind: 'ok', body: unknown } | { kind: 'refused', refusal: Refusal }
type Call = (job: string, body: unknown, exchange: Exchange) => Promise<Answer>

export class TrainerRoutes {
  private readonly _options: TrainerRoutesOptions
  private readonly _calls: Record<string, Call> = {
    session: async (job, body, exchange) => await this._openSession(job, body, exchange),
    pull: async (job, body, exchange) => await this._pull(job, body, exchange),
    weights: async (job, body, exchange) => await this._publish(job, body, exchange)
  }

  constructor (options: TrainerRoutesOptions) {
    this._options = options
  }

  routes (): Route[] {
    return [{
      name: 'trainers',
      method: 'POST',
      pathPrefix: callerPaths.trainers,
      // Any host can deliver committed samples, since the ledger decides on every delivery.
      servedWithoutLease: true,
      handle: async exchange => await this._handle(exchange)
    }]
  }

  private async _handle (exchange: Exchange): Promise<void> {
    const { metrics } = this._options.context
    metrics.count(MetricName.RequestReceived, { route: 'trainers' })
    const answer = await this._answer(exchange)
    switch (answer.kind) {
      case 'ok':
        metrics.count(MetricName.RequestAnswered, { route: 'trainers' })
        return sendJson(exchange.response, 200, answer.body)
      case 'refused':
        metrics.count(MetricName.RequestRefused, { reason: answer.refusal.reason })
        return sendRefusal(exchange.response, answer.refusal)
    }
  }

  private async _answer (exchange: Exchange): Promise<Answer> {
    const [job = '', callName = ''] = exchange.path.slice(callerPaths.trainers.length).split('/')
    const call = Object.hasOwn(this._calls, callName) ? this._calls[callName] : undefined
    const jobName = decodePathSegment(job)
    if (!call) return refuse(RefusalReason.MalformedRequest, `unknown call ${callName}`)
    if (jobName === undefined) return refuse(RefusalReason.MalformedRequest, `the job name in the path cannot be decoded: ${job}`)
    const body = await readJson(exchange)
    if (body.kind === 'refused') return body
    return await call(jobName, body.value, exchange)
  }

  private async _openSession (job: string, body: unknown, exchange: Exchange): Promise<Answer> {
    const parsed = openSessionRequestSchema.safeParse(body ?? {})
    if (!parsed.success) return refuse(RefusalReason.MalformedRequest, z.prettifyError(parsed.error))
    const sessionId = parsed.data.sessionId ?? this._options.context.random.id()
    const result = await this._submit({ kind: RolloutCommandKind.OpenSession, job, sessionId }, exchange)
    if (result?.kind !== 'sessionOpened') return refuseResult(result)
    const { sessionNumber, confirmedPosition } = result
    this._options.context.logger.event(RolloutEvent.SessionOpened, { job, sessionNumber })
    const reply: OpenSessionReply = { sessionNumber, confirmedPosition }
    return { kind: 'ok', body: reply }
  }

  private async _pull (job: string, body: unknown, exchange: Exchange): Promise<Answer> {
    const { clock } = this._options.context
    const parsed = pullRequestSchema.safeParse(body)
    if (!parsed.success) return refuse(RefusalReason.MalformedRequest, z.prettifyError(parsed.error))
    const waitMs = Math.min(parsed.data.waitMs, MAX_PULL_WAIT_MS)
    const progress = new Progress(clock, exchange.progress.scope, clock.nowMs() + waitMs + PULL_GRACE_MS)
    const outcome = await this._options.pulls.pull(job, { ...parsed.data, waitMs }, progress)
    switch (outcome.kind) {
      case 'reply': return { kind: 'ok', body: outcome.reply }
      case 'refused': return refuseResult(outcome.result)
      case 'unavailable': return refuseResult(undefined)
    }
  }

  private async _publish (job: string, body: unknown, exchange: Exchange): Promise<Answer> {
    const parsed = publishWeightsSchema.safeParse(body)
    if (!parsed.success) return refuse(RefusalReason.MalformedRequest, z.prettifyError(parsed.error))
    const result = await this._submit({ kind: RolloutCommandKind.PublishWeights, job, ...parsed.data }, exchange)
    if (result?.kind !== 'published') return refuseResult(result)
    this._options.context.logger.event(RolloutEvent.WeightsPublished, { job, weightVersion: result.weightVersion })
    this._options.onWeightsPublished(job, result.weightVersion)
    return { kind: 'ok', body: { weightVersion: result.weightVersion } }
  }

  private async _submit (command: Parameters<LedgerClient['submit']>[0], exchange: Exchange): Promise<RolloutResult | undefined> {
    const { clock } = this._options.context
    return await this._options.ledger.submit(command, new Progress(clock, exchange.progress.scope, clock.nowMs() + CALL_TIMEOUT_MS))
  }
}

function refuse (reason: RefusalReason, message: string, retryAfterMs?: number): Answer {
  return { kind: 'refused', refusal: { reason, executed: Executed.No, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) } }
}

function refuseResult (result: RolloutResult | undefined): Answer {
  switch (result?.kind) {
    case 'unknownJob':
      return refuse(RefusalReason.UnknownJob, 'the job is not declared')
    case 'sessionFenced':
      return refuse(RefusalReason.SessionFenced, `the session was replaced by session ${result.sessionNumber} of the job`)
    case 'pullRefused':
      return refuse(RefusalReason.CursorMismatch, `${result.reason}: the confirmed position is ${result.confirmedPosition} and the current step is ${result.step}`)
    default:
      // The commands of the ledger are idempotent, so the trainer may repeat the call.
      return { kind: 'refused', refusal: { reason: RefusalReason.ControlUnavailable, executed: Executed.Unknown, message: 'the ledger did not answer in time', retryAfterMs: RETRY_AFTER_MS } }
  }
}

type JsonOutcome = { kind: 'read', value: unknown } | { kind: 'refused', refusal: Refusal }

async function readJson (exchange: Exchange): Promise<JsonOutcome> {
  const read = await readBody(exchange, MAX_BODY_BYTES)
  if (read.kind === 'refused') return read
  if (read.body.length === 0) return { kind: 'read', value: undefined }
  const value = parseJson(read.body)
  if (value !== undefined) return { kind: 'read', value }
  return { kind: 'refused', refusal: { reason: RefusalReason.MalformedRequest, executed: Executed.No, message: 'the body is not JSON in UTF-8' } }
}

function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

function sendRefusal (response: ServerResponse, refusal: Refusal): void {
  if (refusal.retryAfterMs !== undefined) response.setHeader('retry-after', String(Math.ceil(refusal.retryAfterMs / 1000)))
  sendJson(response, refusalStatus[refusal.reason], refusal)
}
