/**
 * One try of a completion at one engine: the request goes out, chunks come
 * back as server-sent events. The reader pulls, so a slow caller slows the
 * engine's stream down instead of filling memory.
 */
import { createParser } from 'eventsource-parser'
import type { Dispatcher } from 'undici'
import { completionChunkSchema, type CompletionChunk } from '../../protocol/endpoints.js'
import { RetryReason } from '../../protocol/refusals.js'
import type { Progress } from '../../utils/progress.js'

const DONE_MARK = '[DONE]'
const TOO_MANY_REQUESTS = 429
const SERVICE_UNAVAILABLE = 503
const OK = 200
const BAD_REQUEST = 400
const INTERNAL_ERROR = 500
const MAX_ERROR_TEXT_BYTES = 512

/** How a try ended; the chunks went to the sink before. */
export type TryOutcome =
  /** The engine said that the stream is over. */
  | { kind: 'ended' }
  | { kind: 'failed', reason: RetryReason, message: string }
  /** The engine finds the request itself wrong; another would too. */
  | { kind: 'rejected', status: number, message: string }
  | { kind: 'deadlinePassed' }

/** @returns false to read no further */
export type ChunkSink = (chunk: CompletionChunk) => Promise<boolean> | boolean

export interface EngineCall {
  url: string
  body: unknown
  engineSilenceMs: number
}

/**
 * Runs the try. The request is aborted when the scope closes, the deadline
 * passes, or the sink wants no more.
 */
export async function streamFromEngine (dispatcher: Dispatcher, call: EngineCall, progress: Progress, sink: ChunkSink): Promise<TryOutcome> {
  const controller = new AbortController()
  const dispose = progress.scope.onClose(() => controller.abort())
  try {
    const answered = await progress.race(request(dispatcher, call, controller.signal))
    if (answered.kind === 'deadlinePassed') return { kind: 'deadlinePassed' }
    if ('kind' in answered.value) return answered.value
    const { statusCode, body } = answered.value
    if (statusCode !== OK) return await failureOf(statusCode, body)
    return await readEvents(body, progress, sink)
  } finally {
    dispose()
    controller.abort()
  }
}

async function request (dispatcher: Dispatcher, { url, body, engineSilenceMs }: EngineCall, signal: AbortSignal): Promise<Dispatcher.ResponseData | TryOutcome> {
  const { origin, pathname } = new URL(url)
  try {
    return await dispatcher.request({
      origin,
      path: pathname,
      method: 'POST',
      headers: { 'content-type': 'application/json', accept: 'text/event-stream' },
      body: JSON.stringify(body),
      signal,
      headersTimeout: engineSilenceMs,
      bodyTimeout: engineSilenceMs
    })
  } catch (error) {
    return { kind: 'failed', reason: isConnectFailure(error) ? RetryReason.ConnectFailed : RetryReason.ConnectionLost, message: (error as Error).message }
  }
}

/** Whether the connection never opened, so that nothing can have run. */
export function isConnectFailure (error: unknown): boolean {
  const { code, syscall } = error as NodeJS.ErrnoException
  return code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect'
}

async function failureOf (status: number, body: Dispatcher.ResponseData['body']): Promise<TryOutcome> {
  const text = await body.text().catch(() => '')
  const message = `status ${status}: ${text.slice(0, MAX_ERROR_TEXT_BYTES)}`
  if (status === TOO_MANY_REQUESTS || status === SERVICE_UNAVAILABLE) return { kind: 'failed', reason: RetryReason.EndpointRefused, message }
  if (status >= BAD_REQUEST && status < INTERNAL_ERROR) return { kind: 'rejected', status, message }
  return { kind: 'failed', reason: RetryReason.EndpointError, message }
}

async function readEvents (body: Dispatcher.ResponseData['body'], progress: Progress, sink: ChunkSink): Promise<TryOutcome> {
  const decoder = new TextDecoder()
  const events: string[] = []
  const parser = createParser({ onEvent: ({ data }) => events.push(data) })
  const iterator = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  for (;;) {
    const next = await progress.race(nextOf(iterator))
    if (next.kind === 'deadlinePassed') return { kind: 'deadlinePassed' }
    if ('kind' in next.value) return next.value
    if (next.value.done) return { kind: 'failed', reason: RetryReason.ConnectionLost, message: 'the stream ended without its end mark' }
    parser.feed(decoder.decode(next.value.value, { stream: true }))
    for (const data of events.splice(0)) {
      if (data === DONE_MARK) return { kind: 'ended' }
      const chunk = parseChunk(data)
      if (!chunk) return { kind: 'failed', reason: RetryReason.EndpointError, message: `malformed chunk: ${data.slice(0, MAX_ERROR_TEXT_BYTES)}` }
      if (!await sink(chunk)) return { kind: 'ended' }
    }
  }
}

async function nextOf (iterator: AsyncIterator<Buffer>): Promise<IteratorResult<Buffer> | TryOutcome> {
  try {
    return await iterator.next()
  } catch (error) {
    return { kind: 'failed', reason: RetryReason.ConnectionLost, message: (error as Error).message }
  }
}

function parseChunk (data: string): CompletionChunk | undefined {
  try {
    return completionChunkSchema.safeParse(JSON.parse(data)).data
  } catch {
    return undefined
  }
}
