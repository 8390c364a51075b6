/**
 * Which entry host to use: asks any known host, keeps the answer as long as it
 * is valid, and steps on when a host refuses or cannot be reached.
 */
import { request, type Dispatcher } from 'undici'
import { adviceSchema, callerPaths, type Advice } from '../protocol/callers.js'
import type { Clock } from '../utils/clock.js'

const ADVICE_TIMEOUT_MS = 1_000
/** After a round without an answer the hosts of the experiment serve this long. */
const FALLBACK_VALID_MS = 500

export interface AdviceKeeperOptions {
  clock: Clock
  dispatcher: Dispatcher
  entryHosts: string[]
  dataCentre: string
}

export class AdviceKeeper {
  private readonly _options: AdviceKeeperOptions
  private readonly _kept = new Map<string, KeptAdvice>()
  /** Rounds of asking in which no host gave advice. */
  unansweredCount = 0

  constructor (options: AdviceKeeperOptions) {
    this._options = options
  }

  /** Hosts for a caller, first choice first. */
  async hostsFor (caller: string): Promise<string[]> {
    const kept = this._kept.get(caller) ?? new KeptAdvice(this._options.entryHosts)
    this._kept.set(caller, kept)
    if (this._options.clock.nowMs() >= kept.validUntilMs) await this._renew(caller, kept)
    return kept.hosts
  }

  /** Asks anew at the next use. */
  forget (caller: string): void {
    const kept = this._kept.get(caller)
    if (kept) kept.validUntilMs = 0
  }

  private async _renew (caller: string, kept: KeptAdvice): Promise<void> {
    kept.renewal ??= this._ask(caller, kept).finally(() => { kept.renewal = undefined })
    await kept.renewal
  }

  private async _ask (caller: string, kept: KeptAdvice): Promise<void> {
    const { clock, entryHosts } = this._options
    const candidates = [...new Set([...kept.hosts, ...entryHosts])]
    for (const host of candidates) {
      const advice = await this._askHost(host, caller)
      if (!advice || advice.hosts.length === 0) continue
      kept.hosts = advice.hosts
      kept.validUntilMs = clock.nowMs() + advice.validForMs
      return
    }
    this.unansweredCount++
    kept.hosts = entryHosts
    kept.validUntilMs = clock.nowMs() + FALLBACK_VALID_MS
  }

  private async _askHost (host: string, caller: string): Promise<Advice | undefined> {
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

class KeptAdvice {
  hosts: string[]
  /** Instant of the monotonic clock. */
  validUntilMs = 0
  renewal: Promise<void> | undefined

  constructor (hosts: string[]) {
    this.hosts = hosts
  }
}
