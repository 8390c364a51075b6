/**
 * One try of a completion at one engine: the request goes out, chunks come
 * back as server-sent events. The reader pulls, so a slow caller slows the
 * engine's stream down instead of filling memory.
 */
import { createParser } from 'eventsource-parser'
import type { Dispatcher } from 'undici'
import { completionChunkSchema, type CompletionChunk } from '../../protocol/endpoints.js'
import { RetryReason } from '../../protocol/refusals.js'
import type { Clock } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import { AbortEmitter } from '../http/abortEmitter.js'

const DONE_MARKER = '[DONE]'
const TOO_MANY_REQUESTS = 429
const SERVICE_UNAVAILABLE = 503
const OK = 200
const BAD_REQUEST = 400
const INTERNAL_ERROR = 500
const MAX_ERROR_TEXT_BYTES = 512
/** How long an engine may take to end its stream behind the end mark. */
const END_OF_STREAM_TIMEOUT_MS = 1_000

/** How a try ended; the chunks went to the sink before. */
export type AttemptOutcome =
  /** The engine said that the stream is over, or the sink wants no more. */
  | { kind: 'ended', isComplete: boolean }
  | { kind: 'failed', reason: RetryReason, message: string }
  /** The engine finds the request itself wrong; another would too. */
  | { kind: 'rejected', status: number, message: string }
  | { kind: 'deadlinePassed' }

export enum ReadDecision {
  Continue = 'goOn',
  /** The answer is whole. */
  Complete = 'complete',
  /** Nobody wants the rest. */
  Stop = 'stop'
}

/** Takes the chunks that came together. */
export type ChunkSink = (chunks: CompletionChunk[]) => Promise<ReadDecision> | ReadDecision

export interface EngineCall {
  url: string
  body: unknown
  engineSilenceMs: number
}

/**
 * Runs the try. The request is aborted when the scope closes, the deadline
 * passes, or the sink wants no more.
 */
export async function streamFromEngine (dispatcher: Dispatcher, call: EngineCall, progress: Progress, sink: ChunkSink): Promise<AttemptOutcome> {
  const abort = new AbortEmitter(progress.scope)
  let isComplete = false
  try {
    const answered = await progress.race(request(dispatcher, call, abort))
    if (answered.kind === 'deadlinePassed') return { kind: 'deadlinePassed' }
    if ('kind' in answered.value) return answered.value
    const { statusCode, body } = answered.value
    if (statusCode !== OK) return await failureOf(statusCode, body)
    const iterator = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
    const outcome = await readEvents(iterator, progress, sink)
    if (outcome.kind !== 'ended' || !outcome.isComplete) return outcome
    isComplete = true
    releaseConnection(iterator, abort, progress.clock)
    return outcome
  } finally {
    if (!isComplete) abort.abort()
  }
}

/** Reads what may still come behind the end mark, so that the connection can be used again. */
function releaseConnection (iterator: AsyncIterator<Buffer>, abort: AbortEmitter, clock: Clock): void {
  abort.detach()
  const cancel = clock.callAt(clock.nowMs() + END_OF_STREAM_TIMEOUT_MS, () => abort.abort())
  const readToEnd = async (): Promise<void> => {
    while (!(await iterator.next()).done);
  }
  readToEnd().catch(() => {}).finally(() => {
    cancel()
    abort.release()
  })
}

async function request (dispatcher: Dispatcher, { url, body, engineSilenceMs }: EngineCall, signal: AbortEmitter): Promise<Dispatcher.ResponseData | AttemptOutcome> {
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

async function failureOf (status: number, body: Dispatcher.ResponseData['body']): Promise<AttemptOutcome> {
  const text = await body.text().catch(() => '')
  const message = `status ${status}: ${text.slice(0, MAX_ERROR_TEXT_BYTES)}`
  if (status === TOO_MANY_REQUESTS || status === SERVICE_UNAVAILABLE) return { kind: 'failed', reason: RetryReason.EndpointRefused, message }
  if (status >= BAD_REQUEST && status < INTERNAL_ERROR) return { kind: 'rejected', status, message }
  return { kind: 'failed', reason: RetryReason.EndpointError, message }
}

async function readEvents (iterator: AsyncIterator<Buffer>, progress: Progress, sink: ChunkSink): Promise<AttemptOutcome> {
  const decoder = new TextDecoder()
  const events: string[] = []
  const parser = createParser({ onEvent: ({ data }) => events.push(data) })
  for (;;) {
    const next = await progress.race(readNext(iterator))
    if (next.kind === 'deadlinePassed') return { kind: 'deadlinePassed' }
    if ('kind' in next.value) return next.value
    if (next.value.done) return { kind: 'failed', reason: RetryReason.ConnectionLost, message: 'the stream ended without its end mark' }
    parser.feed(decoder.decode(next.value.value, { stream: true }))
    const parsed = chunksOf(events.splice(0))
    const decision = parsed.chunks.length > 0 ? await sink(parsed.chunks) : ReadDecision.Continue
    if (decision !== ReadDecision.Continue) return { kind: 'ended', isComplete: decision === ReadDecision.Complete }
    if (parsed.end) return parsed.end
  }
}

/** The chunks up to the end mark, or up to what is none. */
function chunksOf (events: string[]): { chunks: CompletionChunk[], end?: AttemptOutcome } {
  const chunks: CompletionChunk[] = []
  for (const data of events) {
    if (data === DONE_MARKER) return { chunks, end: { kind: 'ended', isComplete: true } }
    const chunk = parseChunk(data)
    if (!chunk) {
      const message = `malformed chunk: ${data.slice(0, MAX_ERROR_TEXT_BYTES)}`
      return { chunks, end: { kind: 'failed', reason: RetryReason.EndpointError, message } }
    }
    chunks.push(chunk)
  }
  return { chunks }
}

async function readNext (iterator: AsyncIterator<Buffer>): Promise<IteratorResult<Buffer> | AttemptOutcome> {
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
