/**
 * What one simulated run showed, counted inside its measured window.
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
  /** Of all tokens of answers that came in time. */
  sharePercent: number
  /** Tokens that came in time, of those offered. */
  servedPercent: number
}

export interface RunFigures {
  /** Tokens a second of answers that came in time. */
  goodput: number
  /** Tokens made for answers that did not come in time, of all made. */
  wastedPercent: number
  classes: Record<string, ClassFigures>
  refusals: Record<string, number>
  retries: Record<string, number>
  cacheHitPercent: number
  /** Most requests that one engine held at once. */
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
    if (this._inWindow(atMs)) this._of(name).offeredTokensCount += tokensCount
  }

  complete (name: string, startedAtMs: number, nowMs: number, tokensCount: number, inTime: boolean): void {
    if (!this._inWindow(nowMs)) return
    const counts = this._of(name)
    counts.latencies.recordValue(Math.max(1, Math.round(nowMs - startedAtMs)))
    counts.completeCount += 1
    if (inTime) counts.goodTokensCount += tokensCount
    else this.late(name, nowMs, tokensCount)
  }

  late (name: string, nowMs: number, tokensCount: number): void {
    if (this._inWindow(nowMs)) this._of(name).lateCount += 1
    this.wasted(nowMs, tokensCount)
  }

  wasted (nowMs: number, tokensCount: number): void {
    if (this._inWindow(nowMs)) this._wastedCount += tokensCount
  }

  refused (name: string, nowMs: number, reason: string): void {
    if (!this._inWindow(nowMs)) return
    this._of(name).refusedCount += 1
    this._refusals[reason] = (this._refusals[reason] ?? 0) + 1
  }

  retried (nowMs: number, reason: string): void {
    if (this._inWindow(nowMs)) this._retries[reason] = (this._retries[reason] ?? 0) + 1
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

  private _inWindow (atMs: number): boolean {
    return atMs >= this._fromMs && atMs < this._untilMs
  }

  private _of (name: string): ClassCounts {
    const counts = this._classes.get(name)
    if (!counts) throw new Error(`no class ${name}`)
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
