/**
 * Randomness as an argument: a seeded source, so that a test or a fuzz run
 * replays exactly.
 */
import { randomBytes, randomInt } from 'node:crypto'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const MAX_INT = 0x7fffffff
const ID_BYTES = 8
const DRAWN_AHEAD_BYTES = 4096
/** The generator's first numbers hardly differ between small seeds. */
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
 * Seeded from the operating system, for production. Identifiers come straight
 * from it: a seed of 31 bits is too small to keep those of many hosts apart.
 */
export function systemRandom (): RandomSource {
  // Drawn ahead: a call to the operating system for every identifier costs more than a request's parsing.
  let drawn = Buffer.alloc(0)
  let usedBytes = 0
  const id = (): string => {
    if (usedBytes + ID_BYTES > drawn.length) {
      drawn = randomBytes(DRAWN_AHEAD_BYTES)
      usedBytes = 0
    }
    usedBytes += ID_BYTES
    return drawn.toString('hex', usedBytes - ID_BYTES, usedBytes)
  }
  return { ...seededRandom(randomInt(MAX_INT)), id }
}
