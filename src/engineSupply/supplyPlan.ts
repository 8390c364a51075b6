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
export interface DataCentreSupply {
  dataCentre: string
  /** Engines kept for good that take work. */
  permanentCount: number
  /** Engines kept for good that were ordered; undefined before the first order. */
  orderedPermanentCount: number | undefined
  /** There were no reclaimable ones to be had lately. */
  isOutOfCapacity: boolean
}

export interface SupplyNeed {
  /** Items that the steps of all models ask for at once, twice over while two steps are open; undefined before a step was seen. */
  itemsCount: number | undefined
  slotsCount: number
}

export interface PlannedSupply {
  dataCentre: string
  permanentCount: number
  reclaimableCount: number
}

/** Runs at a time whose events a leader reads without holding up its heartbeats. */
const MAX_CONCURRENT_RUNS_COUNT = 250

function neededEnginesCount ({ itemsCount, slotsCount }: SupplyNeed): number {
  return Math.floor(Math.min(MAX_CONCURRENT_RUNS_COUNT, itemsCount ?? MAX_CONCURRENT_RUNS_COUNT) / Math.max(1, slotsCount))
}

/** The engines that each data centre should have. */
export function planSupply (supplies: readonly DataCentreSupply[], { maxCount, minCount, reclaimablePrice }: ServiceScaling, need: SupplyNeed): PlannedSupply[] {
  const planned = supplies.map(({ dataCentre, permanentCount, orderedPermanentCount }) => {
    const wantedCount = Math.min(maxCount, Math.max(minCount, orderedPermanentCount ?? permanentCount))
    return { dataCentre, permanentCount: wantedCount, reclaimableCount: 0 }
  })
  if (reclaimablePrice === undefined) return planned
  const exhaustedDataCentres = new Set(supplies.filter(({ isOutOfCapacity }) => isOutOfCapacity).map(({ dataCentre }) => dataCentre))
  const presentCount = supplies.reduce((sum, { permanentCount }) => sum + permanentCount, 0)
  for (let missingCount = neededEnginesCount(need) - presentCount; missingCount > 0; missingCount--) {
    const open = planned.filter(({ dataCentre, permanentCount, reclaimableCount }) => permanentCount + reclaimableCount < maxCount && !exhaustedDataCentres.has(dataCentre))
    const next = open.sort((left, right) => left.reclaimableCount - right.reclaimableCount)[0]
    if (!next) break
    next.reclaimableCount++
  }
  return planned
}
