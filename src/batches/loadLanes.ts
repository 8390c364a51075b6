/**
 * How many engines may load weights at once. A weight store feeds a few loads
 * at full speed; past that each one only takes longer, and all engines get
 * their weights late together. How many it feeds is not told, so it is found
 * from how long loads take: the number grows while as many as allowed take no
 * longer than a single load, and falls back to what the stretch says as soon as
 * they do. Measured with a store that feeds two: 0.9 s for the first and second
 * load, 1.4 s for a third beside them, 1.8 s for a fourth. Before a store that
 * feeds nine it was seen to settle at seven, three and a half times what a fixed
 * two would renew.
 */
import type { Clock } from '../utils/clock.js'

/** What the first leader begins with: one would leave the store idle in every deployment that was measured. */
const FIRST_LANES_COUNT = 2
/** Until a load was seen: 0.9 s by the sheets of all deployments, and 0.1 s until its end shows in a report. */
const ASSUMED_LOAD_MS = 1_000
/** Loads that differ by less ran at full speed: reports show an end up to 150 ms late. */
const FULL_SPEED_RATIO = 1.2
/** Loads that took this much longer held each other up. */
const STRETCHED_RATIO = 1.3
/** So many in a row, on different engines, before a number is given up: a slow engine, or an end that shows late, says nothing of the store. */
const STRETCHED_LOADS_COUNT = 2
/** The shortest load that was seen, too, may have shown late by one look at a report. */
const CLEAR_STRETCH_SLACK = 1.05
/** So many loads at full speed prove a number: one that begins last may find that another has just ended, before a report shows it. Reasoned, not varied. */
const FULL_SPEED_LOADS_COUNT = 2
/** After a stretch, nothing more is tried for so long, and twice as long after each further one: a try costs one load half a second. */
const FIRST_RETRY_AFTER_MS = 5_000
const MAX_RETRY_AFTER_MS = 60_000

/** One load, from its order to its end. */
export interface TimedLoad {
  engineId: string
  startedAtMs: number
  /** Loads under way when it began, itself among them. */
  besideCount: number
  /** Most of them at any moment until it ended. */
  mostCount: number
}

export class LoadLanes {
  private readonly _clock: Clock
  private readonly _underWay = new Set<TimedLoad>()
  private _lanesCount: number
  private _shortestMs: number | undefined
  /** Lanes that loads were seen to fill at full speed. */
  private _provenCount: number
  private _mayTryAtMs = Number.NEGATIVE_INFINITY
  private _retryAfterMs = FIRST_RETRY_AFTER_MS
  private _fullSpeedCount = 0
  /** Loads that the store fed, by each engine whose load was stretched since the last one at full speed. */
  private readonly _fedCounts = new Map<string, number>()

  /** @param provenCount loads at a time that an earlier leader saw the store feed */
  constructor (clock: Clock, provenCount = FIRST_LANES_COUNT) {
    this._clock = clock
    this._lanesCount = provenCount
    this._provenCount = provenCount
  }

  get lanesCount (): number {
    return this._lanesCount
  }

  /** Loads at a time that the store was seen to feed. */
  get provenCount (): number {
    return this._provenCount
  }

  get isFull (): boolean {
    return this._underWay.size >= this._lanesCount
  }

  /** Time that a load takes at full speed. */
  get loadMs (): number {
    return this._shortestMs ?? ASSUMED_LOAD_MS
  }

  begin (engineId: string): TimedLoad {
    const besideCount = this._underWay.size + 1
    const load = { engineId, startedAtMs: this._clock.nowMs(), besideCount, mostCount: besideCount }
    this._underWay.add(load)
    for (const other of this._underWay) other.mostCount = Math.max(other.mostCount, besideCount)
    return load
  }

  /** @param isLoaded the engine holds the version; other loads say nothing of their time */
  end (load: TimedLoad, isLoaded: boolean): void {
    this._underWay.delete(load)
    if (isLoaded) this._learn(load, this._clock.nowMs() - load.startedAtMs)
  }

  private _learn ({ engineId, besideCount, mostCount }: TimedLoad, durationMs: number): void {
    this._shortestMs = Math.min(this._shortestMs ?? durationMs, durationMs)
    const ratio = durationMs / this._shortestMs
    // A load that was alone was held up by its engine, not by others.
    if (ratio > STRETCHED_RATIO && mostCount > 1) return this._noteStretch(engineId, mostCount / ratio, besideCount)
    const isBeyondProven = besideCount > this._provenCount || besideCount >= this._lanesCount
    if (ratio > FULL_SPEED_RATIO || !isBeyondProven) return
    this._fedCounts.clear()
    this._noteFullSpeed()
  }

  private _noteStretch (engineId: string, fedCount: number, besideCount: number): void {
    this._fedCounts.set(engineId, fedCount)
    const isBeyondProven = besideCount > this._provenCount
    // Ends show late, never early: a load that is stretched less was not held up by a store at its proven limit.
    const isClear = isBeyondProven && fedCount <= CLEAR_STRETCH_SLACK * this._provenCount
    if (!isClear && this._fedCounts.size < STRETCHED_LOADS_COUNT) return
    this._fallBack(isBeyondProven ? this._provenCount : Math.max(1, Math.round(Math.max(...this._fedCounts.values()))))
  }

  private _fallBack (lanesCount: number): void {
    this._fullSpeedCount = 0
    this._lanesCount = Math.min(this._lanesCount, lanesCount)
    this._provenCount = this._lanesCount
    this._fedCounts.clear()
    this._mayTryAtMs = this._clock.nowMs() + this._retryAfterMs
    this._retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, 2 * this._retryAfterMs)
  }

  /** Half as many again until the first stretch, so that a large number is found in seconds; one more from then on. */
  private _noteFullSpeed (): void {
    this._fullSpeedCount++
    if (this._fullSpeedCount < FULL_SPEED_LOADS_COUNT || this._clock.nowMs() < this._mayTryAtMs) return
    this._fullSpeedCount = 0
    this._provenCount = this._lanesCount
    this._lanesCount += this._retryAfterMs > FIRST_RETRY_AFTER_MS ? 1 : Math.ceil(this._lanesCount / 2)
  }
}
