/**
 * Plans how many engines a service should have in each data centre, and how many
 * of these are reclaimable. The number of permanent engines stays as ordered: these can
 * carry the steps alone. Reclaimable engines, which a data centre may take back all at
 * once, replace missing engines as far as the open work can use them, spread so that
 * each data centre accounts for the smallest possible share. Pure functions.
 *
 * The plan covers engines that crash, are reclaimed or leave in the middle of a step. What
 * the steps need follows from their work: items, mean length and pace over the interval of
 * steps, and what is open beyond what the present engines finish while others start. While
 * reclaimable engines are needed at all, as many more are ordered as one data centre can
 * take back at once. Until the work of each model is known, two steps of items count, up
 * to a number of runs at a time that any leader of the batch store bears.
 */
import type { ServiceScaling } from '../protocol/routing.js'

/** Current engines of a service in one data centre. */
export interface DataCentreSupply {
  dataCentre: string
  /** Engines that are not reclaimable and accept work. */
  permanentCount: number
  /** Number of permanent engines ordered last; undefined before the first order. */
  orderedPermanentCount: number | undefined
  /** Whether the data centre recently had no reclaimable engines available, or is taking its own back. */
  isOutOfCapacity: boolean
}

/** What the steps of one model need. */
export interface StepWork {
  itemsCount: number
  /** Mean time that an item needs on an engine. */
  itemMs: number
  /** Time between two steps. */
  intervalMs: number
}

/** What the steps of all models need. */
export interface WorkForecast {
  steps: StepWork[]
  /** Time that all open items still need, one after the other. */
  openWorkMs: number
  /** Slots of the engines that accept work. */
  presentSlotsCount: number
}

export interface SupplyNeed {
  /** Items that the steps of all models need at once, doubled while two steps are open; undefined until a step was seen. */
  itemsCount: number | undefined
  slotsCount: number
  /** Absent until samples of each model have shown how long they take. */
  forecast?: WorkForecast
}

export interface PlannedSupply {
  dataCentre: string
  permanentCount: number
  reclaimableCount: number
}

/** Concurrent runs without a forecast: as many as any leader bears, also one that runs all items itself. */
const MAX_CONCURRENT_RUNS_COUNT = 250
/** Items a second that a leader of the batch store writes with a fifth of its main thread spare, at 2.7 ms an item (docs/design/storeWork.md). Engines for more would stand idle. */
const MAX_LEADER_ITEMS_PER_SECOND = 240
/** Share of the slots that is busy on average where steps don't wait for slots: steps come all at once. */
const BUSY_SHARE = 0.75
/** Time within which open work beyond the usual is to be made up for. Engines that are ordered for less work would be given back before they paid. */
const CATCH_UP_MS = 8_000
/** Reclaimable engines are kept in reserve up to this fraction of the regular cost. */
const MAX_SPARE_PRICE = 0.5

/** Engines that the open and expected work needs. */
export function neededEnginesCount ({ itemsCount, slotsCount, forecast }: SupplyNeed, bootMs: number): number {
  const runsCount = forecast ? neededSlotsCount(forecast, bootMs) : Math.min(MAX_CONCURRENT_RUNS_COUNT, itemsCount ?? MAX_CONCURRENT_RUNS_COUNT)
  return Math.floor(runsCount / Math.max(1, slotsCount))
}

function neededSlotsCount ({ steps, openWorkMs, presentSlotsCount }: WorkForecast, bootMs: number): number {
  const busyCount = steps.reduce((sum, { itemsCount, itemMs, intervalMs }) => sum + itemsCount * itemMs / Math.max(1, intervalMs), 0)
  const itemsPerMs = steps.reduce((sum, { itemsCount, intervalMs }) => sum + itemsCount / Math.max(1, intervalMs), 0)
  const leaderShare = Math.min(1, MAX_LEADER_ITEMS_PER_SECOND / 1_000 / Math.max(Number.MIN_VALUE, itemsPerMs))
  const leftMs = Math.max(0, openWorkMs - presentSlotsCount * bootMs)
  return leaderShare * (busyCount / BUSY_SHARE + leftMs / CATCH_UP_MS)
}

/** Reclaimable engines that make up for missing ones also after one data centre has taken back all of its own. */
function withReserve (missingCount: number, dataCentresCount: number, reclaimablePrice: number): number {
  if (missingCount <= 0 || dataCentresCount < 2 || reclaimablePrice > MAX_SPARE_PRICE) return missingCount
  return missingCount + Math.ceil(missingCount / (dataCentresCount - 1))
}

/** Returns the number of engines that each data centre should have. */
export function planSupply (supplies: readonly DataCentreSupply[], { maxCount, minCount, reclaimablePrice, bootMs, prices }: ServiceScaling, need: SupplyNeed): PlannedSupply[] {
  const planned = supplies.map(({ dataCentre, permanentCount, orderedPermanentCount }) => {
    const wantedCount = Math.min(maxCount, Math.max(minCount, orderedPermanentCount ?? permanentCount))
    return { dataCentre, permanentCount: wantedCount, reclaimableCount: 0 }
  })
  if (reclaimablePrice === undefined) return planned
  const priceOf = ({ dataCentre }: PlannedSupply): number => prices[dataCentre] ?? 0
  const exhaustedDataCentres = new Set(supplies.filter(({ isOutOfCapacity }) => isOutOfCapacity).map(({ dataCentre }) => dataCentre))
  const presentCount = supplies.reduce((sum, { permanentCount }) => sum + permanentCount, 0)
  const missingCount = neededEnginesCount(need, bootMs) - presentCount
  const openCount = planned.length - exhaustedDataCentres.size
  for (let leftCount = need.forecast ? withReserve(missingCount, openCount, reclaimablePrice) : missingCount; leftCount > 0; leftCount--) {
    const open = planned.filter(({ dataCentre, permanentCount, reclaimableCount }) => permanentCount + reclaimableCount < maxCount && !exhaustedDataCentres.has(dataCentre))
    const next = open.sort((left, right) => left.reclaimableCount - right.reclaimableCount || (need.forecast ? priceOf(left) - priceOf(right) : 0))[0]
    if (!next) break
    next.reclaimableCount++
  }
  return planned
}
