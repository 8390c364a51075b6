/**
 * Where the prefix of a prompt is kept. The engines' cache events come late
 * and with gaps, so the hosts don't follow the caches: each prefix has homes,
 * a few endpoints that every host computes alike (rendezvous hashing), and the
 * more of the traffic shares the prefix the more homes it has. So an engine's
 * limited cache holds few prefixes, and hosts agree without talking.
 *
 * A home is a property of the prompt, not a claim that something is cached:
 * after a swap of weights the first request fills the cache for the new
 * version again, at the same place.
 */
import { LRUCache } from 'lru-cache'
import createHasher from 'xxhash-wasm'

const SHORTEST_PREFIX_LENGTH = 256
/** Prefixes of 256 characters, 512, and so on up to 16384. */
const LEVELS_COUNT = 7
const MAX_PREFIXES = 8192
const HALF_LIFE_MS = 30_000
/** A prefix that more of the traffic shares tells nothing; a longer one is looked at. */
const MAX_TRAFFIC_SHARE = 0.5
/** Homes of a prefix carry this much more than its part of the traffic. */
const HEADROOM = 1.25

const hasher = await createHasher()

/** Hashes of the prompt's prefixes, shortest first. */
export function prefixKeys (text: string): number[] {
  const keys: number[] = []
  let hash = 0
  let start = 0
  for (let level = 0; level < LEVELS_COUNT && start < text.length; level++) {
    const end = SHORTEST_PREFIX_LENGTH * 2 ** level
    hash = hasher.h32(text.slice(start, end), hash)
    keys.push(hash)
    start = end
  }
  return keys
}

interface Popularity {
  weight: number
  atMs: number
}

/** How much of the recent traffic shares a prefix. */
export class PrefixPopularity {
  private readonly _prefixes = new LRUCache<number, Popularity>({ max: MAX_PREFIXES })
  private readonly _total: Popularity = { weight: 0, atMs: 0 }

  /** Counts a request with these prefixes in. */
  note (keys: number[], nowMs: number): void {
    add(this._total, nowMs)
    for (const key of keys) {
      const popularity = this._prefixes.get(key) ?? { weight: 0, atMs: nowMs }
      add(popularity, nowMs)
      this._prefixes.set(key, popularity)
    }
  }

  /** From 0 to 1. */
  shareOf (key: number, nowMs: number): number {
    const popularity = this._prefixes.peek(key)
    const total = decayed(this._total, nowMs)
    return popularity && total > 0 ? decayed(popularity, nowMs) / total : 0
  }
}

function decayed ({ weight, atMs }: Popularity, nowMs: number): number {
  return weight * 2 ** (-(nowMs - atMs) / HALF_LIFE_MS)
}

function add (popularity: Popularity, nowMs: number): void {
  popularity.weight = decayed(popularity, nowMs) + 1
  popularity.atMs = nowMs
}

/** The homes of one request's prefix. */
export class PrefixHomes {
  private readonly _key: number
  private readonly _trafficShare: number
  private _rankedFor: readonly string[] = []
  private _homes = new Set<string>()

  constructor (key: number, trafficShare: number) {
    this._key = key
    this._trafficShare = trafficShare
  }

  /** Of these endpoints, those that are homes. The same array is ranked only once. */
  among (endpointIds: readonly string[]): Set<string> {
    if (this._rankedFor === endpointIds) return this._homes
    const count = Math.ceil(this._trafficShare * endpointIds.length * HEADROOM)
    this._rankedFor = endpointIds
    this._homes = new Set(this._rank(endpointIds).slice(0, Math.max(1, count)))
    return this._homes
  }

  private _rank (endpointIds: readonly string[]): string[] {
    const ranks = new Map(endpointIds.map(endpointId => [endpointId, hasher.h32(endpointId, this._key)]))
    return [...endpointIds].sort((a, b) => (ranks.get(b) ?? 0) - (ranks.get(a) ?? 0))
  }
}

/** Undefined when the prompt has no prefix that would tell endpoints apart. */
export function homesFor (text: string | undefined, popularity: PrefixPopularity, nowMs: number): PrefixHomes | undefined {
  if (!text) return undefined
  const keys = prefixKeys(text)
  popularity.note(keys, nowMs)
  for (const key of keys) {
    const share = popularity.shareOf(key, nowMs)
    if (share <= MAX_TRAFFIC_SHARE) return new PrefixHomes(key, share)
  }
  return undefined
}
