/**
 * Texts of results as they are stored and sent between hosts: deflated by
 * zlib. Only single letters are coded, without a search for repeats, which
 * sampled text hardly has.
 */
import { constants, deflateRawSync, inflateRawSync } from 'node:zlib'

export interface DeflatedText {
  deflatedText: Uint8Array<ArrayBuffer>
  /** Bytes of the text itself. */
  textLengthBytes: number
}

export function deflateText (text: string): DeflatedText {
  const bytes = Buffer.from(text)
  return {
    // A copy of its own: the library's buffer is larger than what it holds.
    deflatedText: Uint8Array.from(deflateRawSync(bytes, { strategy: constants.Z_HUFFMAN_ONLY })),
    textLengthBytes: bytes.length
  }
}

export function inflateText ({ deflatedText }: Pick<DeflatedText, 'deflatedText'>): string {
  return inflateRawSync(deflatedText).toString()
}
