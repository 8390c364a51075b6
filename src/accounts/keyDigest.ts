/**
 * Digests of the keys of client accounts. A key is hashed where it enters the
 * system; only digests are stored, sent, compared and logged.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

/** Characters of a digest that identify a key in logs and tables without revealing it. */
const SHORT_DIGEST_LENGTH = 10

/** SHA-256 in base64url. */
export function digestOfKey (key: string): string {
  return createHash('sha256').update(key).digest('base64url')
}

export function shortDigest (digest: string): string {
  return digest.slice(0, SHORT_DIGEST_LENGTH)
}

/** Compares two digests in constant time. */
export function isSameDigest (left: string, right: string): boolean {
  const [leftBytes, rightBytes] = [Buffer.from(left), Buffer.from(right)]
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes)
}
