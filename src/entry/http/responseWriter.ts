/**
 * Writes the responses of an entry host: JSON, refusals, and streams with back
 * pressure from slow readers.
 */
import type { ServerResponse } from 'node:http'
import { CallerHeader } from '../../protocol/callers.js'
import { refusalStatus, type Refusal } from '../../protocol/refusals.js'
import { breakOff } from '../../utils/breakOff.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import type { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Exchange } from './route.js'

const TOO_MANY_REQUESTS = 429
const SERVICE_UNAVAILABLE = 503
const DEFAULT_RETRY_AFTER_MS = 500
const RETRY_AFTER_SPREAD_MS = 1_000

export type WriteOutcome = 'written' | 'callerGone' | 'callerStalled'

/** Whether a refusal with this status is temporary, so that it needs a retry-after time. */
function isTemporary (status: number): boolean {
  return status === TOO_MANY_REQUESTS || status === SERVICE_UNAVAILABLE
}

export class ResponseWriter {
  private readonly _hostId: string
  private readonly _metrics: Metrics
  private readonly _random: RandomSource
  private readonly _slowReaderTimeoutMs: number

  constructor (hostId: string, metrics: Metrics, random: RandomSource, slowReaderTimeoutMs: number) {
    this._hostId = hostId
    this._metrics = metrics
    this._random = random
    this._slowReaderTimeoutMs = slowReaderTimeoutMs
  }

  json (exchange: Exchange, status: number, body: unknown, headers: Record<string, string> = {}): void {
    this.text(exchange, status, JSON.stringify(body), { 'content-type': 'application/json', ...headers })
  }

  text (exchange: Exchange, status: number, text: string | Uint8Array, headers: Record<string, string>): void {
    const { response } = exchange
    if (response.headersSent || response.destroyed) return
    response.writeHead(status, {
      ...this.headers(exchange),
      'content-length': Buffer.byteLength(text),
      ...headers
    })
    response.end(text)
  }

  /** Returns the headers that every response carries. */
  headers (exchange: Exchange): Record<string, string> {
    const headers: Record<string, string> = { [CallerHeader.ServedBy]: this._hostId, 'x-request-id': exchange.requestId }
    // The unread rest of a request body must not be parsed as the next request.
    if (!exchange.request.complete) headers['connection'] = 'close'
    return headers
  }

  /** Responds with a refusal; in a stream that has already started, sends it as the last event. */
  refuse (exchange: Exchange, given: Refusal): void {
    const { response } = exchange
    const refusal = this._withRetryAfter(given)
    this._metrics.count(MetricName.RequestRefused, { reason: refusal.reason })
    exchange.progress.log(`refused: ${refusal.reason}, executed ${refusal.executed}`)
    if (response.headersSent) {
      response.end(`event: refusal\ndata: ${JSON.stringify(refusal)}\n\n`)
      return
    }
    const headers: Record<string, string> = {}
    if (refusal.retryAfterMs !== undefined) headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / 1000))
    this.json(exchange, refusalStatus[refusal.reason], refusal, headers)
  }

  /** Writes a chunk of a stream; waits while the reader is slow, so that data does not accumulate in memory. */
  async write (response: ServerResponse, chunk: string | Uint8Array, progress: Progress): Promise<WriteOutcome> {
    if (response.destroyed) return 'callerGone'
    if (response.write(chunk)) return 'written'
    return await this._waitForDrain(response, progress)
  }

  private async _waitForDrain (response: ServerResponse, progress: Progress): Promise<WriteOutcome> {
    const { clock, scope } = progress
    let cancel = (): void => {}
    const outcomeReady = new Promise<WriteOutcome>(resolve => {
      const onDrain = (): void => resolve('written')
      const onClose = (): void => resolve('callerGone')
      const cancelTimer = clock.callAt(clock.nowMs() + this._slowReaderTimeoutMs, () => resolve('callerStalled'))
      response.once('drain', onDrain)
      response.once('close', onClose)
      cancel = () => {
        cancelTimer()
        response.off('drain', onDrain)
        response.off('close', onClose)
      }
    })
    try {
      const outcome = await scope.race(outcomeReady)
      if (outcome === 'callerStalled') breakOff(response)
      return outcome
    } finally {
      cancel()
    }
  }

  private _withRetryAfter (refusal: Refusal): Refusal {
    if (refusal.retryAfterMs !== undefined || !isTemporary(refusalStatus[refusal.reason])) return refusal
    const retryAfterMs = DEFAULT_RETRY_AFTER_MS + this._random.int(0, RETRY_AFTER_SPREAD_MS)
    return { ...refusal, retryAfterMs }
  }
}
