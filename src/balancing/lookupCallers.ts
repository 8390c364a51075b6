/**
 * Tells callers apart that ask for addresses. The load it answers: callers behind
 * one address, such as a proxy, would all get the same list and press on its hosts.
 *
 * A caller asks once in the validity of its list. An address that asks more often
 * is shared, and its callers are told apart by port: a caller that keeps its
 * connection keeps its list, others get a new draw each time.
 */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../utils/clock.js'

/** A caller that fails over asks up to three hosts; more look-ups within one validity come from several callers. */
const MAX_LOOKUPS_PER_VALIDITY_COUNT = 3
/** An address stays shared for this many validities after it last asked that often. */
const SHARED_VALIDITIES_COUNT = 15
const MAX_REMEMBERED_COUNT = 4_096

interface AddressUse {
  windowEndsAtMs: number
  lookupsCount: number
  sharedUntilMs: number
}

export class LookupCallers {
  private readonly _clock: Clock
  private readonly _validityMs: number
  private readonly _uses = new LRUCache<string, AddressUse>({ max: MAX_REMEMBERED_COUNT })

  /** @param validityMs how long callers keep an answer at least */
  constructor (clock: Clock, validityMs: number) {
    this._clock = clock
    this._validityMs = validityMs
  }

  /** Records a look-up; returns what identifies its caller. */
  identify (address: string, port: number, name: string): string {
    const nowMs = this._clock.nowMs()
    const use = this._uses.get(address) ?? { windowEndsAtMs: nowMs + this._validityMs, lookupsCount: 0, sharedUntilMs: Number.NEGATIVE_INFINITY }
    this._uses.set(address, use)
    if (nowMs >= use.windowEndsAtMs) Object.assign(use, { windowEndsAtMs: nowMs + this._validityMs, lookupsCount: 0 })
    use.lookupsCount++
    if (use.lookupsCount > MAX_LOOKUPS_PER_VALIDITY_COUNT) use.sharedUntilMs = nowMs + SHARED_VALIDITIES_COUNT * this._validityMs
    return nowMs < use.sharedUntilMs ? `${address}:${port} ${name}` : `${address} ${name}`
  }
}
