/**
 * xxHash64 over bytes, from xxhash-wasm. It finds damage, not intent.
 */
import xxhash from 'xxhash-wasm'

const { h64Raw } = await xxhash()

export const CHECKSUM_BYTES = 8

export function checksum (bytes: Uint8Array): bigint {
  return h64Raw(bytes)
}

export function writeChecksum (target: Buffer, positionBytes: number, bytes: Uint8Array): void {
  target.writeBigUInt64BE(checksum(bytes), positionBytes)
}

export function checksumMatches (source: Buffer, positionBytes: number, bytes: Uint8Array): boolean {
  return source.readBigUInt64BE(positionBytes) === checksum(bytes)
}
