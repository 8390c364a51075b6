/**
 * Parts of an item's output as they are stored and sent between hosts, compressed by
 * zlib. Only Huffman coding is used, as sampled text hardly contains repeats worth
 * a search.
 */
import { constants, deflateRawSync, inflateRawSync } from 'node:zlib'
import type { OutputPart } from '../protocol/batches.js'

/** Separates the data of events. */
export const EVENT_SEPARATOR = '\n'

/** Compresses the data of consecutive events into one part. */
export function toPart (data: readonly string[], versions: number[]): OutputPart {
  const bytes = Buffer.from(data.join(EVENT_SEPARATOR))
  return {
    eventsCount: data.length,
    // Copied, because the buffer that zlib returns is larger than its content.
    deflatedText: Uint8Array.from(deflateRawSync(bytes, { strategy: constants.Z_HUFFMAN_ONLY })),
    textLengthBytes: bytes.length,
    versions
  }
}

/** The complete text of an output. */
export function textOf (parts: readonly OutputPart[]): string {
  return parts.filter(({ eventsCount }) => eventsCount > 0).map(({ deflatedText }) => inflateRawSync(deflatedText).toString()).join(EVENT_SEPARATOR)
}

/** Length of the complete text in bytes. */
export function textLengthBytes (parts: readonly OutputPart[]): number {
  return parts.reduce((sum, part) => sum + part.textLengthBytes, 0)
}

export function eventsCountOf (parts: readonly OutputPart[]): number {
  return parts.reduce((sum, { eventsCount }) => sum + eventsCount, 0)
}
