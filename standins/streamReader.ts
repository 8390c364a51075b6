/** Reads a streamed completion and tells whether it is whole. */
import { EventSourceParserStream } from 'eventsource-parser/stream'
import { ReadableStream } from 'node:stream/web'
import { completionChunkSchema, type CompletionChunk } from '../src/protocol/endpoints.js'

export interface ReadStream {
  tokens: string[]
  /** Runs of tokens as they came. */
  chunks: CompletionChunk[]
  /** True when it ended by the mark of its end; false when it was cut. */
  isWhole: boolean
  /** Tokens that came out of place: a gap or a repeat. */
  misplacedCount: number
}

const END_MARK = '[DONE]'

/** @param onChunk called as chunks come */
export async function readStream (body: AsyncIterable<Uint8Array>, onChunk: (chunk: CompletionChunk) => void = () => {}): Promise<ReadStream> {
  const read: ReadStream = { tokens: [], chunks: [], isWhole: false, misplacedCount: 0 }
  const events = ReadableStream.from(body).pipeThrough(new TextDecoderStream()).pipeThrough(new EventSourceParserStream())
  try {
    for await (const { data } of events) {
      if (data === END_MARK) read.isWhole = true
      else take(read, completionChunkSchema.parse(JSON.parse(data)), onChunk)
    }
  } catch {
    read.isWhole = false
  }
  return read
}

function take (read: ReadStream, chunk: CompletionChunk, onChunk: (chunk: CompletionChunk) => void): void {
  if (chunk.token_offset !== read.tokens.length) read.misplacedCount++
  read.tokens.push(...chunk.tokens)
  read.chunks.push(chunk)
  onChunk(chunk)
}
