/**
 * xxHash64 checksums, from xxhash-wasm. They detect accidental damage, not
 * tampering.
 */
import xxhash, { type XXHashAPI } from 'xxhash-wasm'
import { invariant } from '../../utils/errors.js'

export const CHECKSUM_BYTES = 8

let loaded: XXHashAPI | undefined

/** Must complete before any other function of this module is called; later calls do nothing. */
export async function loadChecksum (): Promise<void> {
  loaded ??= await xxhash()
}

export function checksum (bytes: Uint8Array): bigint {
  invariant(loaded, 'checksum() was called before loadChecksum() completed')
  return loaded.h64Raw(bytes)
}

export function writeChecksum (target: Buffer, positionBytes: number, bytes: Uint8Array): void {
  target.writeBigUInt64BE(checksum(bytes), positionBytes)
}

export function checksumMatches (source: Buffer, positionBytes: number, bytes: Uint8Array): boolean {
  return source.readBigUInt64BE(positionBytes) === checksum(bytes)
}
