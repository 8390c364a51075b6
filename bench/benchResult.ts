/**
 * What a benchmark hands back, and what it is given. Every area exports one
 * `run` function; the harness prints, stores and checks what it returns.
 */

export enum BenchUnit {
  Count = 'count',
  Bytes = 'bytes',
  /** Of two readings of one run. */
  Ratio = 'ratio',
  Milliseconds = 'ms',
  Microseconds = 'us',
  PerSecond = 'per_second',
  Percent = 'percent'
}

export interface BenchResult {
  /** Dotted, the area first; bounds refer to it. */
  name: string
  value: number
  unit: BenchUnit | `${BenchUnit}`
  /** Largest minus smallest reading over the median, where it was read several times. */
  spread?: number
  /** Sizes, parameters and whatever else explains the value. */
  detail?: Record<string, unknown> | string
}

export interface BenchOptions {
  /** For workloads that draw at random. */
  seed: number
  /** Smaller sizes, for CI. */
  quick: boolean
  /** Progress lines for whoever waits. */
  report (line: string): void
}

export type BenchRun = (options: BenchOptions) => Promise<BenchResult[]>

/** The median of several readings, with their spread. */
export function median (readings: readonly number[]): { value: number, spread: number } {
  const sorted = [...readings].sort((a, b) => a - b)
  const middle = Math.floor(sorted.length / 2)
  const upper = sorted[middle] ?? 0
  const value = sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? 0) + upper) / 2
  const range = (sorted.at(-1) ?? 0) - (sorted[0] ?? 0)
  return { value, spread: value === 0 ? 0 : range / value }
}
