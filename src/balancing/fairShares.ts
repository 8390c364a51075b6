/**
 * Max-min fairness: divides a capacity among demands so that no demand gets more
 * than it asks for, and none that is cut gets less than another.
 */

export interface Demand {
  demandPerS: number
  /** How many equal parties the demand consists of. */
  partiesCount: number
}

/** The largest rate of one party; infinite when all demands fit. */
export function fairLevelPerS (demands: readonly Demand[], capacityPerS: number): number {
  const perParty = demands.map(demand => ({ ...demand, ratePerS: demand.demandPerS / demand.partiesCount })).sort((left, right) => left.ratePerS - right.ratePerS)
  let remainingPerS = capacityPerS
  let remainingPartiesCount = perParty.reduce((sum, { partiesCount }) => sum + partiesCount, 0)
  for (const { demandPerS, partiesCount, ratePerS } of perParty) {
    if (ratePerS * remainingPartiesCount > remainingPerS) return remainingPerS / remainingPartiesCount
    remainingPerS -= demandPerS
    remainingPartiesCount -= partiesCount
  }
  return Number.POSITIVE_INFINITY
}
