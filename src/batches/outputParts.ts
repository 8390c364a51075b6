/**
 * Parts of an item's output as they are stored and sent between hosts:
 * deflated by zlib. Only single letters are coded, without a search for
 * repeats, which sampled text hardly has.
 */
import { constants, deflateRawSync, inflateRawSync } from 'node:zlib'
import type { OutputPart } from '../protocol/batches.js'

/** What parts the data of events. */
export const EVENT_SEPARATOR = '\n'

/** Puts the data of consecutive events into a part. */
export function toPart (data: readonly string[], versions: number[]): OutputPart {
  const bytes = Buffer.from(data.join(EVENT_SEPARATOR))
  return {
    eventsCount: data.length,
    // A copy of its own: the library's buffer is larger than what it holds.
    deflatedText: Uint8Array.from(deflateRawSync(bytes, { strategy: constants.Z_HUFFMAN_ONLY })),
    textLengthBytes: bytes.length,
    versions
  }
}

/** The whole text of an output. */
export function textOf (parts: readonly OutputPart[]): string {
  return parts.filter(({ eventsCount }) => eventsCount > 0).map(({ deflatedText }) => inflateRawSync(deflatedText).toString()).join(EVENT_SEPARATOR)
}

/** Bytes of the whole text. */
export function textLengthBytes (parts: readonly OutputPart[]): number {
  return parts.reduce((sum, part) => sum + part.textLengthBytes, 0)
}

export function eventsCountOf (parts: readonly OutputPart[]): number {
  return parts.reduce((sum, { eventsCount }) => sum + eventsCount, 0)
}
