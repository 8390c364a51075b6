/**
 * Adaptive limit of concurrent weight loads. A weight store sustains a few loads
 * at full speed; above that number each load only takes longer, and all engines
 * get their weights late. The store does not report the number, so it is derived
 * from load times: the limit grows while that many concurrent loads take no longer
 * than a single one, and drops to the estimate from the slowdown as soon as they
 * do. Measured with a store that sustains two: 0.9 s for the first and second
 * load, 1.4 s for a third concurrent one, 1.8 s for a fourth. With a store that
 * sustains nine, the limit settled at seven, which renews three and a half times
 * as much as a fixed two.
 */
import type { Clock } from '../utils/clock.js'

/** Limit of the first leader: one load at a time leaves the store underused in every measured deployment. */
const INITIAL_LIMIT = 2
/** Load duration assumed until a weight load has completed: 0.9 s as specified for all deployments, and 0.1 s until a report shows its end. */
const ASSUMED_LOAD_MS = 1_000
/** Weight loads whose duration is below this ratio to the shortest duration ran at full speed: reports show an end up to 150 ms late. */
const FULL_SPEED_RATIO = 1.2
/** Weight loads whose duration is above this ratio to the shortest duration slowed each other down. */
const SLOWED_RATIO = 1.3
/** Consecutive slowed loads, on different engines, before the limit drops: a slow engine or an end that is reported late says nothing about the store. */
const MIN_SLOWED_LOADS_COUNT = 2
/** Tolerance for the shortest load, whose end may have been reported late by one polling interval as well. */
const CONCLUSIVE_TOLERANCE_RATIO = 1.05
/** Loads at full speed that confirm the limit. One load is not enough: when that load started, another load may have just ended without a report that shows this end. */
const MIN_FULL_SPEED_LOADS_COUNT = 2
/** Time without an increase of the limit after a slowdown; the time doubles with each further slowdown. An increase that fails costs one load half a second. */
const INITIAL_BACKOFF_MS = 5_000
const MAX_BACKOFF_MS = 60_000

/** One load, timed from its order to its end. */
export interface TimedLoad {
  engineId: string
  startedAtMs: number
  /** Weight loads in progress when this load started, including this load. */
  concurrentAtStartCount: number
  /** Maximum of concurrent weight loads until this load ended. */
  peakConcurrentCount: number
}

export class LoadConcurrency {
  private readonly _clock: Clock
  private readonly _active = new Set<TimedLoad>()
  private _limit: number
  private _shortestMs: number | undefined
  /** Concurrent loads that have run at full speed. */
  private _sustainedCount: number
  private _increaseAllowedAtMs = Number.NEGATIVE_INFINITY
  private _backoffMs = INITIAL_BACKOFF_MS
  private _fullSpeedCount = 0
  /** Estimates of the loads that the store sustains, by the engine whose weight load was slowed; only those since the last load at full speed. */
  private readonly _sustainableCounts = new Map<string, number>()

  /** @param sustainedCount concurrent loads that the store sustained under an earlier leader */
  constructor (clock: Clock, sustainedCount = INITIAL_LIMIT) {
    this._clock = clock
    this._limit = sustainedCount
    this._sustainedCount = sustainedCount
  }

  /** The limit of concurrent loads. */
  get lanesCount (): number {
    return this._limit
  }

  /** Concurrent loads that the store has sustained at full speed. */
  get sustainedCount (): number {
    return this._sustainedCount
  }

  get isFull (): boolean {
    return this._active.size >= this._limit
  }

  /** Duration of a load at full speed. */
  get loadMs (): number {
    return this._shortestMs ?? ASSUMED_LOAD_MS
  }

  start (engineId: string): TimedLoad {
    const concurrentCount = this._active.size + 1
    const load = { engineId, startedAtMs: this._clock.nowMs(), concurrentAtStartCount: concurrentCount, peakConcurrentCount: concurrentCount }
    this._active.add(load)
    for (const other of this._active) other.peakConcurrentCount = Math.max(other.peakConcurrentCount, concurrentCount)
    return load
  }

  /** @param isLoaded the version is loaded on the engine; the durations of other loads are ignored */
  end (load: TimedLoad, isLoaded: boolean): void {
    this._active.delete(load)
    if (isLoaded) this._recordDuration(load, this._clock.nowMs() - load.startedAtMs)
  }

  private _recordDuration ({ engineId, concurrentAtStartCount, peakConcurrentCount }: TimedLoad, durationMs: number): void {
    this._shortestMs = Math.min(this._shortestMs ?? durationMs, durationMs)
    const ratio = durationMs / this._shortestMs
    // Without concurrent loads, the engine itself was slow.
    if (ratio > SLOWED_RATIO && peakConcurrentCount > 1) return this._recordSlowdown(engineId, peakConcurrentCount / ratio, concurrentAtStartCount)
    const isTestingLimit = concurrentAtStartCount > this._sustainedCount || concurrentAtStartCount >= this._limit
    if (ratio > FULL_SPEED_RATIO || !isTestingLimit) return
    this._sustainableCounts.clear()
    this._recordFullSpeed()
  }

  private _recordSlowdown (engineId: string, sustainableCount: number, concurrentAtStartCount: number): void {
    this._sustainableCounts.set(engineId, sustainableCount)
    const isAboveSustained = concurrentAtStartCount > this._sustainedCount
    // Ends are reported late, never early: a load with a smaller slowdown than a store at its sustained number of loads would cause was not limited by the store.
    const isConclusive = isAboveSustained && sustainableCount <= CONCLUSIVE_TOLERANCE_RATIO * this._sustainedCount
    if (!isConclusive && this._sustainableCounts.size < MIN_SLOWED_LOADS_COUNT) return
    this._reduceTo(isAboveSustained ? this._sustainedCount : Math.max(1, Math.round(Math.max(...this._sustainableCounts.values()))))
  }

  private _reduceTo (limit: number): void {
    this._fullSpeedCount = 0
    this._limit = Math.min(this._limit, limit)
    this._sustainedCount = this._limit
    this._sustainableCounts.clear()
    this._increaseAllowedAtMs = this._clock.nowMs() + this._backoffMs
    this._backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this._backoffMs)
  }

  /** Raises the limit by half until the first slowdown, so that a large limit is found in seconds; by one after the first slowdown. */
  private _recordFullSpeed (): void {
    this._fullSpeedCount++
    if (this._fullSpeedCount < MIN_FULL_SPEED_LOADS_COUNT || this._clock.nowMs() < this._increaseAllowedAtMs) return
    this._fullSpeedCount = 0
    this._sustainedCount = this._limit
    this._limit += this._backoffMs > INITIAL_BACKOFF_MS ? 1 : Math.ceil(this._limit / 2)
  }
}
