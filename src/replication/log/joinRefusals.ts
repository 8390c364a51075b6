/**
 * Logs, at the leader, why a replica that requests to join is refused. A
 * replica repeats its request several times per second, so each reason is
 * logged once and then at intervals while the requests continue.
 */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { Member } from './members.js'
import type { MembershipOutcome } from './membershipChanges.js'

/** Interval at which a lasting refusal is logged again. */
const REPEAT_INTERVAL_MS = 10_000
/** Delay before a "busy" answer is logged: concurrent newcomers wait for each other, and a change of members takes only a few round trips and syncs. */
const BUSY_LOG_DELAY_MS = 2_000
/** Most recent requesters that are tracked; several times the maximum number of members. */
const MAX_TRACKED_REPLICAS_COUNT = 64

interface Refusal {
  reason: string
  sinceMs: number
  nextLogAtMs: number
}

export class JoinRefusals {
  private readonly _clock: Clock
  private readonly _logger: Logger
  private readonly _latest = new LRUCache<string, Refusal>({ max: MAX_TRACKED_REPLICAS_COUNT })

  constructor (clock: Clock, logger: Logger) {
    this._clock = clock
    this._logger = logger
  }

  record ({ hostId, replicaId }: Omit<Member, 'role'>, outcome: MembershipOutcome, membersCount: number): void {
    switch (outcome.kind) {
      case 'accepted':
      case 'notNeeded':
        this._latest.delete(replicaId)
        return
      case 'busy':
        return this._logRefusal(hostId, replicaId, 'another change of members is open', BUSY_LOG_DELAY_MS, membersCount)
      case 'refused':
        return this._logRefusal(hostId, replicaId, outcome.reason, 0, membersCount)
    }
  }

  private _logRefusal (hostId: string, replicaId: string, reason: string, delayMs: number, membersCount: number): void {
    const nowMs = this._clock.nowMs()
    const known = this._latest.get(replicaId)
    const refusal = known?.reason === reason ? known : { reason, sinceMs: nowMs, nextLogAtMs: nowMs + delayMs }
    this._latest.set(replicaId, refusal)
    if (nowMs < refusal.nextLogAtMs) return
    refusal.nextLogAtMs = nowMs + REPEAT_INTERVAL_MS
    this._logger.event(ReplicationEvent.JoinRefused, { hostId, replicaId, reason, forMs: nowMs - refusal.sinceMs, membersCount })
  }
}
