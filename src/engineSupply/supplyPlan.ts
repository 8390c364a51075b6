/**
 * Plans how many engines a service should have in each data centre, and how many
 * of these are reclaimable. The number of permanent engines stays as ordered: these can
 * carry the steps alone. Reclaimable engines, which a data centre may take back all at
 * once, replace missing engines as far as the open work can use them, spread so that
 * each data centre accounts for the smallest possible share. Pure functions.
 *
 * The plan covers engines that crash, are reclaimed or leave in the middle of a step. The
 * total is limited to the engines whose events the leader of the batch store can read: with
 * more engines this leader loses its leadership, and every run is started again.
 */
import type { ServiceScaling } from '../protocol/routing.js'

/** Current engines of a service in one data centre. */
export interface DataCentreSupply {
  dataCentre: string
  /** Engines that are not reclaimable and accept work. */
  permanentCount: number
  /** Number of permanent engines ordered last; undefined before the first order. */
  orderedPermanentCount: number | undefined
  /** Whether the data centre recently had no reclaimable engines available. */
  isOutOfCapacity: boolean
}

export interface SupplyNeed {
  /** Items that the steps of all models need at once, doubled while two steps are open; undefined until a step was seen. */
  itemsCount: number | undefined
  slotsCount: number
}

export interface PlannedSupply {
  dataCentre: string
  permanentCount: number
  reclaimableCount: number
}

/** Number of concurrent runs whose events a leader can read without delaying its heartbeats. */
const MAX_CONCURRENT_RUNS_COUNT = 250

function neededEnginesCount ({ itemsCount, slotsCount }: SupplyNeed): number {
  return Math.floor(Math.min(MAX_CONCURRENT_RUNS_COUNT, itemsCount ?? MAX_CONCURRENT_RUNS_COUNT) / Math.max(1, slotsCount))
}

/** Returns the number of engines that each data centre should have. */
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
