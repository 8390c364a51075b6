/**
 * Rendezvous hashing: every host that knows the same candidates ranks them
 * alike, and a candidate that goes only moves what it had.
 */
import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** A 32-bit hash, the same on every host. */
export function hash32 (text: string): number {
  return hasher.h32(text)
}

/** The candidates, best first, for a key. */
export function rankByRendezvous (key: string, candidates: string[]): string[] {
  const scored = candidates.map(candidate => ({ candidate, score: hash32(`${key}\n${candidate}`) }))
  scored.sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
  return scored.map(({ candidate }) => candidate)
}
