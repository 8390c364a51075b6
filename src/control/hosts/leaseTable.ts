/**
 * The leader's view of the entry hosts that renew their configuration lease
 * with it: who holds one, and which revision is in force there. It is not
 * replicated; a new leader hears from every host within a renewal interval.
 */
import type { Clock } from '../../utils/clock.js'

/**
 * An accepted change is in force on a host within this time, or the host has
 * stopped to take new work. Longer than a failover, so that one costs no host
 * its lease.
 */
export const CONFIGURATION_LEASE_MS = 4_000

export interface LeaseHolder {
  hostId: string
  incarnation: number
  operatorAddress: string | undefined
  revisionInForce: number
  /** When the host asked last. */
  renewedAtMs: number
}

export class LeaseTable {
  private readonly _clock: Clock
  private readonly _holders = new Map<string, LeaseHolder>()
  private _term = 0
  private _termSinceMs = Number.NEGATIVE_INFINITY

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** When this host first acted as the leader of the present term. */
  get termSinceMs (): number {
    return this._termSinceMs
  }

  /** Forgets what was heard in an earlier term. */
  enterTerm (term: number): void {
    if (term === this._term) return
    this._term = term
    this._termSinceMs = this._clock.nowMs()
    this._holders.clear()
  }

  get (hostId: string): LeaseHolder | undefined {
    return this._holders.get(hostId)
  }

  renewed (hostId: string, incarnation: number, revisionInForce: number, operatorAddress: string | undefined): void {
    this._holders.set(hostId, { hostId, incarnation, operatorAddress, revisionInForce, renewedAtMs: this._clock.nowMs() })
  }

  /** Whether a host may hold a lease now; an earlier leader may have given it one just before. */
  mayHold (hostId: string): boolean {
    const lastGrantMs = this._holders.get(hostId)?.renewedAtMs ?? this._termSinceMs
    return this._clock.nowMs() < lastGrantMs + CONFIGURATION_LEASE_MS
  }

  forget (hostId: string): void {
    this._holders.delete(hostId)
  }
}
