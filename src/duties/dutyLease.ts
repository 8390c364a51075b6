/**
 * Whether a leader may act on a duty that its term gives it. The term is the
 * fence; what keeps two leaders from acting by turns is time (Gray and Cheriton,
 * "Leases", 1989; Kleppmann, "How to do distributed locking", 2016): a leader
 * acts only while its own lease lasts, and one that takes over from another
 * host first waits until nothing of that host can arrive any more.
 */
import type { Clock } from '../utils/clock.js'

/** The part of a leadership that a duty rests on. */
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
  /** The host that claimed the duty last, as the replicated log has it; undefined before the first. */
  latestHolder: () => string | undefined
  /** Two hosts may not act by turns within this time. */
  leaseMs: number
}

/** Clocks may run at different rates, and a call that was sent as a lease ended arrives a little later. */
const CLOCK_MARGIN_MS = 250

export class DutyLease {
  private readonly _options: DutyLeaseOptions
  private readonly _leadingSinceMs: number

  /** To be made once the leader's state holds what earlier leaders committed. */
  constructor (options: DutyLeaseOptions) {
    this._options = options
    this._leadingSinceMs = options.clock.leaseNowMs()
  }

  get fencingNumber (): number {
    return this._options.leadership.term
  }

  /** No other host acted lately: this one may claim the duty, and act once the claim is committed. */
  get mayClaim (): boolean {
    const { clock, leaseMs } = this._options
    if (!this._isLeading()) return false
    return this._isClaimed() || clock.leaseNowMs() >= this._leadingSinceMs + leaseMs + CLOCK_MARGIN_MS
  }

  /** To be asked at the last moment before anything leaves this host. */
  get mayAct (): boolean {
    return this._isLeading() && this._isClaimed()
  }

  private _isLeading (): boolean {
    const { leadership } = this._options
    return !leadership.isHandingOver && leadership.holdsLease()
  }

  /** Nobody else can have acted since: it would have claimed the duty first. */
  private _isClaimed (): boolean {
    return this._options.latestHolder() === this._options.holder
  }
}
