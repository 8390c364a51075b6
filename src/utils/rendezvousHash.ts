/**
 * Rendezvous hashing: everybody who knows the same candidates chooses the same one
 * for a key, and the loss of a candidate moves only its own keys.
 */
import { createHash } from 'node:crypto'

/** The candidate for a key; undefined without candidates. */
export function rendezvousChoice (key: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates.map(candidate => ({ candidate, rank: createHash('sha1').update(`${key}\n${candidate}`).digest('hex') }))
  ranked.sort((left, right) => (left.rank < right.rank ? -1 : 1))
  return ranked[0]?.candidate
}
