/**
 * Statistics of a set of requests: latency histograms and counts by outcome.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import type { RequestOutcome } from './requestOutcome.js'
import type { Latency, SeriesReport } from './report.js'

/** Histograms count microseconds. */
const US_PER_MS = 1_000
const MAX_TRACKABLE_US = 60 * 60 * 1_000 * US_PER_MS
const MS_PER_SECOND = 1_000
const DISTRIBUTION_QUANTILES = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999, 1]

export class LatencyHistogram {
  private readonly _histogram: Histogram

  /** @param significantDigits precision of recorded values; each further digit takes ten times the memory */
  constructor (significantDigits: 2 | 3) {
    this._histogram = build({
      bitBucketSize: 32,
      highestTrackableValue: MAX_TRACKABLE_US,
      numberOfSignificantValueDigits: significantDigits
    })
  }

  record (valueMs: number): void {
    this._histogram.recordValue(Math.min(MAX_TRACKABLE_US, Math.max(1, Math.round(valueMs * US_PER_MS))))
  }

  quantileMs (quantile: number): number {
    return this._histogram.getValueAtPercentile(quantile * 100) / US_PER_MS
  }

  /** Null if nothing was recorded. */
  summary (): Latency | null {
    if (this._histogram.totalCount === 0) return null
    return {
      meanMs: this._histogram.mean / US_PER_MS,
      p50Ms: this.quantileMs(0.5),
      p90Ms: this.quantileMs(0.9),
      p99Ms: this.quantileMs(0.99),
      p999Ms: this.quantileMs(0.999),
      maxMs: this._histogram.maxValue / US_PER_MS
    }
  }

  distribution (): Array<{ quantile: number, valueMs: number }> {
    if (this._histogram.totalCount === 0) return []
    return DISTRIBUTION_QUANTILES.map(quantile => ({ quantile, valueMs: this.quantileMs(quantile) }))
  }
}

export class Series {
  readonly name: string
  private readonly _latency = new LatencyHistogram(3)
  private readonly _firstByte = new LatencyHistogram(3)
  private readonly _refusals: Record<string, number> = {}
  private _sentCount = 0
  private _wholeCount = 0
  private _inTimeCount = 0
  private _lostCount = 0
  private _triesCount = 0
  private _tokensCount = 0

  constructor (name: string) {
    this.name = name
  }

  get wholeCount (): number {
    return this._wholeCount
  }

  add (outcome: RequestOutcome): void {
    this._sentCount++
    this._triesCount += outcome.triesCount
    const { last, planned, endedAtMs } = outcome
    switch (last.kind) {
      case 'whole':
        this._wholeCount++
        if (endedAtMs <= planned.deadlineMs) this._inTimeCount++
        this._tokensCount += last.tokensCount
        this._latency.record(endedAtMs - planned.intendedAtMs)
        this._firstByte.record(last.firstByteAtMs - planned.intendedAtMs)
        return
      case 'refused': {
        const key = `${last.refusal.reason} (executed: ${last.refusal.executed})`
        this._refusals[key] = (this._refusals[key] ?? 0) + 1
        return
      }
      case 'lost':
        this._lostCount++
        break
      case 'broken':
    }
  }

  /**
   * @param measuredMs duration of the run without its warm-up
   * @param allWholeCount complete answers of all series, from which `sharePercent` is computed
   */
  report (measuredMs: number, allWholeCount: number): SeriesReport {
    const perSecond = (value: number): number => value * MS_PER_SECOND / measuredMs
    return {
      name: this.name,
      sentCount: this._sentCount,
      wholeCount: this._wholeCount,
      goodputPerSecond: perSecond(this._inTimeCount),
      tokensPerSecond: perSecond(this._tokensCount),
      lostCount: this._lostCount,
      triesCount: this._triesCount,
      refusals: this._refusals,
      sharePercent: allWholeCount === 0 ? 0 : 100 * this._wholeCount / allWholeCount,
      latency: this._latency.summary(),
      firstByte: this._firstByte.summary(),
      distribution: this._latency.distribution()
    }
  }
}
