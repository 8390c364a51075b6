/** Reads a streamed completion and reports whether it is complete. */
import { EventSourceParserStream } from 'eventsource-parser/stream'
import { ReadableStream } from 'node:stream/web'
import { completionChunkSchema, type CompletionChunk } from '../src/protocol/endpoints.js'

export interface StreamResult {
  tokens: string[]
  /** Chunks in order of arrival. */
  chunks: CompletionChunk[]
  /** True if the stream ended with the end mark; false if it was truncated or malformed. */
  isWhole: boolean
  /** Chunks whose token offset shows a gap or a repeat. */
  misplacedCount: number
}

const END_MARK = '[DONE]'

/** @param onChunk called for each chunk on arrival */
export async function readStream (body: AsyncIterable<Uint8Array>, onChunk: (chunk: CompletionChunk) => void = () => {}): Promise<StreamResult> {
  const result: StreamResult = { tokens: [], chunks: [], isWhole: false, misplacedCount: 0 }
  const events = ReadableStream.from(body).pipeThrough(new TextDecoderStream()).pipeThrough(new EventSourceParserStream())
  try {
    for await (const { data } of events) {
      if (data === END_MARK) result.isWhole = true
      else addChunk(result, completionChunkSchema.parse(JSON.parse(data)), onChunk)
    }
  } catch {
    result.isWhole = false
  }
  return result
}

function addChunk (result: StreamResult, chunk: CompletionChunk, onChunk: (chunk: CompletionChunk) => void): void {
  if (chunk.token_offset !== result.tokens.length) result.misplacedCount++
  result.tokens.push(...chunk.tokens)
  result.chunks.push(chunk)
  onChunk(chunk)
}
