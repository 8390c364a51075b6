/** For an even number of values, the mean of the two middle ones; 0 if there are none. */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  const middle = sorted.length / 2
  const [low = 0, high = 0] = [sorted[Math.ceil(middle) - 1], sorted[Math.floor(middle)]]
  return (low + high) / 2
}
