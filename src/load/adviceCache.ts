/**
 * Caches the entry hosts that each caller is advised to use. Queries the known
 * hosts in turn until one gives advice, and keeps the advice while it is valid.
 */
import { request, type Dispatcher } from 'undici'
import { adviceSchema, callerPaths, type Advice } from '../protocol/callers.js'
import type { Clock } from '../utils/clock.js'

const ADVICE_TIMEOUT_MS = 1_000
/** How long the entry hosts of the experiment are used after no host gave advice. */
const FALLBACK_VALID_MS = 500

export interface AdviceCacheOptions {
  clock: Clock
  dispatcher: Dispatcher
  entryHosts: string[]
  dataCentre: string
}

export class AdviceCache {
  private readonly _options: AdviceCacheOptions
  private readonly _entries = new Map<string, CachedAdvice>()
  /** Number of renewals in which no host gave advice. */
  unansweredCount = 0

  constructor (options: AdviceCacheOptions) {
    this._options = options
  }

  /** Hosts for a caller, in order of preference. */
  async hostsFor (caller: string): Promise<string[]> {
    const cached = this._entries.get(caller) ?? new CachedAdvice(this._options.entryHosts)
    this._entries.set(caller, cached)
    if (this._options.clock.nowMs() >= cached.validUntilMs) await this._renew(caller, cached)
    return cached.hosts
  }

  /** Expires the advice for a caller, so that the next use renews it. */
  invalidate (caller: string): void {
    const cached = this._entries.get(caller)
    if (cached) cached.validUntilMs = 0
  }

  private async _renew (caller: string, cached: CachedAdvice): Promise<void> {
    cached.renewal ??= this._query(caller, cached).finally(() => { cached.renewal = undefined })
    await cached.renewal
  }

  private async _query (caller: string, cached: CachedAdvice): Promise<void> {
    const { clock, entryHosts } = this._options
    const candidates = [...new Set([...cached.hosts, ...entryHosts])]
    for (const host of candidates) {
      const advice = await this._queryHost(host, caller)
      if (!advice || advice.hosts.length === 0) continue
      cached.hosts = advice.hosts
      cached.validUntilMs = clock.nowMs() + advice.validForMs
      return
    }
    this.unansweredCount++
    cached.hosts = entryHosts
    cached.validUntilMs = clock.nowMs() + FALLBACK_VALID_MS
  }

  private async _queryHost (host: string, caller: string): Promise<Advice | undefined> {
    const query = new URLSearchParams({ dataCentre: this._options.dataCentre, caller })
    try {
      const answer = await request(`http://${host}${callerPaths.advice}?${query}`, {
        dispatcher: this._options.dispatcher,
        signal: AbortSignal.timeout(ADVICE_TIMEOUT_MS)
      })
      const body: unknown = await answer.body.json()
      return answer.statusCode === 200 ? adviceSchema.safeParse(body).data : undefined
    } catch {
      return undefined
    }
  }
}

class CachedAdvice {
  hosts: string[]
  /** Time of the monotonic clock. */
  validUntilMs = 0
  renewal: Promise<void> | undefined

  constructor (hosts: string[]) {
    this.hosts = hosts
  }
}
