/**
 * Tells the leader's log why a replica that asks to join isn't taken in. It
 * asks several times a second, so each reason is told once, and again from
 * time to time while the replica asks on.
 */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { Member } from './members.js'
import type { MembershipOutcome } from './membershipChanges.js'

/** Rare enough for a log, often enough to show that it goes on. */
const REPEAT_INTERVAL_MS = 10_000
/** Several newcomers at once wait for each other; a change of members takes some round trips and syncs, far less than this. */
const BUSY_LOG_DELAY_MS = 2_000
/** Replicas that asked last; several times the members that there can be. */
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

  note ({ hostId, replicaId }: Omit<Member, 'role'>, outcome: MembershipOutcome, membersCount: number): void {
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
