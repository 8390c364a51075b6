/**
 * One caller that repeats a request which ends every endpoint that runs it, beside
 * innocent ones: how many of those are served, how many endpoints end, and how often
 * it is sent after all hosts have to know. The model of hosts, control hosts and
 * endpoints on a virtual clock; the same on every run of a seed.
 */
import { DeadlyRequestWorld } from '../tests/fixtures/fleet/deadlyRequestWorld.js'
import type { BenchOptions, BenchResult } from './benchResult.js'

const RUN_MS = 15_000
const DEADLY_EACH_MS = 700
const INNOCENT_EACH_MS = 20
/** What a deployment promises of hosts in touch. */
const KNOWN_WITHIN_MS = 3_000

interface RunFigures {
  servedPercent: number
  endsCount: number
  lateSendsCount: number
}

export async function run ({ seed, quick, report }: BenchOptions): Promise<BenchResult[]> {
  const seedsCount = quick ? 2 : 10
  const runs: RunFigures[] = []
  for (let offset = 0; offset < seedsCount; offset++) {
    const figures = await runOne(seed + offset)
    report(`seed ${seed + offset}: ${figures.servedPercent.toFixed(1)}% served, ${figures.endsCount} endpoints ended, ${figures.lateSendsCount} late sends`)
    runs.push(figures)
  }
  const detail = { seedsCount, deadlyEachMs: DEADLY_EACH_MS, innocentEachMs: INNOCENT_EACH_MS }
  return [
    { name: 'quarantine.servedPercentLeast', value: Math.min(...runs.map(({ servedPercent }) => servedPercent)), unit: 'percent', detail },
    { name: 'quarantine.endsMost', value: Math.max(...runs.map(({ endsCount }) => endsCount)), unit: 'count', detail },
    { name: 'quarantine.lateSendsMost', value: Math.max(...runs.map(({ lateSendsCount }) => lateSendsCount)), unit: 'count', detail }
  ]
}

async function runOne (seed: number): Promise<RunFigures> {
  const world = await new DeadlyRequestWorld({ seed }).start()
  await world.load(RUN_MS, { deadlyEachMs: DEADLY_EACH_MS, innocentEachMs: INNOCENT_EACH_MS })
  const figures = { servedPercent: 100 * world.innocentShare(), endsCount: world.deadlyEnds().length, lateSendsCount: world.lateSends(KNOWN_WITHIN_MS).length }
  world.stop()
  if (world.control.failures.length > 0) throw new Error(world.control.failures.join('\n'))
  return figures
}
