/**
 * What a JSON text takes once it is parsed: far more than its bytes where it is made of
 * many small values.
 */

/** An element or field with its slot, as V8 holds small ones. */
const VALUE_BYTES = 48
const STRUCTURAL: ReadonlySet<number> = new Set([...'[{,'].map(letter => letter.charCodeAt(0)))
const QUOTE = '"'.charCodeAt(0)
const ESCAPE = '\\'.charCodeAt(0)

/** An upper estimate, for the values and the text of the strings. */
export function jsonWeightBytes (text: Uint8Array): number {
  let valuesCount = 0
  let isInString = false
  for (let position = 0; position < text.length; position++) {
    const byte = text[position] ?? 0
    if (byte === QUOTE) isInString = !isInString
    else if (isInString && byte === ESCAPE) position++
    else if (!isInString && STRUCTURAL.has(byte)) valuesCount++
  }
  return text.length + valuesCount * VALUE_BYTES
}
