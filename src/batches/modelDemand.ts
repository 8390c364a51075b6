/**
 * What each trained model asks of the engines, as the leader of the batch store
 * observes it: how often its trainer names a version, how far behind that a
 * step may be, how many items a step has, and how long the longest sample was.
 */
import type { Clock } from '../utils/clock.js'
import type { SubmissionHead } from './batch.js'

/** Until a step was seen that allows more or less: trainers that train on the step before. */
const ASSUMED_STALENESS_VERSIONS = 1
/** Steps whose staleness is remembered: the first ones of a job allow less, because there is no older version. */
const REMEMBERED_STEPS_COUNT = 3

/** Namings over which the interval is taken, so that one that was late does not count for all. */
const REMEMBERED_NAMINGS_COUNT = 4

interface Naming {
  version: number
  atMs: number
}

interface Demand {
  namedVersion: number
  namings: Naming[]
  stalenesses: number[]
  stepItemsCount: number | undefined
  longestEventsCount: number
}

export class ModelDemand {
  private readonly _clock: Clock
  private readonly _demands = new Map<string, Demand>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** A trainer named this version, now or before. */
  named (model: string, version: number): void {
    const demand = this._of(model, version)
    if (version <= demand.namedVersion) return
    demand.namedVersion = version
    demand.namings.push({ version, atMs: this._clock.nowMs() })
    if (demand.namings.length > REMEMBERED_NAMINGS_COUNT) demand.namings.shift()
  }

  /** A trainer asked for a step while this version was the newest. */
  asked ({ model, minVersion, itemsCount }: SubmissionHead, namedVersion: number): void {
    const demand = this._of(model, namedVersion)
    demand.stepItemsCount = itemsCount
    demand.stalenesses.push(Math.max(0, namedVersion - minVersion))
    if (demand.stalenesses.length > REMEMBERED_STEPS_COUNT) demand.stalenesses.shift()
  }

  /** A sample was made whole, of so many events. */
  made (model: string, eventsCount: number): void {
    const demand = this._demands.get(model)
    if (demand) demand.longestEventsCount = Math.max(demand.longestEventsCount, eventsCount)
  }

  /** The longest sample that was seen; 0 before the first. */
  longestEventsCount (model: string): number {
    return this._demands.get(model)?.longestEventsCount ?? 0
  }

  /** Versions that the samples of a step may be behind the newest one. */
  stalenessVersions (model: string): number {
    const seen = this._demands.get(model)?.stalenesses ?? []
    return seen.length < REMEMBERED_STEPS_COUNT ? Math.max(ASSUMED_STALENESS_VERSIONS, ...seen) : Math.max(...seen)
  }

  /** Time between two versions; undefined until two namings were seen. */
  namingIntervalMs (model: string): number | undefined {
    const namings = this._demands.get(model)?.namings ?? []
    const first = namings[0]
    const last = namings.at(-1)
    if (!first || !last || first === last) return undefined
    return (last.atMs - first.atMs) / (last.version - first.version)
  }

  /** Items of its latest step; undefined before the first. */
  stepItemsCount (model: string): number | undefined {
    return this._demands.get(model)?.stepItemsCount
  }

  private _of (model: string, version: number): Demand {
    let demand = this._demands.get(model)
    if (!demand) {
      demand = { namedVersion: version, namings: [], stalenesses: [], stepItemsCount: undefined, longestEventsCount: 0 }
      this._demands.set(model, demand)
    }
    return demand
  }
}
