/**
 * xxHash64 over bytes, from xxhash-wasm. It finds damage, not intent.
 */
import xxhash, { type XXHashAPI } from 'xxhash-wasm'
import { invariant } from '../../utils/errors.js'

export const CHECKSUM_BYTES = 8

let loaded: XXHashAPI | undefined

/** Has to come before anything else here; a second call does nothing. */
export async function loadChecksum (): Promise<void> {
  loaded ??= await xxhash()
}

export function checksum (bytes: Uint8Array): bigint {
  invariant(loaded, 'the checksum is used before it is loaded')
  return loaded.h64Raw(bytes)
}

export function writeChecksum (target: Buffer, positionBytes: number, bytes: Uint8Array): void {
  target.writeBigUInt64BE(checksum(bytes), positionBytes)
}

export function checksumMatches (source: Buffer, positionBytes: number, bytes: Uint8Array): boolean {
  return source.readBigUInt64BE(positionBytes) === checksum(bytes)
}
