/**
 * Checks that an answer is complete and belongs to its request.
 */
import { createParser } from 'eventsource-parser'
import { z } from 'zod'
import { completionChunkSchema, FinishReason, type CompletionChunk } from '../protocol/endpoints.js'
import { InvariantKind, type PlannedRequest, type AttemptOutcome } from './requestOutcome.js'

const END_OF_STREAM = '[DONE]'

/** Fields that are checked in a completion that is not streamed. */
const unstreamedCompletionSchema = z.object({
  id: z.string(),
  tokens: z.array(z.string()),
  finish_reason: z.enum(FinishReason)
})

export type AnswerVerdict = Extract<AttemptOutcome, { kind: 'whole' | 'broken' }>

function violationOf (invariant: InvariantKind, message: string): AnswerVerdict {
  return { kind: 'broken', invariant, message }
}

/** The stand-in service echoes path and body, so an answer without the tag belongs to another request. */
export function checkServiceAnswer (planned: PlannedRequest, text: string, firstByteAtMs: number): AnswerVerdict {
  if (!text.includes(planned.tag)) return violationOf(InvariantKind.CrossedAnswer, `answer does not contain the tag ${planned.tag}: ${text.slice(0, 120)}`)
  return { kind: 'whole', tokensCount: 0, firstByteAtMs }
}

export function checkUnstreamedCompletion (planned: PlannedRequest, text: string, firstByteAtMs: number): AnswerVerdict {
  const parsed = unstreamedCompletionSchema.safeParse(parseJson(text))
  if (!parsed.success) return violationOf(InvariantKind.PartialAnswer, z.prettifyError(parsed.error))
  const { id, tokens } = parsed.data
  if (id !== planned.tag) return violationOf(InvariantKind.CrossedAnswer, `got the answer to ${id} instead of ${planned.tag}`)
  return { kind: 'whole', tokensCount: tokens.length, firstByteAtMs }
}

/** Checks the chunks of a streamed completion as they arrive. */
export class StreamCheck {
  private readonly _planned: PlannedRequest
  private readonly _parser = createParser({ onEvent: event => this._onEvent(event.data) })
  private _tokensCount = 0
  private _isFinished = false
  private _hasEndMark = false
  private _violation: AnswerVerdict | undefined

  constructor (planned: PlannedRequest) {
    this._planned = planned
  }

  feed (text: string): void {
    this._parser.feed(text)
  }

  /** @param isDisconnected whether the connection closed before the end of the body */
  verdict (firstByteAtMs: number, isDisconnected: boolean): AttemptOutcome {
    if (this._violation) return this._violation
    if (this._isFinished && this._hasEndMark) return { kind: 'whole', tokensCount: this._tokensCount, firstByteAtMs }
    if (isDisconnected) return { kind: 'lost', reason: `stream disconnected after ${this._tokensCount} tokens` }
    return violationOf(InvariantKind.PartialAnswer, `stream of ${this._planned.tag} ended without the end mark after ${this._tokensCount} tokens`)
  }

  private _onEvent (data: string): void {
    if (this._violation) return
    if (data === END_OF_STREAM) {
      this._hasEndMark = true
      return
    }
    const parsed = completionChunkSchema.safeParse(parseJson(data))
    if (parsed.success) this._onChunk(parsed.data)
    else this._violation = violationOf(InvariantKind.PartialAnswer, `malformed chunk ${data.slice(0, 120)}`)
  }

  private _onChunk (chunk: CompletionChunk): void {
    if (chunk.id !== this._planned.tag) {
      this._violation = violationOf(InvariantKind.CrossedAnswer, `got a chunk of ${chunk.id} instead of ${this._planned.tag}`)
    } else if (chunk.token_offset !== this._tokensCount || this._isFinished) {
      this._violation = violationOf(InvariantKind.PartialAnswer, `chunk has token offset ${chunk.token_offset} after ${this._tokensCount} tokens`)
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
