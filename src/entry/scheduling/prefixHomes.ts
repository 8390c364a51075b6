/**
 * Prefix affinity: the home endpoints of a prompt's prefix. The engines' cache
 * events arrive late and with gaps, so hosts don't track the caches. Instead,
 * each prefix has a few home endpoints, which every host computes identically
 * by rendezvous hashing; the larger the prefix's share of the traffic, the more
 * homes it has. So the limited cache of an engine holds few prefixes, and hosts
 * agree without communicating.
 *
 * A home is a property of the prompt and doesn't imply that the prefix is
 * cached there: after a swap of weights, the first request fills the cache of
 * the same endpoint for the new version.
 */
import { LRUCache } from 'lru-cache'
import createHasher from 'xxhash-wasm'

const MIN_PREFIX_LENGTH = 256
/** Prefixes have 256, 512, and so on up to 16384 characters. */
const LEVELS_COUNT = 7
const MAX_PREFIXES = 8192
const POPULARITY_HALF_LIFE_MS = 30_000
/** A prefix with a larger share of the traffic doesn't distinguish requests; a longer prefix is used. */
const MAX_TRAFFIC_SHARE = 0.5
/** Capacity of a prefix's homes relative to its share of the traffic. */
const HOME_HEADROOM_FACTOR = 1.25

const hasher = await createHasher()

/** Hashes of the prompt's prefixes, shortest first. */
export function prefixKeys (text: string): number[] {
  const keys: number[] = []
  let hash = 0
  let start = 0
  for (let level = 0; level < LEVELS_COUNT && start < text.length; level++) {
    const end = MIN_PREFIX_LENGTH * 2 ** level
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

/** The share of the recent traffic that each prefix has. */
export class PrefixPopularity {
  private readonly _prefixes = new LRUCache<number, Popularity>({ max: MAX_PREFIXES })
  private readonly _total: Popularity = { weight: 0, atMs: 0 }

  /** Counts a request with these prefixes. */
  record (keys: number[], nowMs: number): void {
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
  return weight * 2 ** (-(nowMs - atMs) / POPULARITY_HALF_LIFE_MS)
}

function add (popularity: Popularity, nowMs: number): void {
  popularity.weight = decayed(popularity, nowMs) + 1
  popularity.atMs = nowMs
}

/** The homes of one request's prefix. */
export class PrefixHomes {
  private readonly _key: number
  private readonly _trafficShare: number
  private _rankedEndpointIds: readonly string[] = []
  private _homes = new Set<string>()

  constructor (key: number, trafficShare: number) {
    this._key = key
    this._trafficShare = trafficShare
  }

  /** The homes among these endpoints. The ranking is cached by the identity of the array. */
  among (endpointIds: readonly string[]): Set<string> {
    if (this._rankedEndpointIds === endpointIds) return this._homes
    const count = Math.ceil(this._trafficShare * endpointIds.length * HOME_HEADROOM_FACTOR)
    this._rankedEndpointIds = endpointIds
    this._homes = new Set(this._rank(endpointIds).slice(0, Math.max(1, count)))
    return this._homes
  }

  private _rank (endpointIds: readonly string[]): string[] {
    const ranks = new Map(endpointIds.map(endpointId => [endpointId, hasher.h32(endpointId, this._key)]))
    return [...endpointIds].sort((a, b) => (ranks.get(b) ?? 0) - (ranks.get(a) ?? 0))
  }
}

/** @returns undefined when the prompt has no prefix that justifies endpoint affinity */
export function homesFor (text: string | undefined, popularity: PrefixPopularity, nowMs: number): PrefixHomes | undefined {
  if (!text) return undefined
  const keys = prefixKeys(text)
  popularity.record(keys, nowMs)
  for (const key of keys) {
    const share = popularity.shareOf(key, nowMs)
    if (share <= MAX_TRAFFIC_SHARE) return new PrefixHomes(key, share)
  }
  return undefined
}
