/**
 * How many engines a service should have in which data centre, and how many of
 * them may be reclaimable. A step ends with its longest sample, which begins at
 * once and runs fastest where few others run beside it, while an engine costs
 * little against a step that is late: so there are as many as the open and the
 * foreseen work can use. Engines that are kept for good bear a step alone;
 * reclaimable ones, which a data centre may take back all at once, come on top,
 * spread so that the loss of one data centre's is the smallest share. Pure functions.
 */
import type { ServiceScaling } from '../protocol/routing.js'

/** Engines of a service in one data centre, as they are now. */
export interface SuppliedPlace {
  dataCentre: string
  /** Engines kept for good that take work. */
  keptCount: number
  /** Engines kept for good that were ordered; undefined before the first order. */
  orderedKeptCount: number | undefined
  /** There were none to be had lately. */
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

/** Until a step was seen, and for services without steps that anyone waits for, as many as may be had. */
function neededCount ({ itemsCount, slotsCount }: SupplyNeed): number {
  return itemsCount === undefined ? Number.POSITIVE_INFINITY : Math.ceil(itemsCount / Math.max(1, slotsCount))
}

/** The engines that each data centre should have. */
export function planSupply (places: readonly SuppliedPlace[], { maxCount, minCount, reclaimablePrice }: ServiceScaling, need: SupplyNeed): PlannedPlace[] {
  const planned = places.map(({ dataCentre, keptCount, orderedKeptCount }) => {
    const wantedCount = Math.min(maxCount, Math.max(minCount, orderedKeptCount ?? keptCount))
    return { dataCentre, keptCount: wantedCount, reclaimableCount: 0 }
  })
  if (reclaimablePrice === undefined) return planned
  const hasRoom = ({ keptCount, reclaimableCount }: PlannedPlace): boolean => keptCount + reclaimableCount < maxCount
  let missingCount = neededCount(need) - planned.reduce((sum, { keptCount }) => sum + keptCount, 0)
  while (missingCount > 0) {
    const open = planned.filter(hasRoom)
    const next = open.sort((left, right) => left.reclaimableCount - right.reclaimableCount)[0]
    if (!next) break
    next.reclaimableCount++
    missingCount--
  }
  return planned
}
