/**
 * Announces an endpoint to entry hosts: first to any of the hosts named in
 * its settings, then to those that the replies name.
 */
import { request } from 'undici'
import { announcementReplySchema, type Announcement, type AnnouncementReply } from '../src/protocol/endpoints.js'
import { callerPaths } from '../src/protocol/callers.js'
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import type { Scope } from '../src/utils/scope.js'

export type AnnouncementBody = Omit<Announcement, 'sequence'>

export interface AnnouncerOptions {
  clock: Clock
  /** `ip:port` of entry hosts to begin with. */
  entryHosts: string[]
  intervalMs: number
  /** What to announce, asked anew each time. */
  describe: () => AnnouncementBody
}

const MAX_TARGETS = 2
const REQUEST_TIMEOUT_MS = 2_000
const LEASE_SHARE = 1 / 3

export class Announcer {
  private readonly _options: AnnouncerOptions
  private _targets: string[] = []
  private _sequence = 0
  private _nextSeed = 0

  constructor (options: AnnouncerOptions) {
    this._options = options
  }

  /** Hosts that took the last announcement. */
  get targets (): readonly string[] {
    return this._targets
  }

  /** Announces until the scope closes. */
  async run (scope: Scope): Promise<void> {
    const { clock, intervalMs } = this._options
    for (;;) {
      const reply = await scope.race(this.announce())
      const pauseMs = reply ? Math.min(intervalMs, reply.leaseRemainingMs * LEASE_SHARE) : intervalMs
      await sleepUntil(clock, scope, clock.nowMs() + pauseMs)
    }
  }

  /** Announces once to every present target; undefined when none took it. */
  async announce (): Promise<AnnouncementReply | undefined> {
    const body = { ...this._options.describe(), sequence: ++this._sequence }
    const targets = this._targets.length > 0 ? this._targets : [this._takeSeed()]
    const replies = await Promise.all(targets.map(target => post(target, body)))
    const reply = replies.find(candidate => candidate !== undefined)
    const named = reply?.announceTo.slice(0, MAX_TARGETS) ?? []
    this._targets = named.length > 0 ? named : reply ? targets : []
    return reply
  }

  private _takeSeed (): string {
    const { entryHosts } = this._options
    const seed = entryHosts[this._nextSeed % entryHosts.length]
    this._nextSeed++
    if (seed === undefined) throw new Error('an announcer needs at least one entry host')
    return seed
  }
}

async function post (target: string, body: Announcement): Promise<AnnouncementReply | undefined> {
  try {
    const answer = await request(`http://${target}${callerPaths.announce}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS)
    })
    const parsed = announcementReplySchema.safeParse(await answer.body.json())
    return answer.statusCode === 200 && parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
