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

  constructor (clock: Clock) {
    this._clock = clock
  }

  get (hostId: string): LeaseHolder | undefined {
    return this._holders.get(hostId)
  }

  renewed (hostId: string, incarnation: number, revisionInForce: number, operatorAddress: string | undefined): void {
    this._holders.set(hostId, { hostId, incarnation, operatorAddress, revisionInForce, renewedAtMs: this._clock.nowMs() })
  }

  /** Whether a host may hold a lease now. */
  mayHold (hostId: string): boolean {
    const holder = this._holders.get(hostId)
    return holder !== undefined && this._clock.nowMs() < holder.renewedAtMs + CONFIGURATION_LEASE_MS
  }

  forget (hostId: string): void {
    this._holders.delete(hostId)
  }

  clear (): void {
    this._holders.clear()
  }
}
