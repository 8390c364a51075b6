/**
 * Rendezvous hashing: all hosts with the same candidates compute the same ranking
 * for a key, and removing a candidate reassigns only the keys that it had.
 */
import { createHash } from 'node:crypto'
import { minBy } from './minBy.js'

/** Bytes of the digest that make up a rank; more would not fit into a number exactly. */
const RANK_BYTES = 6

/** Rank of a candidate for a key, the same on every host; the candidate with the lowest rank is chosen. */
export function rendezvousRank (key: string, candidate: string): number {
  return createHash('sha1').update(`${key}\n${candidate}`).digest().readUIntBE(0, RANK_BYTES)
}

/** The candidate for a key; undefined without candidates. */
export function rendezvousChoice (key: string, candidates: readonly string[]): string | undefined {
  return minBy(candidates, candidate => rendezvousRank(key, candidate))
}
