/**
 * Compares the scheduling policy with simple baselines on small stand-in engines
 * under a virtual clock. Seeded; a seed gives the same figures on every run.
 */
import type { BenchOptions, BenchResult } from './benchResult.js'
import { Baseline } from './requests/baselines.js'
import type { RunFigures } from './requests/recorder.js'
import { scenarios, type Scenario } from './requests/scenarios.js'
import { POLICY, measureCapacity, simulate, type Contender } from './requests/simulation.js'

const ENGINES_COUNT = 8
/** The unloaded scenario has few requests a second, so it is measured for longer. */
const UNLOADED_DURATION_FACTOR = 10
const contenders: Contender[] = [POLICY, Baseline.LeastReported, Baseline.RoundRobin, Baseline.Random]

interface Setting {
  capacity: number
  seed: number
  warmUpMs: number
  measuredMs: number
}

export async function run (options: BenchOptions): Promise<BenchResult[]> {
  const measuredMs = options.quick ? 15_000 : 30_000
  const capacity = await measureCapacity(ENGINES_COUNT, options.seed, measuredMs)
  const setting = { capacity, seed: options.seed, warmUpMs: 10_000, measuredMs }
  const results: BenchResult[] = [{ name: 'requests.capacity', value: capacity, unit: 'per_second', detail: `tokens of ${ENGINES_COUNT} engines` }]
  const unloaded = await runOne(scenarios.unloaded!, POLICY, { ...setting, measuredMs: UNLOADED_DURATION_FACTOR * measuredMs })
  const unloadedP99Ms = unloaded.classes.gold?.p99Ms ?? 1
  results.push({ name: 'requests.unloaded.gold_p99', value: unloadedP99Ms, unit: 'ms' })
  for (const [name, scenario] of Object.entries(scenarios)) {
    if (name === 'unloaded') continue
    for (const contender of scenario.policyOnly ? [POLICY] as Contender[] : contenders) {
      const figures = await runOne(scenario, contender, setting)
      options.report(progressLine(name, contender, figures, capacity))
      results.push(...toResults(`requests.${name}.${contender}`, figures, capacity, unloadedP99Ms))
    }
  }
  return results
}

function runOne (scenario: Scenario, contender: Contender, { capacity, seed, warmUpMs, measuredMs }: Setting): Promise<RunFigures> {
  return simulate({
    contender,
    seed,
    hostsCount: scenario.hostsCount,
    enginesCount: ENGINES_COUNT,
    offeredAt: nowMs => capacity * scenario.loadAt(nowMs),
    arrange: scenario.arrange,
    hostFor: scenario.hostFor,
    warmUpMs,
    measuredMs
  })
}

function toResults (name: string, figures: RunFigures, capacity: number, unloadedP99Ms: number): BenchResult[] {
  const { gold, bronze } = figures.classes
  return [
    { name: `${name}.goodput`, value: figures.goodput / capacity, unit: 'ratio', detail: { ...figures } },
    { name: `${name}.gold_p99`, value: (gold?.p99Ms ?? 0) / unloadedP99Ms, unit: 'ratio' },
    { name: `${name}.gold_served`, value: gold?.servedPercent ?? 0, unit: 'percent' },
    { name: `${name}.bronze_share`, value: bronze?.sharePercent ?? 0, unit: 'percent' },
    { name: `${name}.wasted`, value: figures.wastedPercent, unit: 'percent' }
  ]
}

function progressLine (name: string, contender: Contender, figures: RunFigures, capacity: number): string {
  const classes = Object.entries(figures.classes).map(([className, { p50Ms, p99Ms, p999Ms, sharePercent, servedPercent, lateCount }]) =>
    `${className} ${p50Ms}/${p99Ms}/${p999Ms} ms ${sharePercent.toFixed(0)}% of tokens, ${servedPercent.toFixed(0)}% served, ${lateCount} late`)
  const summary = `goodput ${(figures.goodput / capacity).toFixed(3)} wasted ${figures.wastedPercent.toFixed(1)}% cache ${figures.cacheHitPercent.toFixed(0)}% peak ${figures.peakHeldCount}`
  return [`${name} ${contender}: ${summary}`, ...classes, `refused ${JSON.stringify(figures.refusals)} retried ${JSON.stringify(figures.retries)}`].join('\n    ')
}
