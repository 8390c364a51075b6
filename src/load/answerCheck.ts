/**
 * Checks that an answer is whole and belongs to its request.
 */
import { createParser } from 'eventsource-parser'
import { z } from 'zod'
import { completionChunkSchema, FinishReason, type CompletionChunk } from '../protocol/endpoints.js'
import { InvariantKind, type PlannedRequest, type TryOutcome } from './requestOutcome.js'

const END_OF_STREAM = '[DONE]'

/** What is checked of a completion that comes in one piece. */
const wholeCompletionSchema = z.object({
  id: z.string(),
  tokens: z.array(z.string()),
  finish_reason: z.enum(FinishReason)
})

export type AnswerCheck = Extract<TryOutcome, { kind: 'whole' | 'broken' }>

function broken (invariant: InvariantKind, message: string): AnswerCheck {
  return { kind: 'broken', invariant, message }
}

/** The stand-in service echoes path and body; an answer without the tag is someone else's. */
export function checkServiceAnswer (planned: PlannedRequest, text: string, firstByteAtMs: number): AnswerCheck {
  if (!text.includes(planned.tag)) return broken(InvariantKind.CrossedAnswer, `answer without ${planned.tag}: ${text.slice(0, 120)}`)
  return { kind: 'whole', tokensCount: 0, firstByteAtMs }
}

export function checkWholeCompletion (planned: PlannedRequest, text: string, firstByteAtMs: number): AnswerCheck {
  const parsed = wholeCompletionSchema.safeParse(parseJson(text))
  if (!parsed.success) return broken(InvariantKind.PartialAnswer, z.prettifyError(parsed.error))
  const { id, tokens } = parsed.data
  if (id !== planned.tag) return broken(InvariantKind.CrossedAnswer, `answer to ${id} for ${planned.tag}`)
  return { kind: 'whole', tokensCount: tokens.length, firstByteAtMs }
}

/** Follows a stream of chunks; ends in one verdict. */
export class StreamCheck {
  private readonly _planned: PlannedRequest
  private readonly _parser = createParser({ onEvent: event => this._onEvent(event.data) })
  private _tokensCount = 0
  private _isFinished = false
  private _isDone = false
  private _broken: AnswerCheck | undefined

  constructor (planned: PlannedRequest) {
    this._planned = planned
  }

  feed (text: string): void {
    this._parser.feed(text)
  }

  /** @param isCut whether the connection ended before the body did */
  verdict (firstByteAtMs: number, isCut: boolean): TryOutcome {
    if (this._broken) return this._broken
    if (this._isFinished && this._isDone) return { kind: 'whole', tokensCount: this._tokensCount, firstByteAtMs }
    if (isCut) return { kind: 'lost', reason: `stream cut after ${this._tokensCount} tokens` }
    return broken(InvariantKind.PartialAnswer, `stream of ${this._planned.tag} ended without its end mark after ${this._tokensCount} tokens`)
  }

  private _onEvent (data: string): void {
    if (this._broken) return
    if (data === END_OF_STREAM) {
      this._isDone = true
      return
    }
    const parsed = completionChunkSchema.safeParse(parseJson(data))
    if (parsed.success) this._onChunk(parsed.data)
    else this._broken = broken(InvariantKind.PartialAnswer, `malformed chunk ${data.slice(0, 120)}`)
  }

  private _onChunk (chunk: CompletionChunk): void {
    if (chunk.id !== this._planned.tag) {
      this._broken = broken(InvariantKind.CrossedAnswer, `chunk of ${chunk.id} for ${this._planned.tag}`)
    } else if (chunk.token_offset !== this._tokensCount || this._isFinished) {
      this._broken = broken(InvariantKind.PartialAnswer, `chunk at ${chunk.token_offset} after ${this._tokensCount} tokens`)
    }
    this._tokensCount += chunk.tokens.length
    this._isFinished ||= chunk.finish_reason !== null
  }
}

export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
