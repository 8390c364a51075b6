/**
 * How fast an engine produces events. Two estimates separate a lasting property
 * of the engine from a temporary slowdown: the baseline time per event comes from the
 * faster seconds of the last minute, the current time per event from the last few hundred
 * milliseconds.
 *
 * The baseline is needed to judge an engine that was idle. Without it, an engine
 * that needs 48 ms for an event where others need 38 ms counts as average whenever
 * it is idle, and gets the longest sample, which then ends 1.8 s later
 * (187 events).
 */
import type { Clock } from '../utils/clock.js'

/** Weight of a new gap in the running mean: the mean covers about twenty gaps, 70 ms of an engine with eleven runs. */
const GAP_WEIGHT = 0.05
/** Fewer gaps are not representative: events may be read together, or an event may follow a lost packet. */
const MIN_CURRENT_GAPS_COUNT = 4
/** The current time per event expires when no event updates it for this long. Temporary slowdowns last some seconds. */
const CURRENT_PACE_TTL_MS = 4_000
/** Gaps are averaged over a second: long enough that one delayed packet has little effect, short compared with a temporary slowdown. */
const BUCKET_MS = 1_000
/** Buckets with fewer gaps are discarded. */
const MIN_BUCKET_GAPS_COUNT = 8
/** Number of buckets kept: enough that a temporary slowdown covers only a minority of the buckets. */
const MAX_BUCKETS_COUNT = 60
/** Quantile of the bucket means that gives the baseline: low, because a slowdown only lengthens gaps. */
const BASELINE_QUANTILE = 0.2

/** An engine this many times slower than its baseline is slowed down. A full batch alone makes an engine 1.13 times slower (37 and 42 ms for an event). */
const SLOWED_RATIO = 1.3
/** Weight of a new gap in the mean that tells whether the engine is slow at the moment: about seven gaps, a round of its runs. */
const RECENT_GAP_WEIGHT = 0.25
/** Slowness shorter than this is momentary: programs that share the machine slow it for some hundred milliseconds, which costs a run less than a move. */
const MOMENT_MS = 1_000
/** How much a full batch alone slows an engine down, at most. */
const LOAD_RATIO = 1.15

interface Bucket {
  endsAtMs: number
  sumMs: number
  count: number
}

export class EnginePace {
  private readonly _clock: Clock
  private _currentMs: number | undefined
  /** Number of consecutive gaps averaged in the current time per event. */
  private _currentGapsCount = 0
  private _updatedAtMs = Number.NEGATIVE_INFINITY
  private _bucket: Bucket | undefined
  /** Mean gap of each kept bucket, oldest first. */
  private readonly _bucketMeansMs: number[] = []
  private _baselineMs: number | undefined
  /** Mean of the last few gaps. */
  private _recentMs: number | undefined
  private _slowedSinceMs: number | undefined

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Records the time between two consecutive events of a run. */
  recordGap (gapMs: number): void {
    if (this._isCurrentExpired()) this._currentGapsCount = 0
    this._currentGapsCount++
    // A plain mean until there are as many gaps as the running mean covers.
    const weight = Math.max(GAP_WEIGHT, 1 / this._currentGapsCount)
    this._currentMs = this._currentMs === undefined ? gapMs : this._currentMs + weight * (gapMs - this._currentMs)
    this._updatedAtMs = this._clock.nowMs()
    this._addToBucket(gapMs)
    this._recordSlowness(gapMs)
  }

  /** Current mean time between two events of a run; undefined without enough recent events. */
  get currentGapMs (): number | undefined {
    if (this._isCurrentExpired() || this._currentGapsCount < MIN_CURRENT_GAPS_COUNT) return undefined
    return this._currentMs
  }

  /** Mean time between two events while nothing slows the engine down; undefined until one bucket is complete. */
  get baselineGapMs (): number | undefined {
    return this._baselineMs
  }

  /** Whether the engine has been slower than its baseline for longer than a moment. */
  get isSlowed (): boolean {
    return this._slowedSinceMs !== undefined && !this._isCurrentExpired() && this._clock.nowMs() - this._slowedSinceMs >= MOMENT_MS
  }

  /** The time per event that is expected to last: momentary slowness is left out. */
  get lastingGapMs (): number | undefined {
    const currentMs = this.currentGapMs
    if (currentMs === undefined || this._baselineMs === undefined) return currentMs ?? this._baselineMs
    return this.isSlowed ? currentMs : Math.min(currentMs, LOAD_RATIO * this._baselineMs)
  }

  /** Best estimate for the next run; undefined before the first event. */
  get expectedGapMs (): number | undefined {
    return this.currentGapMs ?? this._baselineMs ?? this._currentMs
  }

  /**
   * The engine was slower than its baseline when it last ran anything, and the
   * current time per event has expired. Only another run shows whether the slowdown is over.
   */
  get needsProbe (): boolean {
    if (!this._isCurrentExpired() || this._currentMs === undefined) return false
    return this._baselineMs === undefined || this._currentMs > SLOWED_RATIO * this._baselineMs
  }

  private _isCurrentExpired (): boolean {
    return this._clock.nowMs() - this._updatedAtMs >= CURRENT_PACE_TTL_MS
  }

  private _recordSlowness (gapMs: number): void {
    this._recentMs = this._currentGapsCount === 1 || this._recentMs === undefined ? gapMs : this._recentMs + RECENT_GAP_WEIGHT * (gapMs - this._recentMs)
    const isSlow = this._baselineMs !== undefined && this._recentMs > SLOWED_RATIO * this._baselineMs
    this._slowedSinceMs = isSlow ? this._slowedSinceMs ?? this._clock.nowMs() : undefined
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
    this._bucketMeansMs.push(sumMs / count)
    if (this._bucketMeansMs.length > MAX_BUCKETS_COUNT) this._bucketMeansMs.shift()
    const sorted = [...this._bucketMeansMs].sort((left, right) => left - right)
    this._baselineMs = sorted[Math.floor(BASELINE_QUANTILE * sorted.length)]
  }
}
