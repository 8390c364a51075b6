/**
 * Which endpoint has probably cached the prefix of a prompt. The engines'
 * cache events come late and with gaps, so this goes by what this host sent
 * where, and by a home that every host computes alike (rendezvous hashing), so
 * that hosts which don't talk about it send one prefix to the same endpoints.
 *
 * Cached state belongs to a version of the weights: the version is part of
 * every hash, so after a swap nothing counts as cached.
 */
import { LRUCache } from 'lru-cache'
import createHasher from 'xxhash-wasm'

const BLOCK_LENGTH = 256
const MAX_BLOCKS = 64
/** Blocks believed cached on one endpoint. */
const MAX_CACHED_BLOCKS = 4096
/** How much of a prefix its home is trusted to hold before this host has sent it there. */
const HOME_FRACTION = 0.5

const hasher = await createHasher()

/** The prefix of one prompt as a chain of block hashes, by weight version. */
export class PromptPrefix {
  private readonly _text: string
  private readonly _chains = new Map<number, number[]>()

  constructor (text: string) {
    this._text = text
  }

  /** Each hash covers everything up to the end of its block. */
  chain (weightVersion: number): number[] {
    const known = this._chains.get(weightVersion)
    if (known) return known
    const chain: number[] = []
    const length = Math.min(this._text.length, BLOCK_LENGTH * MAX_BLOCKS)
    let hash = weightVersion
    for (let start = 0; start < length; start += BLOCK_LENGTH) {
      hash = hasher.h32(this._text.slice(start, start + BLOCK_LENGTH), hash)
      chain.push(hash)
    }
    this._chains.set(weightVersion, chain)
    return chain
  }

  /** How strongly an endpoint is the home of the prefix's first block; the highest is. */
  homeRank (endpointId: string): number {
    return hasher.h32(endpointId, this.chain(0)[0] ?? 0)
  }
}

/** What one endpoint has probably cached. */
export class CachedPrefixes {
  private readonly _blocks = new LRUCache<number, true>({ max: MAX_CACHED_BLOCKS })

  note (chain: number[]): void {
    for (const hash of chain) this._blocks.set(hash, true)
  }

  /** Part of the chain that is cached from its start on, 0 to 1. */
  fraction (chain: number[]): number {
    if (chain.length === 0) return 0
    const missing = chain.findIndex(hash => !this._blocks.has(hash))
    return missing < 0 ? 1 : missing / chain.length
  }

  clear (): void {
    this._blocks.clear()
  }
}

/** The endpoint where hosts look for the prefix first. */
export function homeOf (prefix: PromptPrefix, endpointIds: string[]): string | undefined {
  let home: string | undefined
  let highest = -1
  for (const endpointId of endpointIds) {
    const rank = prefix.homeRank(endpointId)
    if (rank <= highest) continue
    highest = rank
    home = endpointId
  }
  return home
}

/** Part of the prompt that need not be computed there, as far as this host can tell. */
export function expectedCachedFraction (known: number, isHome: boolean): number {
  return isHome ? Math.max(known, HOME_FRACTION) : known
}
