/**
 * Demand of each trained model on the engines, as observed by the leader of the
 * batch store: how often its trainer names a version, how many versions behind a
 * step may be, how many items a step has, and the length of the longest sample.
 */
import type { SubmissionHead } from '../protocol/batches.js'
import type { Clock } from '../utils/clock.js'
import { LengthSpread } from './lengthForecast.js'

/** Staleness assumed until steps show otherwise: trainers that train on the previous step. */
const ASSUMED_STALENESS_VERSIONS = 1
/** Steps over which the staleness is taken: the first steps of a job allow less, because there is no older version. */
const STALENESS_WINDOW_STEPS = 3

/** Steps whose samples are complete before the longest of them bounds what is expected of others: short samples finish first. */
const MIN_COMPLETE_STEPS_COUNT = 2

/** Named versions over which the interval is averaged, so that a single late version has little effect. */
const INTERVAL_WINDOW_NAMINGS = 4

interface NamedVersion {
  version: number
  atMs: number
}

interface Demand {
  namedVersion: number
  namings: NamedVersion[]
  stalenesses: number[]
  stepItemsCount: number | undefined
  samplesCount: number
  /** Events of all complete samples. */
  eventsCount: number
  longestEventsCount: number
  lengthSpread: LengthSpread
}

export class ModelDemand {
  private readonly _clock: Clock
  private readonly _demands = new Map<string, Demand>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Records the newest version that a trainer has named; may be called repeatedly with the same version. */
  recordNamedVersion (model: string, version: number): void {
    const demand = this._demandOf(model, version)
    if (version <= demand.namedVersion) return
    demand.namedVersion = version
    demand.namings.push({ version, atMs: this._clock.nowMs() })
    if (demand.namings.length > INTERVAL_WINDOW_NAMINGS) demand.namings.shift()
  }

  /** Records a submitted step and the newest version at that time. */
  recordStep ({ model, minVersion, itemsCount }: SubmissionHead, namedVersion: number): void {
    const demand = this._demandOf(model, namedVersion)
    demand.stepItemsCount = itemsCount
    demand.stalenesses.push(Math.max(0, namedVersion - minVersion))
    if (demand.stalenesses.length > STALENESS_WINDOW_STEPS) demand.stalenesses.shift()
  }

  /**
   * Records the length of a complete sample.
   *
   * @param hintedCount its length in events by the submitter's hint, if it has one
   */
  recordSample (model: string, eventsCount: number, hintedCount?: number): void {
    const demand = this._demands.get(model)
    if (!demand) return
    demand.samplesCount++
    demand.eventsCount += eventsCount
    demand.longestEventsCount = Math.max(demand.longestEventsCount, eventsCount)
    if (hintedCount !== undefined) demand.lengthSpread.record(hintedCount, eventsCount)
  }

  /** Spread of the logarithm of lengths about their hints. */
  lengthSpread (model: string): number {
    return (this._demands.get(model)?.lengthSpread ?? new LengthSpread()).value
  }

  /** Events of the longest complete sample; 0 before the first. */
  longestEventsCount (model: string): number {
    return this._demands.get(model)?.longestEventsCount ?? 0
  }

  /** Events that no sample of the model is expected to exceed; 0 until enough samples are complete. */
  maxExpectedEventsCount (model: string): number {
    const demand = this._demands.get(model)
    return demand && hasWholeSteps(demand) ? demand.longestEventsCount : 0
  }

  /** Whether enough samples are complete that forecasts rest on more than hints. */
  hasSamples (model: string): boolean {
    const demand = this._demands.get(model)
    return demand !== undefined && hasWholeSteps(demand)
  }

  /** Mean events of a sample; undefined until enough samples are complete. */
  meanEventsCount (model: string): number | undefined {
    const demand = this._demands.get(model)
    return demand && hasWholeSteps(demand) ? demand.eventsCount / demand.samplesCount : undefined
  }

  /** How many versions behind the newest one the samples of a step may be. */
  stalenessVersions (model: string): number {
    const seen = this._demands.get(model)?.stalenesses ?? []
    return seen.length < STALENESS_WINDOW_STEPS ? Math.max(ASSUMED_STALENESS_VERSIONS, ...seen) : Math.max(...seen)
  }

  /** Mean time between two named versions; undefined until two were observed. */
  versionIntervalMs (model: string): number | undefined {
    const namings = this._demands.get(model)?.namings ?? []
    const first = namings[0]
    const last = namings.at(-1)
    if (!first || !last || first === last) return undefined
    return (last.atMs - first.atMs) / (last.version - first.version)
  }

  /** Items of the latest step; undefined before the first. */
  stepItemsCount (model: string): number | undefined {
    return this._demands.get(model)?.stepItemsCount
  }

  private _demandOf (model: string, version: number): Demand {
    let demand = this._demands.get(model)
    if (!demand) {
      demand = { namedVersion: version, namings: [], stalenesses: [], stepItemsCount: undefined, samplesCount: 0, eventsCount: 0, longestEventsCount: 0, lengthSpread: new LengthSpread() }
      this._demands.set(model, demand)
    }
    return demand
  }
}

/** Whether samples of whole steps are complete, so that the long ones are among them. */
function hasWholeSteps ({ samplesCount, stepItemsCount }: Demand): boolean {
  return stepItemsCount !== undefined && samplesCount >= MIN_COMPLETE_STEPS_COUNT * stepItemsCount
}
