/**
 * Rendezvous hashing: all hosts with the same candidates compute the same
 * ranking, and removing a candidate reassigns only the keys of that candidate.
 */
import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Returns a 32-bit hash that is the same on every host. */
export function hash32 (text: string): number {
  return hasher.h32(text)
}

/** Returns the candidates ranked for a key, best first. */
export function rankByRendezvous (key: string, candidates: string[]): string[] {
  const scored = candidates.map(candidate => ({ candidate, score: hash32(`${key}\n${candidate}`) }))
  scored.sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
  return scored.map(({ candidate }) => candidate)
}
