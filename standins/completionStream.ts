/**
 * One running completion of an engine: a sequence of the batch whose tokens
 * are sent as server-sent events and added to the generation record.
 */
import type { ServerResponse } from 'node:http'
import { FinishReason, type CompletionChunk, type CompletionRequest } from '../src/protocol/endpoints.js'
import type { Sequence } from './generationBatch.js'
import type { GenerationEntry, GenerationRecord } from './generationRecord.js'
import { answerLength, tokenAt } from './tokenSource.js'

const MAX_UNSENT_BYTES = 64 * 1024
const DEFAULT_PRIORITY = 0

export interface EngineIdentity {
  engineId: string
  engineIncarnation: number
  /** Returns the current weight version. */
  weightVersion: () => number
}

export interface CompletionStreamOptions {
  response: ServerResponse
  entry: GenerationEntry
  record: GenerationRecord
  identity: EngineIdentity
  meanTokensCount: number
}

export class CompletionStream implements Sequence {
  readonly priority: number
  prefillChars: number
  private readonly _request: CompletionRequest
  private readonly _response: ServerResponse
  private readonly _entry: GenerationEntry
  private readonly _record: GenerationRecord
  private readonly _identity: EngineIdentity
  private readonly _seed: string
  private readonly _length: number
  private _nextIndex: number

  constructor (request: CompletionRequest, { response, entry, record, identity, meanTokensCount }: CompletionStreamOptions) {
    this.priority = request.priority ?? DEFAULT_PRIORITY
    this.prefillChars = request.prompt.length
    this._request = request
    this._response = response
    this._entry = entry
    this._record = record
    this._identity = identity
    this._seed = String(request.seed ?? request.request_id ?? '')
    this._nextIndex = entry.resumedFromToken
    const drawnLength = answerLength(request.prompt, this._seed, meanTokensCount, request.max_tokens)
    this._length = Math.max(drawnLength, Math.min(request.max_tokens, this._nextIndex + 1))
  }

  isStalled (): boolean {
    return this._response.writableLength > MAX_UNSENT_BYTES
  }

  advance (tokensCount: number): boolean {
    const { engineId, engineIncarnation } = this._identity
    const weightVersion = this._identity.weightVersion()
    const fromToken = this._nextIndex
    const toToken = Math.min(this._length, fromToken + tokensCount)
    const tokens: string[] = []
    for (let index = fromToken; index < toToken; index++) {
      tokens.push(tokenAt(this._request.prompt, this._seed, weightVersion, index))
    }
    this._nextIndex = toToken
    this._record.add(this._entry, tokens, { weightVersion, engineId, engineIncarnation })
    this._write(fromToken, tokens, this._finishReason())
    return toToken >= this._length
  }

  private _finishReason (): FinishReason | null {
    if (this._nextIndex < this._length) return null
    return this._length >= this._request.max_tokens ? FinishReason.Length : FinishReason.Stop
  }

  private _write (fromToken: number, tokens: string[], finishReason: FinishReason | null): void {
    const chunk: CompletionChunk = {
      id: this._entry.requestId,
      token_offset: fromToken,
      tokens,
      weight_version: this._identity.weightVersion(),
      engine_id: this._identity.engineId,
      engine_incarnation: this._identity.engineIncarnation,
      finish_reason: finishReason
    }
    this._response.write(`data: ${JSON.stringify(chunk)}\n\n`)
    if (finishReason === null) return
    this._entry.ended = finishReason
    this._response.end('data: [DONE]\n\n')
  }
}
