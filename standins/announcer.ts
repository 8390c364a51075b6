/**
 * Announces an endpoint to entry hosts: first to one of the hosts named in the
 * settings, then to the hosts that the replies name.
 */
import { request } from 'undici'
import { announcementReplySchema, type Announcement, type AnnouncementReply } from '../src/protocol/endpoints.js'
import { callerPaths } from '../src/protocol/callers.js'
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import type { Scope } from '../src/utils/scope.js'

export type AnnouncementBody = Omit<Announcement, 'sequence'>

export interface AnnouncerOptions {
  clock: Clock
  /** `ip:port` of the entry hosts that are tried until a reply names others. */
  entryHosts: string[]
  intervalMs: number
  /** Returns the current state to announce; called for each announcement. */
  describe: () => AnnouncementBody
}

const MAX_TARGETS = 2
const REQUEST_TIMEOUT_MS = 2_000
/** Part of the remaining lease after which the endpoint announces itself again. */
const LEASE_SHARE = 1 / 3

export class Announcer {
  private readonly _options: AnnouncerOptions
  private _targets: string[] = []
  private _sequence = 0
  private _seedIndex = 0

  constructor (options: AnnouncerOptions) {
    this._options = options
  }

  /** Hosts that receive the next announcement; empty if none accepted the last one. */
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

  /** Announces once to every current target; undefined if none accepted it. */
  async announce (): Promise<AnnouncementReply | undefined> {
    const body = { ...this._options.describe(), sequence: ++this._sequence }
    const targets = this._targets.length > 0 ? this._targets : [this._nextSeedHost()]
    const replies = await Promise.all(targets.map(target => post(target, body)))
    const reply = replies.find(candidate => candidate !== undefined)
    const namedHosts = reply?.announceTo.slice(0, MAX_TARGETS) ?? []
    this._targets = namedHosts.length > 0 ? namedHosts : reply ? targets : []
    return reply
  }

  private _nextSeedHost (): string {
    const { entryHosts } = this._options
    const seed = entryHosts[this._seedIndex % entryHosts.length]
    this._seedIndex++
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
