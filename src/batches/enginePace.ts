/**
 * How fast an engine makes events. What an engine is by nature lasts as long
 * as its incarnation; what slows it for a while passes. The two are told apart
 * by their time: the natural pace is that of the engine's better seconds over
 * the last minute, the present one that of the last few hundred milliseconds.
 *
 * It buys the choice of an engine that was idle for a while: without a memory
 * of its nature, an engine that needs 48 ms for an event where others need 38
 * counts as an average one whenever it rests, and gets the longest sample,
 * which then ends 1.8 s later (187 events).
 */
import type { Clock } from '../utils/clock.js'

/** Weight of a new gap in the running mean: twenty gaps, 70 ms of an engine with eleven runs. */
const GAP_WEIGHT = 0.05
/** Fewer gaps say little: events may be read together, or one after a lost packet. */
const MIN_PRESENT_GAPS_COUNT = 4
/** A present pace that was not renewed for so long is over: passing slowness lasts some seconds. */
const PRESENT_LIFETIME_MS = 4_000
/** Gaps are averaged over a second: long enough that one held-up packet does not count, short against a passing slowness. */
const BUCKET_MS = 1_000
/** A second with fewer gaps says little of the pace. */
const MIN_BUCKET_GAPS_COUNT = 8
/** Seconds that are remembered; a passing slowness lasts for less than the better part of them. */
const MAX_BUCKETS_COUNT = 60
/** The natural pace is the one that this share of the remembered seconds stays under: low, since slowness only adds. */
const NATURAL_QUANTILE = 0.2

/** An engine that is this much slower than its nature is slowed; a full batch alone makes it 1.13 times slower (37 and 42 ms an event). */
const SLOWED_RATIO = 1.3

interface Bucket {
  endsAtMs: number
  sumMs: number
  count: number
}

export class EnginePace {
  private readonly _clock: Clock
  private _presentMs: number | undefined
  /** Gaps in a row that the present pace rests on. */
  private _presentGapsCount = 0
  private _presentAtMs = Number.NEGATIVE_INFINITY
  private _bucket: Bucket | undefined
  /** Mean gap of each remembered second, the oldest first. */
  private readonly _means: number[] = []
  private _naturalMs: number | undefined

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Time from one event of a run to its next. */
  sawGap (gapMs: number): void {
    if (this._isPresentOver()) this._presentGapsCount = 0
    this._presentGapsCount++
    // A plain mean until it rests on as many gaps as the running mean remembers.
    const weight = Math.max(GAP_WEIGHT, 1 / this._presentGapsCount)
    this._presentMs = this._presentMs === undefined ? gapMs : this._presentMs + weight * (gapMs - this._presentMs)
    this._presentAtMs = this._clock.nowMs()
    this._addToBucket(gapMs)
  }

  /** Mean time between two events of a run; undefined when none was seen lately. */
  get presentGapMs (): number | undefined {
    if (this._isPresentOver() || this._presentGapsCount < MIN_PRESENT_GAPS_COUNT) return undefined
    return this._presentMs
  }

  /** The same while nothing slows the engine down; undefined until a second of its events was seen. */
  get naturalGapMs (): number | undefined {
    return this._naturalMs
  }

  /** What to expect of the next run; undefined when nothing is known. */
  get expectedGapMs (): number | undefined {
    return this.presentGapMs ?? this._naturalMs ?? this._presentMs
  }

  /**
   * It was slower than its nature when it was last seen, which is a while ago:
   * whether that has passed shows in a single run, and only there.
   */
  get isInDoubt (): boolean {
    if (!this._isPresentOver() || this._presentMs === undefined) return false
    return this._naturalMs === undefined || this._presentMs > SLOWED_RATIO * this._naturalMs
  }

  private _isPresentOver (): boolean {
    return this._clock.nowMs() - this._presentAtMs >= PRESENT_LIFETIME_MS
  }

  private _addToBucket (gapMs: number): void {
    const nowMs = this._clock.nowMs()
    if (this._bucket && nowMs >= this._bucket.endsAtMs) this._closeBucket(this._bucket)
    this._bucket ??= { endsAtMs: nowMs + BUCKET_MS, sumMs: 0, count: 0 }
    this._bucket.sumMs += gapMs
    this._bucket.count++
  }

  private _closeBucket ({ sumMs, count }: Bucket): void {
    this._bucket = undefined
    if (count < MIN_BUCKET_GAPS_COUNT) return
    this._means.push(sumMs / count)
    if (this._means.length > MAX_BUCKETS_COUNT) this._means.shift()
    const sorted = [...this._means].sort((left, right) => left - right)
    this._naturalMs = sorted[Math.floor(NATURAL_QUANTILE * sorted.length)]
  }
}
