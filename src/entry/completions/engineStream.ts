/**
 * One attempt of a completion at one engine: sends the request and reads the
 * chunks of the response, which arrive as server-sent events. Reading is
 * pull-based, so a slow caller applies back pressure to the engine instead of
 * filling the memory of this host.
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
/** An event that does not end within this is none: an engine may send bytes without end. */
const MAX_EVENT_LENGTH = 1024 * 1024
/** How long an engine may take to end its stream after the end marker. */
const END_OF_STREAM_TIMEOUT_MS = 1_000

/** How an attempt ended; its chunks have already been passed to the sink. */
export type AttemptOutcome =
  /** The engine sent the end marker, or the sink ended the attempt. */
  | { kind: 'ended', isComplete: boolean }
  | { kind: 'failed', reason: RetryReason, message: string }
  /** The engine rejected the request as invalid; other engines would reject the request too. */
  | { kind: 'rejected', status: number, message: string }
  | { kind: 'deadlinePassed' }

export enum ReadDecision {
  Continue = 'goOn',
  /** The answer is complete. */
  Complete = 'complete',
  /** The rest of the answer is not needed. */
  Stop = 'stop'
}

/** Receives the chunks that arrived together and decides whether to read on. */
export type ChunkSink = (chunks: CompletionChunk[]) => Promise<ReadDecision> | ReadDecision

export interface EngineCall {
  url: string
  body: unknown
  engineSilenceMs: number
}

/**
 * Runs the attempt. The request is aborted when the scope closes, the deadline
 * passes, or the sink returns `ReadDecision.Stop`.
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
    readToEnd(iterator, abort, progress.clock)
    return outcome
  } finally {
    if (!isComplete) abort.abort()
  }
}

/** Reads the rest of the response after the answer is complete, so that the engine does not take its end for a hang-up. */
function readToEnd (iterator: AsyncIterator<Buffer>, abort: AbortEmitter, clock: Clock): void {
  abort.detach()
  const cancel = clock.callAt(clock.nowMs() + END_OF_STREAM_TIMEOUT_MS, () => abort.abort())
  const readAll = async (): Promise<void> => {
    while (!(await iterator.next()).done);
  }
  readAll().catch(() => {}).finally(() => {
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

/** Whether the connection could not be opened, so that the endpoint cannot have run the request. */
export function isConnectFailure (error: unknown): boolean {
  const { code, syscall } = error as NodeJS.ErrnoException
  return code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect'
}

async function failureOf (status: number, body: Dispatcher.ResponseData['body']): Promise<AttemptOutcome> {
  const message = `status ${status}: ${await startOf(body)}`
  if (status === TOO_MANY_REQUESTS || status === SERVICE_UNAVAILABLE) return { kind: 'failed', reason: RetryReason.EndpointRefused, message }
  if (status >= BAD_REQUEST && status < INTERNAL_ERROR) return { kind: 'rejected', status, message }
  return { kind: 'failed', reason: RetryReason.EndpointError, message }
}

/** The first bytes of a body, which is not read any further: it may have no end. */
async function startOf (body: Dispatcher.ResponseData['body']): Promise<string> {
  let text = ''
  try {
    for await (const chunk of body) {
      text += String(chunk)
      if (text.length >= MAX_ERROR_TEXT_BYTES) break
    }
  } catch {
    // What has arrived is all that is told.
  }
  return text.slice(0, MAX_ERROR_TEXT_BYTES)
}

async function readEvents (iterator: AsyncIterator<Buffer>, progress: Progress, sink: ChunkSink): Promise<AttemptOutcome> {
  const decoder = new TextDecoder()
  const events: string[] = []
  let isEndless = false
  const parser = createParser({
    maxBufferSize: MAX_EVENT_LENGTH,
    onEvent: ({ data }) => events.push(data),
    onError: ({ type }) => { isEndless ||= type === 'max-buffer-size-exceeded' }
  })
  for (;;) {
    const next = await progress.race(readNext(iterator))
    if (next.kind === 'deadlinePassed') return { kind: 'deadlinePassed' }
    if ('kind' in next.value) return next.value
    if (next.value.done) return { kind: 'failed', reason: RetryReason.ConnectionLost, message: 'the stream ended without its end marker' }
    parser.feed(decoder.decode(next.value.value, { stream: true }))
    if (isEndless) return { kind: 'failed', reason: RetryReason.EndpointError, message: `an event does not end within ${MAX_EVENT_LENGTH} characters` }
    const parsed = chunksOf(events.splice(0))
    const decision = parsed.chunks.length > 0 ? await sink(parsed.chunks) : ReadDecision.Continue
    if (decision !== ReadDecision.Continue) return { kind: 'ended', isComplete: decision === ReadDecision.Complete }
    if (parsed.end) return parsed.end
  }
}

/** Parses events up to the end marker or up to the first malformed chunk. */
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
