/**
 * Decides whether a leader may perform a duty. The term serves as the fencing
 * number; leases keep two leaders from acting alternately (Gray and Cheriton,
 * "Leases", 1989; Kleppmann, "How to do distributed locking", 2016): a leader acts
 * only while its own lease lasts, and a leader that takes over from another host
 * first waits until no call of that host can arrive any more.
 */
import type { Clock } from '../utils/clock.js'

/** The part of a leadership that a duty depends on. */
export interface LeaderTerm {
  readonly term: number
  readonly isHandingOver: boolean
  holdsLease: () => boolean
}

export interface DutyLeaseOptions {
  clock: Clock
  leadership: LeaderTerm
  /** Name of this host. */
  holder: string
  /** The host that claimed the duty last, according to the replicated log; undefined before the first claim. */
  latestHolder: () => string | undefined
  /** Two hosts may not act alternately within this time. */
  leaseMs: number
}

/** Added to the lease: clocks may run at different rates, and a call that was sent just before a lease ended arrives a little later. */
const CLOCK_MARGIN_MS = 250

export class DutyLease {
  private readonly _options: DutyLeaseOptions
  private readonly _leadingSinceMs: number

  /** Must be created only after the leader has applied everything that earlier leaders committed. */
  constructor (options: DutyLeaseOptions) {
    this._options = options
    this._leadingSinceMs = options.clock.leaseNowMs()
  }

  get fencingNumber (): number {
    return this._options.leadership.term
  }

  /** Whether no other host can have acted recently, so that this host may claim the duty; it may act once the claim is committed. */
  get mayClaim (): boolean {
    const { clock, leaseMs } = this._options
    if (!this._isLeading()) return false
    return this._isClaimed() || clock.leaseNowMs() >= this._leadingSinceMs + leaseMs + CLOCK_MARGIN_MS
  }

  /** Must be checked immediately before anything is sent. */
  get mayAct (): boolean {
    return this._isLeading() && this._isClaimed()
  }

  private _isLeading (): boolean {
    const { leadership } = this._options
    return !leadership.isHandingOver && leadership.holdsLease()
  }

  /** Whether the last claim is of this host. No other host can have acted since: it would have had to claim the duty first. */
  private _isClaimed (): boolean {
    return this._options.latestHolder() === this._options.holder
  }
}
