/**
 * Collects the figures of one simulated run within its measurement window.
 */
import * as hdr from 'hdr-histogram-js'
import type { ClassLoad } from './workload.js'

export interface ClassFigures {
  p50Ms: number
  p99Ms: number
  p999Ms: number
  completeCount: number
  lateCount: number
  refusedCount: number
  /** Share of all tokens of responses that completed in time. */
  sharePercent: number
  /** Tokens that completed in time, of those offered. */
  servedPercent: number
}

export interface RunFigures {
  /** Tokens a second of responses that completed in time. */
  goodput: number
  /** Tokens generated for responses that did not complete in time, of all tokens generated. */
  wastedPercent: number
  classes: Record<string, ClassFigures>
  refusals: Record<string, number>
  retries: Record<string, number>
  cacheHitPercent: number
  /** Highest number of requests at one engine at once. */
  peakHeldCount: number
}

interface ClassCounts {
  latencies: hdr.Histogram
  goodTokensCount: number
  offeredTokensCount: number
  completeCount: number
  lateCount: number
  refusedCount: number
}

export class Recorder {
  private readonly _fromMs: number
  private readonly _untilMs: number
  private readonly _classes = new Map<string, ClassCounts>()
  private readonly _refusals: Record<string, number> = {}
  private readonly _retries: Record<string, number> = {}
  private _wastedCount = 0

  constructor (fromMs: number, untilMs: number, loads: ClassLoad[]) {
    this._fromMs = fromMs
    this._untilMs = untilMs
    for (const { name } of loads) this._classes.set(name, emptyCounts())
  }

  offered (name: string, atMs: number, tokensCount: number): void {
    if (this._isInWindow(atMs)) this._countsOf(name).offeredTokensCount += tokensCount
  }

  complete (name: string, startedAtMs: number, nowMs: number, tokensCount: number, inTime: boolean): void {
    if (!this._isInWindow(nowMs)) return
    const counts = this._countsOf(name)
    counts.latencies.recordValue(Math.max(1, Math.round(nowMs - startedAtMs)))
    counts.completeCount += 1
    if (inTime) counts.goodTokensCount += tokensCount
    else this.late(name, nowMs, tokensCount)
  }

  late (name: string, nowMs: number, tokensCount: number): void {
    if (this._isInWindow(nowMs)) this._countsOf(name).lateCount += 1
    this.wasted(nowMs, tokensCount)
  }

  wasted (nowMs: number, tokensCount: number): void {
    if (this._isInWindow(nowMs)) this._wastedCount += tokensCount
  }

  refused (name: string, nowMs: number, reason: string): void {
    if (!this._isInWindow(nowMs)) return
    this._countsOf(name).refusedCount += 1
    this._refusals[reason] = (this._refusals[reason] ?? 0) + 1
  }

  retried (nowMs: number, reason: string): void {
    if (this._isInWindow(nowMs)) this._retries[reason] = (this._retries[reason] ?? 0) + 1
  }

  figures (cacheHitPercent: number, peakHeldCount: number): RunFigures {
    const goodCount = [...this._classes.values()].reduce((total, counts) => total + counts.goodTokensCount, 0)
    const classes = [...this._classes].map(([name, counts]) => [name, classFigures(counts, goodCount)] as const)
    return {
      goodput: goodCount / (this._untilMs - this._fromMs) * 1000,
      wastedPercent: 100 * this._wastedCount / Math.max(1, goodCount + this._wastedCount),
      classes: Object.fromEntries(classes),
      refusals: this._refusals,
      retries: this._retries,
      cacheHitPercent,
      peakHeldCount
    }
  }

  private _isInWindow (atMs: number): boolean {
    return atMs >= this._fromMs && atMs < this._untilMs
  }

  private _countsOf (name: string): ClassCounts {
    const counts = this._classes.get(name)
    if (!counts) throw new Error(`unknown priority class ${name}`)
    return counts
  }
}

function emptyCounts (): ClassCounts {
  return { latencies: hdr.build(), goodTokensCount: 0, offeredTokensCount: 0, completeCount: 0, lateCount: 0, refusedCount: 0 }
}

function classFigures (counts: ClassCounts, goodCount: number): ClassFigures {
  const { latencies, completeCount, lateCount, refusedCount } = counts
  return {
    p50Ms: latencies.getValueAtPercentile(50),
    p99Ms: latencies.getValueAtPercentile(99),
    p999Ms: latencies.getValueAtPercentile(99.9),
    completeCount,
    lateCount,
    refusedCount,
    sharePercent: 100 * counts.goodTokensCount / Math.max(1, goodCount),
    servedPercent: 100 * counts.goodTokensCount / Math.max(1, counts.offeredTokensCount)
  }
}
