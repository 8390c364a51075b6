/**
 * Lets the share of requests in that the level of a service allows, by credit: each
 * request of a class adds the share of the class, and each one that is let in costs
 * one. So a share s lets one in of any 1/s in a row, and nobody is passed over longer.
 *
 * The load it answers: a host with twenty to sixty requests a second for a full service,
 * where a draw for each request would let in three in a row and then refuse ten.
 */
import type { ClassLevel } from './admissionLevel.js'
import type { Arrival } from './serviceFigures.js'
import type { RandomSource } from '../utils/randomSource.js'

/** Rounding errors of shares do not cost a turn. */
const CREDIT_TOLERANCE = 1e-9

export class RequestAdmission {
  private readonly _random: RandomSource
  private readonly _credits = new Map<string, number>()

  constructor (random: RandomSource) {
    this._random = random
  }

  /** Whether the request is let in. */
  isAdmitted (arrival: Arrival, level: ClassLevel): boolean {
    const share = shareOfArrival(arrival, level)
    if (share >= 1) return true
    const key = creditKey(arrival, level)
    // Hosts that begin to refuse at the same moment do not refuse in step.
    const credit = (this._credits.get(key) ?? this._random.real()) + share
    const isAdmitted = credit >= 1 - CREDIT_TOLERANCE
    this._credits.set(key, isAdmitted ? credit - 1 : credit)
    return isAdmitted
  }

  /** Forgets all credit, once the service has room again. */
  reset (): void {
    this._credits.clear()
  }
}

function shareOfArrival ({ isReturn, account }: Arrival, level: ClassLevel): number {
  const factor = (account === undefined ? undefined : level.accountFactors.get(account)) ?? level.otherAccountsFactor
  return factor * (isReturn ? level.returnsShare : level.firstTriesShare)
}

/** Named accounts have a credit of their own; all others share one, so that there are few. */
function creditKey ({ priority, account, isReturn }: Arrival, { accountFactors }: ClassLevel): string {
  const named = account !== undefined && accountFactors.has(account) ? account : ''
  return `${priority} ${isReturn} ${named}`
}
