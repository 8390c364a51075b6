/**
 * The leader's table of entry hosts that renew their configuration lease with it:
 * which hosts hold a lease, and which revision is in force on each. The table is not
 * replicated; a new leader receives a renewal of every host within one interval.
 */
import type { Clock } from '../../utils/clock.js'

/**
 * Within this time a committed change is in force on a host, or the host has
 * stopped accepting new work. It exceeds the duration of a failover, so that hosts
 * keep their leases through a failover.
 */
export const CONFIGURATION_LEASE_MS = 4_000

export interface LeaseHolder {
  hostId: string
  incarnation: number
  operatorAddress: string | undefined
  revisionInForce: number
  /** Time of the latest renewal. */
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

  /** When this host first acted as leader in the current term. */
  get termSinceMs (): number {
    return this._termSinceMs
  }

  /** Clears the table if the term is new. */
  enterTerm (term: number): void {
    if (term === this._term) return
    this._term = term
    this._termSinceMs = this._clock.nowMs()
    this._holders.clear()
  }

  get (hostId: string): LeaseHolder | undefined {
    return this._holders.get(hostId)
  }

  recordRenewal (hostId: string, incarnation: number, revisionInForce: number, operatorAddress: string | undefined): void {
    this._holders.set(hostId, { hostId, incarnation, operatorAddress, revisionInForce, renewedAtMs: this._clock.nowMs() })
  }

  /** Whether a host may hold a lease now. It may have got one from the previous leader just before the term began. */
  mayHold (hostId: string): boolean {
    const lastGrantMs = this._holders.get(hostId)?.renewedAtMs ?? this._termSinceMs
    return this._clock.nowMs() < lastGrantMs + CONFIGURATION_LEASE_MS
  }

  forget (hostId: string): void {
    this._holders.delete(hostId)
  }
}
