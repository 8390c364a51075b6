/**
 * Weighted fair queueing between priority classes (start-time fair queueing,
 * Goyal, Vin and Cheng 1996): each class has a virtual time which advances by
 * the tokens it was given over its weight, and the class that is furthest
 * behind goes next. A class which comes back from idleness starts where the
 * one that is furthest behind stands, less a small credit: without it a class
 * that asks for less than its share, a request at a time, would wait for a
 * turn of the others after each request. (The start of the work last served
 * won't do as a mark: work whose endpoint is free may go before that of a
 * class further behind.)
 *
 * The weights are what the classes pay, raised where needed so that every
 * class has its guaranteed share. This takes the place of ageing by waiting
 * time: the lowest class's virtual time falls behind as the others are served,
 * so its turn comes after a bounded amount of their work.
 */
import type { PriorityClassSpec } from '../../protocol/resources.js'

export interface ClassWeight {
  className: string
  /** Share of the endpoints when all classes have work, in (0, 1]. */
  share: number
}

interface ClassTerms {
  className: string
  spec: PriorityClassSpec
}

/** Shares by paid weight, none under its guaranteed percentage; they add up to 1. */
export function classShares (classes: ClassTerms[]): Map<string, number> {
  const guaranteedTotal = sum(classes.map(({ spec }) => spec.minSharePercent)) / 100
  const scale = guaranteedTotal > 1 ? 1 / guaranteedTotal : 1
  const floorOf = ({ spec }: ClassTerms): number => spec.minSharePercent / 100 * scale
  const shares = new Map<string, number>()
  let open = [...classes]
  while (open.length > 0) {
    const left = 1 - sum([...shares.values()])
    const paidTotal = sum(open.map(({ spec }) => spec.paidWeight))
    const shareOf = ({ spec }: ClassTerms): number => left * spec.paidWeight / paidTotal
    const raised = open.filter(terms => shareOf(terms) < floorOf(terms))
    const settled = raised.length > 0 ? raised : open
    const values = settled.map(terms => raised.length > 0 ? floorOf(terms) : shareOf(terms))
    settled.forEach((terms, index) => shares.set(terms.className, values[index] ?? 0))
    open = open.filter(terms => !settled.includes(terms))
  }
  return shares
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** A class without work saves up its share of so many tokens of all classes. */
const CREDIT_TOKENS = 4000
const SMALLEST_SHARE = 1e-6

/** The virtual times of the classes at one pool. */
export class FairShare {
  private _shares = new Map<string, number>()
  private readonly _virtualTimes = new Map<string, number>()
  private _latestStart = 0

  /** Takes over shares that were changed by the operators. */
  setShares (shares: Map<string, number>): void {
    this._shares = shares
  }

  shareOf (className: string): number {
    return Math.max(SMALLEST_SHARE, this._shares.get(className) ?? 0)
  }

  /** To be called when a class that had no work gets some; the others are those that have. */
  activate (className: string, others: string[]): void {
    const current = others.length > 0 ? Math.min(...others.map(name => this._timeOf(name))) : this._latestStart
    this._virtualTimes.set(className, Math.max(this._timeOf(className), current - CREDIT_TOKENS))
  }

  /** Charges a class for work that starts. */
  charge (className: string, tokensCount: number): void {
    const startTime = this._timeOf(className)
    this._latestStart = Math.max(this._latestStart, startTime)
    this._virtualTimes.set(className, startTime + tokensCount / this.shareOf(className))
  }

  /** Corrects an earlier charge, when the work turned out longer or shorter. */
  correct (className: string, tokensCount: number): void {
    this._virtualTimes.set(className, this._timeOf(className) + tokensCount / this.shareOf(className))
  }

  /** The given classes, the one whose turn it is first. */
  inTurn (classNames: string[]): string[] {
    return [...classNames].sort((a, b) => this._timeOf(a) - this._timeOf(b) || this.shareOf(b) - this.shareOf(a))
  }

  /** Whether a class gets more than some other, and none gets more than it. */
  isBestPaid (className: string): boolean {
    const shares = [...this._shares.values()]
    const share = this.shareOf(className)
    return share >= Math.max(...shares) && share > Math.min(...shares)
  }

  private _timeOf (className: string): number {
    return this._virtualTimes.get(className) ?? 0
  }
}
