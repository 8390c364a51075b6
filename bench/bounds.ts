/**
 * Regression bounds of all areas, from bench/bounds.json. A bound has the name of
 * its result, the limit, and the commit whose reading it was set from. Only counts,
 * bytes, percentages and ratios within one run can be bounded, so that the load of
 * the machine does not change the verdict.
 */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { BenchUnit, type BenchResult } from './benchResult.js'

export const BOUNDS_PATH = 'bench/bounds.json'

const boundSchema = z.strictObject({
  name: z.string(),
  /** The value must not be above it. */
  max: z.number().optional(),
  /** The value must not be below it. */
  min: z.number().optional(),
  /** The reading at `commit`. */
  reading: z.number(),
  commit: z.string().regex(/^[0-9a-f]{7,40}$/, 'expected a commit hash')
}).refine(bound => bound.max !== undefined || bound.min !== undefined, 'expected max or min')

export type Bound = z.infer<typeof boundSchema>

export const boundsSchema = z.strictObject({ bounds: z.array(boundSchema) })

export type BoundVerdict =
  | { kind: 'within', result: BenchResult, bound: Bound, ratio: number }
  | { kind: 'broken', result: BenchResult, bound: Bound, ratio: number }
  /** The area ran without producing the bounded result. */
  | { kind: 'missing', bound: Bound }
  | { kind: 'notBoundable', result: BenchResult, bound: Bound }

const boundableUnits: ReadonlySet<string> = new Set([BenchUnit.Count, BenchUnit.Bytes, BenchUnit.Ratio, BenchUnit.Percent])

export function readBounds (path = BOUNDS_PATH): Bound[] {
  return boundsSchema.parse(JSON.parse(readFileSync(path, 'utf8'))).bounds
}

/** Checks the bounds of the given areas, which were run. */
export function checkBounds (bounds: readonly Bound[], results: readonly BenchResult[], areas: readonly string[]): BoundVerdict[] {
  const relevantBounds = bounds.filter(bound => areas.some(area => bound.name.startsWith(`${area}.`)))
  return relevantBounds.map(bound => checkBound(bound, results.find(result => result.name === bound.name)))
}

/** Areas without bounds, whose check could not fail. */
export function unboundedAreas (bounds: readonly Bound[], areas: readonly string[]): string[] {
  return areas.filter(area => !bounds.some(bound => bound.name.startsWith(`${area}.`)))
}

export function passes (verdict: BoundVerdict): boolean {
  return verdict.kind === 'within'
}

function checkBound (bound: Bound, result: BenchResult | undefined): BoundVerdict {
  if (!result) return { kind: 'missing', bound }
  if (!boundableUnits.has(result.unit)) return { kind: 'notBoundable', result, bound }
  const isWithin = Number.isFinite(result.value) &&
    result.value <= (bound.max ?? Infinity) && result.value >= (bound.min ?? -Infinity)
  const ratio = result.value / (bound.max ?? bound.min ?? 1)
  return { kind: isWithin ? 'within' : 'broken', result, bound, ratio }
}

export function describeVerdict (verdict: BoundVerdict): string {
  switch (verdict.kind) {
    case 'missing':
      return `FAIL ${verdict.bound.name}: no such result in this run`
    case 'notBoundable':
      return `FAIL ${verdict.bound.name}: ${verdict.result.unit} depends on the machine and is not bounded`
    case 'within':
    case 'broken':
      return describeReading(verdict.kind === 'within' ? 'ok  ' : 'FAIL', verdict.result, verdict.bound, verdict.ratio)
  }
}

function describeReading (mark: string, result: BenchResult, bound: Bound, ratio: number): string {
  const limits = [
    bound.max === undefined ? [] : [`max ${bound.max}`],
    bound.min === undefined ? [] : [`min ${bound.min}`]
  ].flat().join(', ')
  return `${mark} ${result.name}: ${round(result.value)} ${result.unit}, bound ${limits}, ratio to bound ${ratio.toFixed(3)}, ` +
    `read ${bound.reading} at ${bound.commit}`
}

function round (value: number): number {
  return Number(value.toPrecision(4))
}
