/**
 * A slope: how a cost grows with a size, measured on the real modules at four or
 * more sizes, with a straight line fitted to the medians.
 */
import { z } from 'zod'

export const SLOPES_PATH = 'bench/slopes.json'
export const MIN_SIZES = 4

/** One value of a reading. */
export interface SlopeMetric {
  /** Dot-separated, starting with the area. */
  name: string
  /** What the metric measures. */
  what: string
  unit: string
}

/** Metrics that are read together, as functions of one size. */
export interface SlopeMeasurement {
  metrics: SlopeMetric[]
  /** What the sizes count, as a plural noun. */
  sizeUnit: string
  sizes: number[]
  /** Number of readings of each size; rounds over all sizes are interleaved. */
  repeats: number
  /** Takes one reading; returns the values in the order of the metrics. */
  read(size: number): Promise<number[]>
}

export const slopeSchema = z.strictObject({
  name: z.string(),
  what: z.string(),
  unit: z.string(),
  sizeUnit: z.string(),
  readings: z.array(z.strictObject({ size: z.number(), values: z.array(z.number()) })).min(MIN_SIZES),
  /** Slope of the straight line fitted to the medians. */
  perUnit: z.number(),
  intercept: z.number(),
  /** The widest range of the readings of one size, over their median, in percent. */
  spreadPercent: z.number(),
  /** Slope between the two largest sizes over the slope of the fitted line; above 1 if the cost grows faster than linearly. */
  bend: z.number(),
  command: z.string(),
  date: z.iso.date(),
  commit: z.string()
})
export type Slope = z.infer<typeof slopeSchema>

export const slopesSchema = z.strictObject({ slopes: z.array(slopeSchema) })

export type SlopeReading = Slope['readings'][number]

export function medianOf (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = Math.floor(sorted.length / 2)
  const upper = sorted[middle] ?? 0
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? 0) + upper) / 2
}

export interface Line {
  perUnit: number
  intercept: number
}

/** Least-squares fit to the medians. */
export function fitLine (readings: readonly SlopeReading[]): Line {
  const points = readings.map(({ size, values }) => ({ x: size, y: medianOf(values) }))
  const meanX = mean(points.map(({ x }) => x))
  const meanY = mean(points.map(({ y }) => y))
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const perUnit = covariance / variance
  return { perUnit, intercept: meanY - perUnit * meanX }
}

export function spreadPercentOf (readings: readonly SlopeReading[]): number {
  const spreads = readings.map(({ values }) => {
    const middle = Math.abs(medianOf(values))
    return middle === 0 ? 0 : 100 * (Math.max(...values) - Math.min(...values)) / middle
  })
  return Math.max(...spreads)
}

export function bendOf (readings: readonly SlopeReading[], { perUnit }: Line): number {
  const [before, last] = [...readings].sort((a, b) => a.size - b.size).slice(-2)
  if (!before || !last || perUnit === 0) return 1
  return (medianOf(last.values) - medianOf(before.values)) / (last.size - before.size) / perUnit
}

/** The cost at a size beyond the measured ones. */
export function extrapolate ({ perUnit, intercept }: Line, size: number): number {
  return intercept + perUnit * size
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
