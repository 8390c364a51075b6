/**
 * POST /v1/completions: runs a completion for a caller and returns it as one
 * JSON response or as a stream of server-sent events.
 */
import { z } from 'zod'
import type { ConfigurationView } from '../../controlClient/controlClient.js'
import { callerPaths, type CompletionAnswer } from '../../protocol/callers.js'
import { completionRequestSchema, FinishReason, type CompletionChunk, type CompletionRequest } from '../../protocol/endpoints.js'
import { Executed, RefusalReason, type Refusal } from '../../protocol/refusals.js'
import { EndpointKind, ResourceKind } from '../../protocol/resources.js'
import { jsonWeightBytes } from '../../utils/jsonWeight.js'
import { callerOf } from '../http/callerIdentity.js'
import type { ResponseWriter } from '../http/responseWriter.js'
import { parseJson, readBody } from '../http/requestBody.js'
import type { Exchange, Route } from '../http/route.js'
import type { CompletionOutcome, CompletionTask } from './completionRunner.js'
import type { EngineCompletions } from './engineCompletions.js'

export interface CompletionRouteOptions {
  completions: EngineCompletions
  configuration: ConfigurationView
  responseWriter: ResponseWriter
  maxBodyBytes: number
}

type TaskOutcome = { kind: 'task', task: CompletionTask, request: CompletionRequest } | { kind: 'refused', refusal: Refusal }

export class CompletionRoute {
  private readonly _options: CompletionRouteOptions

  constructor (options: CompletionRouteOptions) {
    this._options = options
  }

  route (): Route {
    return {
      name: 'completions',
      method: 'POST',
      pathPrefix: callerPaths.completions,
      servedWithoutLease: false,
      handle: exchange => this._handle(exchange)
    }
  }

  private async _handle (exchange: Exchange): Promise<void> {
    const { responseWriter, maxBodyBytes } = this._options
    const read = await readBody(exchange, maxBodyBytes)
    if (read.kind === 'refused') return responseWriter.refuse(exchange, read.refusal)
    const made = this._task(exchange, read.body)
    if (made.kind === 'refused') return responseWriter.refuse(exchange, made.refusal)
    if (made.request.stream) return await this._stream(exchange, made.task)
    const outcome = await this._options.completions.runChunks(made.task, exchange.progress, () => true)
    this._sendComplete(exchange, made.task, outcome)
  }

  private _sendComplete (exchange: Exchange, { model }: CompletionTask, outcome: CompletionOutcome): void {
    if (outcome.kind === 'refused') return this._options.responseWriter.refuse(exchange, outcome.refusal)
    const { tokens, versions } = outcome.completion
    const answer: CompletionAnswer = {
      id: exchange.requestId,
      model,
      text: tokens.join(''),
      tokens,
      finish_reason: outcome.finishReason,
      versions
    }
    this._options.responseWriter.json(exchange, 200, answer)
  }

  private async _stream (exchange: Exchange, task: CompletionTask): Promise<void> {
    const { completions, responseWriter } = this._options
    const { response, progress } = exchange
    let finishSent = false
    const outcome = await completions.runChunks(task, progress, async chunks => {
      if (!response.headersSent) this._startStream(exchange)
      finishSent ||= chunks.at(-1)?.finish_reason != null
      return await responseWriter.write(response, eventsOf(exchange, chunks), progress) === 'written'
    })
    if (outcome.kind === 'refused') return responseWriter.refuse(exchange, outcome.refusal)
    if (!response.headersSent) this._startStream(exchange)
    const last = finishSent ? '' : finishEvent(exchange, outcome)
    response.end(`${last}data: [DONE]\n\n`)
  }

  private _startStream (exchange: Exchange): void {
    exchange.response.writeHead(200, {
      ...this._options.responseWriter.headers(exchange),
      'content-type': 'text/event-stream',
      'cache-control': 'no-store'
    })
  }

  private _task (exchange: Exchange, body: Buffer): TaskOutcome {
    if (jsonWeightBytes(body) > exchange.body.maxParsedBytes) return refusedTask(RefusalReason.BodyTooLarge, 'the request body has more values than this host has room for')
    const parsed = completionRequestSchema.safeParse(parseJson(body))
    if (!parsed.success) return refusedTask(RefusalReason.MalformedRequest, z.prettifyError(parsed.error))
    const request = parsed.data
    const pool = this._poolOf(request.model)
    if (pool === undefined) return refusedTask(RefusalReason.UnknownPool, `no engine pool serves the model ${request.model}`)
    const caller = callerOf(exchange, this._options.configuration)
    if (caller.kind === 'refused') return caller
    const task: CompletionTask = {
      item: {
        requestId: exchange.requestId,
        pool,
        callerName: caller.callerName,
        priorityClass: caller.priorityClass,
        affinityText: request.prompt,
        bodyBytes: body.length,
        expectedTokensCount: request.max_tokens,
        excludedEndpointIds: []
      },
      model: request.model,
      prompt: request.prompt,
      maxTokensCount: request.max_tokens,
      resumeTokens: request.resume_tokens,
      seed: request.seed,
      requestId: exchange.requestId
    }
    return { kind: 'task', task, request }
  }

  /** Returns the engine pool with that name, or else the first pool whose engines load that model. */
  private _poolOf (model: string): string | undefined {
    const { configuration } = this._options
    const named = configuration.get(ResourceKind.EndpointPool, model)
    if (named?.spec.endpointKind === EndpointKind.Engine) return named.name
    const pools = configuration.list(ResourceKind.EndpointPool)
    return pools.find(({ spec }) => spec.endpointKind === EndpointKind.Engine && spec.model === model)?.name
  }
}

function refusedTask (reason: RefusalReason, message: string): TaskOutcome {
  return { kind: 'refused', refusal: { reason, executed: Executed.No, message } }
}

/** Serializes chunks as events. Nothing else uses the chunks, so their id is replaced in place. */
function eventsOf ({ requestId }: Exchange, chunks: CompletionChunk[]): string {
  let events = ''
  for (const chunk of chunks) {
    chunk.id = requestId
    events += `data: ${JSON.stringify(chunk)}\n\n`
  }
  return events
}

/** Returns the final event of a complete answer for which no engine sent a finish reason. */
function finishEvent ({ requestId }: Exchange, outcome: CompletionOutcome): string {
  if (outcome.kind !== 'complete') return ''
  const last = outcome.completion.versions.at(-1)
  const chunk: CompletionChunk = {
    id: requestId,
    token_offset: outcome.completion.tokens.length,
    tokens: [],
    weight_version: last?.weightVersion ?? 0,
    engine_id: last?.engineId ?? '',
    engine_incarnation: last?.engineIncarnation ?? 0,
    finish_reason: FinishReason.Length
  }
  return `data: ${JSON.stringify(chunk)}\n\n`
}
