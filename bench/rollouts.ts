/**
 * Rollouts: idle time of trainers, staleness of samples and discarded tokens,
 * compared with the plain policy in the same run. Runs on a virtual clock, so the
 * figures do not depend on the machine.
 */
import { BenchUnit, type BenchOptions, type BenchResult } from './benchResult.js'
import { Policy, runScenario, type Reading, type Scenario } from './rollouts/scenario.js'

const FULL = { stepsCount: 5, samplesPerStepCount: 256, trainMs: 15_000 }
const QUICK = { stepsCount: 4, samplesPerStepCount: 128, trainMs: 8_000 }

interface Setting {
  name: string
  /** All policies by default. */
  policies?: Policy[]
  scenario: Omit<Scenario, 'policy'>
}

export function settings ({ seed, quick }: BenchOptions): Setting[] {
  const size = quick ? QUICK : FULL
  const base = { ...size, seed, losesEngine: false, slowsEngine: false, stalenessBoundVersions: 2, startAheadSteps: 2, stalenessWeight: 0 }
  const shared = { trainersCount: 3, samplesPerStepCount: size.samplesPerStepCount / 4 }
  return [
    { name: 'oneTrainer', scenario: { ...base, trainersCount: 1 } },
    { name: 'oneTrainerEngineLost', scenario: { ...base, trainersCount: 1, losesEngine: true } },
    { name: 'oneTrainerEngineSlow', scenario: { ...base, trainersCount: 1, slowsEngine: true } },
    { name: 'oneTrainerBoundOne', scenario: { ...base, trainersCount: 1, stalenessBoundVersions: 1, startAheadSteps: 1 } },
    { name: 'threeTrainers', scenario: { ...base, ...shared } },
    { name: 'threeTrainersEngineLost', scenario: { ...base, ...shared, losesEngine: true } },
    { name: 'backToBack', scenario: { ...base, trainersCount: 1, trainMs: 0 } },
    // The weight at half and at its maximum; oneTrainer has it at 0.
    { name: 'stalenessWeightHalf', policies: [Policy.Threaddrum], scenario: { ...base, trainersCount: 1, stalenessWeight: 0.5 } },
    { name: 'stalenessWeightOne', policies: [Policy.Threaddrum], scenario: { ...base, trainersCount: 1, stalenessWeight: 1 } }
  ]
}

export async function run (options: BenchOptions): Promise<BenchResult[]> {
  const results: BenchResult[] = []
  for (const setting of settings(options)) results.push(...await runSetting(setting, options))
  return results
}

/** Runs the policies on the same samples. */
export async function runSetting ({ name, scenario, policies = Object.values(Policy) }: Setting, options: BenchOptions): Promise<BenchResult[]> {
  const readings = new Map<Policy, Reading>()
  const results: BenchResult[] = []
  for (const policy of policies) {
    const reading = await runScenario({ ...scenario, policy })
    readings.set(policy, reading)
    options.report(`rollouts ${name} ${policy}: ${describe(reading)}`)
    results.push(...toResults(`rollouts.${name}.${policy}`, reading, scenario))
  }
  return [...results, ...comparisons(name, readings)]
}

function describe (reading: Reading): string {
  return Object.entries(reading).map(([name, value]) => `${name} ${Number(value).toFixed(3)}`).join(', ')
}

function toResults (prefix: string, reading: Reading, scenario: Omit<Scenario, 'policy'>): BenchResult[] {
  const result = (name: string, value: number, unit: BenchUnit): BenchResult => ({ name: `${prefix}.${name}`, value, unit, detail: { ...scenario } })
  const results = [
    result('idlePerStep', reading.idleMsPerStep, BenchUnit.Milliseconds),
    result('stalenessMean', reading.stalenessMean, BenchUnit.Count),
    result('stalenessP95', reading.stalenessP95, BenchUnit.Count),
    result('stalenessWorst', reading.stalenessWorst, BenchUnit.Count),
    result('timeOverBound', reading.timeOverBound, BenchUnit.Ratio),
    result('discarded', reading.discardedPercent, BenchUnit.Percent),
    result('violations', reading.violationsCount, BenchUnit.Count)
  ]
  return Number.isNaN(reading.swapOverStore) ? results : [...results, result('swapOverStore', reading.swapOverStore, BenchUnit.Ratio)]
}

function comparisons (name: string, readings: Map<Policy, Reading>): BenchResult[] {
  const own = readings.get(Policy.Threaddrum)
  return [Policy.Plain, Policy.PlainAhead].flatMap((policy): BenchResult[] => {
    const other = readings.get(policy)
    if (!own || !other) return []
    return [{ name: `rollouts.${name}.idleOver.${policy}`, value: own.idleMsPerStep / other.idleMsPerStep, unit: BenchUnit.Ratio }]
  })
}
