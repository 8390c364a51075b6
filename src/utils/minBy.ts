/** The first value with the lowest finite cost; undefined if there is none. */
export function minBy<T> (values: readonly T[], costOf: (value: T) => number): T | undefined {
  let best: T | undefined
  let lowestCost = Number.POSITIVE_INFINITY
  for (const value of values) {
    const cost = costOf(value)
    if (cost >= lowestCost) continue
    best = value
    lowestCost = cost
  }
  return best
}
