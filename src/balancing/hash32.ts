/**
 * Hashes for choices that all hosts must make alike: FNV-1a with the finalizer of
 * MurmurHash3, which spreads inputs that differ in one character. A cryptographic hash
 * would take most of the time of a look-up.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
/** Multipliers of the finalizer. */
const [MIX_FIRST, MIX_SECOND] = [0x85ebca6b, 0xc2b2ae35]

/** An unsigned 32-bit hash. */
export function hash32 (text: string): number {
  let hash = FNV_OFFSET
  for (let position = 0; position < text.length; position++) {
    hash = Math.imul(hash ^ text.charCodeAt(position), FNV_PRIME)
  }
  return mix32(hash)
}

/** Spreads the bits of a number over an unsigned 32-bit number. */
export function mix32 (value: number): number {
  let mixed = value
  mixed = Math.imul(mixed ^ (mixed >>> 16), MIX_FIRST)
  mixed = Math.imul(mixed ^ (mixed >>> 13), MIX_SECOND)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
