/**
 * How many engines a service should have in which data centre, and how many of
 * them may be reclaimable. Engines that are kept for good stay as they are: they
 * bear the steps alone. Reclaimable ones, which a data centre may take back all at
 * once, stand in for those that are missing, as far as the open work can use them,
 * spread so that the loss of one data centre's is the smallest share. Pure functions.
 *
 * The pattern it answers: engines that crash, are reclaimed or leave in the
 * middle of a step. More engines than the leader of the batch store can read
 * events of are no help: it loses its leadership, and every run is begun again.
 */
import type { ServiceScaling } from '../protocol/routing.js'

/** Engines of a service in one data centre, as they are now. */
export interface SuppliedPlace {
  dataCentre: string
  /** Engines kept for good that take work. */
  keptCount: number
  /** Engines kept for good that were ordered; undefined before the first order. */
  orderedKeptCount: number | undefined
  /** There were no reclaimable ones to be had lately. */
  isDry: boolean
}

export interface SupplyNeed {
  /** Items that the steps of all models ask for at once, twice over while two steps are open; undefined before a step was seen. */
  itemsCount: number | undefined
  slotsCount: number
}

export interface PlannedPlace {
  dataCentre: string
  keptCount: number
  reclaimableCount: number
}

/** Runs at a time whose events a leader reads without holding up its heartbeats. */
const MOST_RUNS_COUNT = 250

function neededCount ({ itemsCount, slotsCount }: SupplyNeed): number {
  return Math.floor(Math.min(MOST_RUNS_COUNT, itemsCount ?? MOST_RUNS_COUNT) / Math.max(1, slotsCount))
}

/** The engines that each data centre should have. */
export function planSupply (places: readonly SuppliedPlace[], { maxCount, minCount, reclaimablePrice }: ServiceScaling, need: SupplyNeed): PlannedPlace[] {
  const planned = places.map(({ dataCentre, keptCount, orderedKeptCount }) => {
    const wantedCount = Math.min(maxCount, Math.max(minCount, orderedKeptCount ?? keptCount))
    return { dataCentre, keptCount: wantedCount, reclaimableCount: 0 }
  })
  if (reclaimablePrice === undefined) return planned
  const dryNames = new Set(places.filter(({ isDry }) => isDry).map(({ dataCentre }) => dataCentre))
  const presentCount = places.reduce((sum, { keptCount }) => sum + keptCount, 0)
  for (let missingCount = neededCount(need) - presentCount; missingCount > 0; missingCount--) {
    const open = planned.filter(({ dataCentre, keptCount, reclaimableCount }) => keptCount + reclaimableCount < maxCount && !dryNames.has(dataCentre))
    const next = open.sort((left, right) => left.reclaimableCount - right.reclaimableCount)[0]
    if (!next) break
    next.reclaimableCount++
  }
  return planned
}
