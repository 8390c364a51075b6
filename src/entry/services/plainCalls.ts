/**
 * Calls to plain services without an at-most-once guarantee: idempotent calls
 * are retried, other calls end with an unknown outcome when the response is lost.
 * Small responses are buffered completely before the caller gets the first
 * byte, so that a call with a truncated response can be retried; large responses are streamed.
 *
 * Connections are reused only to endpoints that echo the attempt id. Without
 * the echo, a surplus response to an earlier request on the connection cannot
 * be distinguished from the response to the current one.
 */
import { Agent, type Dispatcher } from 'undici'
import { Executed, RefusalReason, RetryReason, type Refusal } from '../../protocol/refusals.js'
import { isAnswerStatus } from '../../utils/answerStatus.js'
import { breakOff } from '../../utils/breakOff.js'
import { httpConnector } from '../../utils/httpConnector.js'
import type { Logger } from '../../utils/logger.js'
import { AnswerProblem, MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import type { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import { isConnectFailure } from '../completions/engineStream.js'
import { EntryEvent } from '../entryEvents.js'
import { AbortEmitter } from '../http/abortEmitter.js'
import type { ResponseWriter } from '../http/responseWriter.js'
import type { RequestJournal } from '../http/requestJournal.js'
import type { Exchange } from '../http/route.js'
import type { Assignment, AttemptResult, Scheduler } from '../scheduling/scheduler.js'
import { responseHeaders, Echo, echoOf, isIdempotent, isNotExecuted, requestHeaders, type ServiceCall } from './serviceCall.js'

/** Responses up to this size are buffered completely before they are forwarded. */
const MAX_BUFFERED_BYTES = 256 * 1024

export interface PlainCallsOptions {
  scheduler: Scheduler
  responseWriter: ResponseWriter
  random: RandomSource
  metrics: Metrics
  logger: Logger
  journal: RequestJournal
  connectTimeoutMs: number
}

type AttemptOutcome =
  /** The response went to the caller; `isComplete` is false if the caller disconnected or the response broke off. */
  | { kind: 'passedOn', isComplete: boolean }
  | { kind: 'failed', reason: RetryReason, mayHaveRun: boolean, message: string }
  | { kind: 'deadlinePassed' }

type BufferedBody =
  | { kind: 'whole', body: Buffer }
  | { kind: 'large', first: Buffer, rest: AsyncIterator<Buffer> }
  | { kind: 'broken', message: string }

interface Attempt {
  attemptId: string
  endpointId: string
  exchange: Exchange
}

export class PlainCalls {
  private readonly _options: PlainCallsOptions
  private readonly _keepAliveAgent: Agent
  private readonly _singleUseAgent: Agent
  /** Incarnations of the endpoints that echo attempt ids, by endpoint id. */
  private readonly _echoingIncarnations = new Map<string, number>()

  constructor (options: PlainCallsOptions) {
    this._options = options
    const connect = httpConnector({ timeout: options.connectTimeoutMs, noDelay: true })
    this._keepAliveAgent = new Agent({ connect, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
    this._singleUseAgent = new Agent({ connect, pipelining: 0, headersTimeout: 0, bodyTimeout: 0 })
  }

  async close (): Promise<void> {
    await Promise.all([this._keepAliveAgent.destroy(), this._singleUseAgent.destroy()])
  }

  /** Runs the call, with retries where they are safe, and responds to the caller. */
  async run (exchange: Exchange, call: ServiceCall): Promise<void> {
    const { scheduler, responseWriter } = this._options
    const { progress } = exchange
    const excludedEndpointIds: string[] = []
    let mayHaveRun = false
    for (;;) {
      const assigned = await scheduler.assign({ ...call.item, excludedEndpointIds }, progress)
      if (assigned.kind === 'refused') {
        const { reason, message, retryAfterMs } = assigned
        return responseWriter.refuse(exchange, withCallLog(exchange, { reason, message, retryAfterMs, executed: mayHaveRun ? Executed.Unknown : Executed.No }))
      }
      const outcome = await this._attempt(exchange, call, assigned.assignment)
      if (outcome.kind === 'passedOn') return
      if (outcome.kind === 'deadlinePassed') {
        return responseWriter.refuse(exchange, withCallLog(exchange, { reason: RefusalReason.DeadlinePassed, executed: Executed.Unknown, message: 'the deadline passed before a response arrived' }))
      }
      mayHaveRun ||= outcome.mayHaveRun
      const refusal = this._refusalUnlessRetried(call, outcome, mayHaveRun)
      if (refusal) return responseWriter.refuse(exchange, withCallLog(exchange, refusal))
      excludedEndpointIds.push(assigned.assignment.endpoint.announcement.endpointId)
    }
  }

  /** Returns the refusal that ends the call, or undefined if the call is retried. */
  private _refusalUnlessRetried ({ item, method }: ServiceCall, { reason, mayHaveRun: attemptMayHaveRun, message }: Extract<AttemptOutcome, { kind: 'failed' }>, mayHaveRun: boolean): Refusal | undefined {
    const executed = mayHaveRun ? Executed.Unknown : Executed.No
    if (attemptMayHaveRun && !isIdempotent(method)) return { reason: RefusalReason.AnswerLost, executed, message }
    if (this._options.scheduler.takeRetry(item.pool, reason)) return undefined
    return { reason: RefusalReason.RetryBudgetSpent, executed, message: `the endpoint failed and the retry budget is spent: ${message}` }
  }

  private async _attempt (exchange: Exchange, call: ServiceCall, assignment: Assignment): Promise<AttemptOutcome> {
    const { random, journal } = this._options
    const { progress } = exchange
    const attempt: Attempt = { attemptId: random.id(), endpointId: assignment.endpoint.announcement.endpointId, exchange }
    journal.addAttempt(attempt.attemptId, exchange.requestId)
    progress.log(`attempt ${attempt.attemptId} at ${attempt.endpointId}`)
    const startedAtMs = progress.clock.nowMs()
    let result: AttemptResult = { kind: 'cancelled' }
    try {
      const outcome = await this._exchange(attempt, call, assignment)
      if (outcome.kind === 'passedOn') result = { kind: 'succeeded', tokensCount: 1, durationMs: progress.clock.nowMs() - startedAtMs }
      if (outcome.kind === 'failed') {
        progress.log(`${attempt.endpointId}: ${outcome.message}`)
        result = { kind: outcome.reason === RetryReason.EndpointRefused ? 'refused' : 'failed' }
      }
      return outcome
    } finally {
      assignment.finish(result)
    }
  }

  private async _exchange (attempt: Attempt, call: ServiceCall, { endpoint }: Assignment): Promise<AttemptOutcome> {
    const { progress } = attempt.exchange
    const { endpointId, incarnation, url } = endpoint.announcement
    const isEchoing = this._echoingIncarnations.get(endpointId) === incarnation
    const dispatcher = isEchoing ? this._keepAliveAgent : this._singleUseAgent
    const abort = new AbortEmitter(progress.scope)
    let isComplete = false
    try {
      const answered = await progress.race(send(dispatcher, url, call, attempt, progress, abort))
      if (answered.kind === 'deadlinePassed') return answered
      if ('kind' in answered.value) return answered.value
      if (!isAnswerStatus(answered.value.statusCode)) return this._dropBadStatus(attempt, answered.value.statusCode)
      const echo = echoOf(answered.value.headers, attempt.attemptId)
      if (echo === Echo.Other || (echo === Echo.None && isEchoing)) return this._dropForeignResponse(attempt)
      if (echo === Echo.Same) this._echoingIncarnations.set(endpointId, incarnation)
      if (isNotExecuted(answered.value.statusCode, answered.value.headers)) {
        return { kind: 'failed', reason: RetryReason.EndpointRefused, mayHaveRun: false, message: 'the endpoint reported that it did not run the call' }
      }
      const outcome = await this._forward(attempt, answered.value)
      isComplete = outcome.kind === 'passedOn' && outcome.isComplete
      return outcome
    } finally {
      if (isComplete) abort.release()
      else abort.abort()
    }
  }

  private _dropBadStatus ({ endpointId }: Attempt, status: number): AttemptOutcome {
    this._options.metrics.count(MetricName.AnswersDropped, { reason: AnswerProblem.BadStatus })
    return { kind: 'failed', reason: RetryReason.EndpointError, mayHaveRun: true, message: `${endpointId} answered with the status ${status}, which no answer has` }
  }

  private _dropForeignResponse ({ attemptId, endpointId }: Attempt): AttemptOutcome {
    this._options.metrics.count(MetricName.AnswersDropped, { reason: AnswerProblem.Foreign })
    this._options.logger.event(EntryEvent.ForeignAnswerDropped, { attemptId, endpointId })
    this._echoingIncarnations.delete(endpointId)
    return { kind: 'failed', reason: RetryReason.EndpointError, mayHaveRun: true, message: 'the endpoint responded with the id of another request, or without one on a connection that was used before' }
  }

  private async _forward ({ exchange }: Attempt, { statusCode, headers, body }: Dispatcher.ResponseData): Promise<AttemptOutcome> {
    const { responseWriter, metrics } = this._options
    const { response, progress } = exchange
    const raced = await progress.race(readUpToLimit(body))
    if (raced.kind === 'deadlinePassed') return raced
    const buffered = raced.value
    const forwarded: Record<string, string> = { ...responseHeaders(headers), ...responseWriter.headers(exchange) }
    const declaredBytes = headers['content-length']
    if (typeof declaredBytes === 'string') forwarded['content-length'] = declaredBytes
    switch (buffered.kind) {
      case 'broken':
        metrics.count(MetricName.AnswersDropped, { reason: AnswerProblem.NotWhole })
        return { kind: 'failed', reason: RetryReason.ConnectionLost, mayHaveRun: true, message: `the response broke off: ${buffered.message}` }
      case 'whole':
        forwarded['content-length'] ??= String(buffered.body.length)
        response.writeHead(statusCode, forwarded)
        response.end(buffered.body)
        return { kind: 'passedOn', isComplete: true }
      case 'large':
        response.writeHead(statusCode, forwarded)
        return { kind: 'passedOn', isComplete: await this._stream(exchange, buffered) }
    }
  }

  /**
   * Streams a response that is too large to buffer. Once the first byte has
   * been forwarded, a failure can only be signalled by closing the connection,
   * so that the caller does not take the truncated response for complete.
   */
  private async _stream ({ response, progress }: Exchange, { first, rest }: Extract<BufferedBody, { kind: 'large' }>): Promise<boolean> {
    const { responseWriter, metrics } = this._options
    if (await responseWriter.write(response, first, progress) !== 'written') return false
    for (;;) {
      const next = await progress.race(rest.next().catch(() => undefined))
      if (next.kind === 'deadlinePassed' || next.value === undefined) {
        metrics.count(MetricName.AnswersDropped, { reason: AnswerProblem.NotWhole })
        breakOff(response)
        return false
      }
      if (next.value.done) {
        response.end()
        return true
      }
      if (await responseWriter.write(response, next.value.value, progress) !== 'written') return false
    }
  }
}

async function send (dispatcher: Dispatcher, url: string, call: ServiceCall, { attemptId }: Attempt, progress: Progress, signal: AbortEmitter): Promise<Dispatcher.ResponseData | AttemptOutcome> {
  try {
    return await dispatcher.request({
      origin: url,
      path: call.path,
      method: call.method as Dispatcher.HttpMethod,
      headers: requestHeaders(call, attemptId, progress.remainingMs()),
      body: call.body.length > 0 ? call.body : null,
      signal
    })
  } catch (error) {
    const connectFailed = isConnectFailure(error)
    return {
      kind: 'failed',
      reason: connectFailed ? RetryReason.ConnectFailed : RetryReason.ConnectionLost,
      mayHaveRun: !connectFailed,
      message: (error as Error).message
    }
  }
}

async function readUpToLimit (body: Dispatcher.ResponseData['body']): Promise<BufferedBody> {
  const chunks: Buffer[] = []
  let bytes = 0
  const iterator = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  try {
    for (;;) {
      const next = await iterator.next()
      if (next.done) return { kind: 'whole', body: Buffer.concat(chunks) }
      chunks.push(next.value)
      bytes += next.value.length
      if (bytes > MAX_BUFFERED_BYTES) return { kind: 'large', first: Buffer.concat(chunks), rest: iterator }
    }
  } catch (error) {
    return { kind: 'broken', message: (error as Error).message }
  }
}

function withCallLog ({ progress }: Exchange, refusal: Refusal): Refusal {
  return { ...refusal, callLog: [...progress.callLog] }
}
