/**
 * Lets the share of requests in that the level of a service allows, by credit: each
 * first try of a class adds the share of the class, and each one that is let in costs
 * one. So a share s lets one in of any 1/s in a row, and nobody is passed over longer.
 * Returns are let in at a rate instead.
 *
 * The load it answers: a host with twenty to sixty requests a second for a full service,
 * where a draw for each request would let in three in a row and then refuse ten.
 */
import type { ClassLevel } from './admissionLevel.js'
import type { Arrival } from './serviceFigures.js'
import type { Clock } from '../utils/clock.js'
import type { RandomSource } from '../utils/randomSource.js'

/** Rounding errors of shares do not cost a turn. */
const CREDIT_TOLERANCE = 1e-9
const MS_PER_S = 1_000

interface TimedCredit {
  credit: number
  atMs: number
}

export class RequestAdmission {
  private readonly _clock: Clock
  private readonly _random: RandomSource
  private readonly _credits = new Map<string, number>()
  /** Credit for returns, by priority. */
  private readonly _returnCredits = new Map<number, TimedCredit>()

  constructor (clock: Clock, random: RandomSource) {
    this._clock = clock
    this._random = random
  }

  /**
   * Whether the request is let in.
   * @param ownShare this host's part of the demand, 0 to 1
   */
  isAdmitted (arrival: Arrival, level: ClassLevel, ownShare: number): boolean {
    if (!arrival.isReturn) return this._isFirstTryAdmitted(arrival, level)
    return level.returnsPerS === Number.POSITIVE_INFINITY || this._isReturnAdmitted(arrival, level.returnsPerS * ownShare)
  }

  /** Forgets all credit, once the service has room again. */
  reset (): void {
    this._credits.clear()
    this._returnCredits.clear()
  }

  private _isFirstTryAdmitted (arrival: Arrival, level: ClassLevel): boolean {
    const share = shareOfArrival(arrival, level)
    if (share >= 1) return true
    const key = creditKey(arrival, level)
    // Hosts that begin to refuse at the same moment do not refuse in step.
    const credit = (this._credits.get(key) ?? this._random.real()) + share
    const isAdmitted = credit >= 1 - CREDIT_TOLERANCE
    this._credits.set(key, isAdmitted ? credit - 1 : credit)
    return isAdmitted
  }

  private _isReturnAdmitted ({ priority }: Arrival, ratePerS: number): boolean {
    const nowMs = this._clock.nowMs()
    const last = this._returnCredits.get(priority) ?? { credit: this._random.real(), atMs: nowMs }
    const credit = Math.min(1, last.credit + ratePerS * (nowMs - last.atMs) / MS_PER_S)
    const isAdmitted = credit >= 1 - CREDIT_TOLERANCE
    this._returnCredits.set(priority, { credit: isAdmitted ? credit - 1 : credit, atMs: nowMs })
    return isAdmitted
  }
}

function shareOfArrival ({ account }: Arrival, level: ClassLevel): number {
  const factor = (account === undefined ? undefined : level.accountFactors.get(account)) ?? level.otherAccountsFactor
  return factor * level.firstTriesShare
}

/** Named accounts have a credit of their own; all others share one, so that there are few. */
function creditKey ({ priority, account }: Arrival, { accountFactors }: ClassLevel): string {
  const named = account !== undefined && accountFactors.has(account) ? account : ''
  return `${priority} ${named}`
}
