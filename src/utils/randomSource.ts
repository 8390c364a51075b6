/**
 * Injectable random source. It is seeded, so that a test or a fuzz run can be
 * replayed exactly.
 */
import { randomBytes, randomInt } from 'node:crypto'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const MAX_INT = 0x7fffffff
const ID_BYTES = 8
const PREFETCHED_BYTES = 4096
/** The first numbers of the generator hardly differ between small seeds. */
const DISCARDED_COUNT = 64

export interface RandomSource {
  /** An integer from min to max, both included. */
  int (min: number, max: number): number
  /** A real number in [0, 1). */
  real (): number
  /** A hexadecimal identifier of 16 characters. */
  id (): string
}

export function seededRandom (seed: number): RandomSource {
  const generator = xoroshiro128plus(seed)
  for (let draw = 0; draw < DISCARDED_COUNT; draw++) generator.next()
  const int = (min: number, max: number): number => uniformInt(generator, min, max)
  const word = (): string => int(0, MAX_INT).toString(16).padStart(8, '0')
  return {
    int,
    real: () => int(0, MAX_INT - 1) / MAX_INT,
    id: () => word() + word()
  }
}

/**
 * Random source for production, seeded by the operating system. Identifiers come
 * directly from the operating system, because with a seed of 31 bits the identifiers of many
 * hosts would collide.
 */
export function systemRandom (): RandomSource {
  // Prefetched, because one system call per identifier costs more than parsing a request.
  let prefetched = Buffer.alloc(0)
  let usedBytes = 0
  const id = (): string => {
    if (usedBytes + ID_BYTES > prefetched.length) {
      prefetched = randomBytes(PREFETCHED_BYTES)
      usedBytes = 0
    }
    usedBytes += ID_BYTES
    return prefetched.toString('hex', usedBytes - ID_BYTES, usedBytes)
  }
  return { ...seededRandom(randomInt(MAX_INT)), id }
}
