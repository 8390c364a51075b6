/**
 * Results and options of a benchmark. Every area exports one `run` function; the
 * harness prints, stores and checks the results that it returns.
 */

export enum BenchUnit {
  Count = 'count',
  Bytes = 'bytes',
  /** Quotient of two readings of the same run. */
  Ratio = 'ratio',
  Milliseconds = 'ms',
  Microseconds = 'us',
  PerSecond = 'per_second',
  Percent = 'percent'
}

export interface BenchResult {
  /** Dot-separated, starting with the area; bounds refer to it. */
  name: string
  value: number
  unit: BenchUnit | `${BenchUnit}`
  /** Range of the readings over their median, where there are several. */
  spread?: number
  /** Sizes, parameters and other explanations of the value. */
  detail?: Record<string, unknown> | string
}

export interface BenchOptions {
  /** Seed for random workloads. */
  seed: number
  /** Uses smaller sizes, for CI. */
  quick: boolean
  /** Prints a progress line. */
  report (line: string): void
}

export type BenchRun = (options: BenchOptions) => Promise<BenchResult[]>

/** The median of the readings, and their range over the median. */
export function median (readings: readonly number[]): { value: number, spread: number } {
  const sorted = [...readings].sort((a, b) => a - b)
  const middle = Math.floor(sorted.length / 2)
  const upper = sorted[middle] ?? 0
  const value = sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? 0) + upper) / 2
  const range = (sorted.at(-1) ?? 0) - (sorted[0] ?? 0)
  return { value, spread: value === 0 ? 0 : range / value }
}
