/**
 * Weighted fair queueing between priority classes (start-time fair queueing,
 * Goyal, Vin and Cheng 1996): each class has a virtual time that advances by
 * the tokens it was given, divided by its share, and the class with the lowest
 * virtual time is served next. A class that was idle continues at the lowest
 * virtual time of the others, minus a small credit. Without the credit, a class
 * that sends one request at a time and uses less than its share would wait for
 * the other classes after each request. The start time of the work served last
 * is not used as the reference, because a class with a higher virtual time may
 * be served first if its endpoint is free.
 *
 * The shares follow from the paid weights, raised where needed to the
 * guaranteed share of a class. This replaces ageing by waiting time: the
 * virtual time of the lowest class falls behind while the others are served, so
 * it is served after a bounded amount of their work.
 */
import type { PriorityClassSpec } from '../../protocol/resources.js'

export interface ClassWeight {
  className: string
  /** Fraction of the endpoints when all classes have work, in (0, 1]. */
  share: number
}

interface ClassConfiguration {
  className: string
  spec: PriorityClassSpec
}

/**
 * Shares in proportion to the paid weights, none below its guaranteed percentage; they add up to 1.
 * Guaranteed percentages that add up to more than 100 are scaled down.
 */
export function classShares (classes: ClassConfiguration[]): Map<string, number> {
  const guaranteedTotal = sum(classes.map(({ spec }) => spec.minSharePercent)) / 100
  const scale = guaranteedTotal > 1 ? 1 / guaranteedTotal : 1
  const minShareOf = ({ spec }: ClassConfiguration): number => spec.minSharePercent / 100 * scale
  const shares = new Map<string, number>()
  let unassigned = [...classes]
  while (unassigned.length > 0) {
    const remainingShare = 1 - sum([...shares.values()])
    const paidTotal = sum(unassigned.map(({ spec }) => spec.paidWeight))
    const shareOf = ({ spec }: ClassConfiguration): number => remainingShare * spec.paidWeight / paidTotal
    const belowMinimum = unassigned.filter(candidate => shareOf(candidate) < minShareOf(candidate))
    const assigned = belowMinimum.length > 0 ? belowMinimum : unassigned
    const values = assigned.map(candidate => belowMinimum.length > 0 ? minShareOf(candidate) : shareOf(candidate))
    assigned.forEach((candidate, index) => shares.set(candidate.className, values[index] ?? 0))
    unassigned = unassigned.filter(candidate => !assigned.includes(candidate))
  }
  return shares
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Credit of a class that was idle: its share of this many tokens. */
const IDLE_CREDIT_TOKENS = 4000
const MIN_SHARE = 1e-6

/** The virtual times of the classes at one pool. */
export class FairShare {
  private _shares = new Map<string, number>()
  private readonly _virtualTimes = new Map<string, number>()
  private _latestStartTime = 0

  setShares (shares: Map<string, number>): void {
    this._shares = shares
  }

  shareOf (className: string): number {
    return Math.max(MIN_SHARE, this._shares.get(className) ?? 0)
  }

  /**
   * Must be called when an idle class gets work.
   * @param others the classes that have work already
   */
  activate (className: string, others: string[]): void {
    const lowestVirtualTime = others.length > 0 ? Math.min(...others.map(name => this._virtualTimeOf(name))) : this._latestStartTime
    this._virtualTimes.set(className, Math.max(this._virtualTimeOf(className), lowestVirtualTime - IDLE_CREDIT_TOKENS))
  }

  /** Charges a class for the expected tokens of work that starts. */
  charge (className: string, tokensCount: number): void {
    const startTime = this._virtualTimeOf(className)
    this._latestStartTime = Math.max(this._latestStartTime, startTime)
    this._virtualTimes.set(className, startTime + tokensCount / this.shareOf(className))
  }

  /** Adjusts an earlier charge by the difference between the actual and the expected tokens. */
  correct (className: string, tokensCount: number): void {
    this._virtualTimes.set(className, this._virtualTimeOf(className) + tokensCount / this.shareOf(className))
  }

  /** The given classes, the one to be served next first. */
  inServiceOrder (classNames: string[]): string[] {
    return [...classNames].sort((a, b) => this._virtualTimeOf(a) - this._virtualTimeOf(b) || this.shareOf(b) - this.shareOf(a))
  }

  /** Whether no class has a larger share, and at least one class has a smaller share. */
  isBestPaid (className: string): boolean {
    const shares = [...this._shares.values()]
    const share = this.shareOf(className)
    return share >= Math.max(...shares) && share > Math.min(...shares)
  }

  private _virtualTimeOf (className: string): number {
    return this._virtualTimes.get(className) ?? 0
  }
}
