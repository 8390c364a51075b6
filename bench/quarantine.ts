/**
 * One caller repeats a poison request, which crashes every endpoint that runs it,
 * beside other callers. Measures the share of the other requests that are served,
 * the number of crashes, and how often the request is sent after all hosts must know
 * of it. Uses the model of hosts, control hosts and endpoints on a virtual clock; a
 * seed gives the same figures on every run.
 */
import { DeadlyRequestWorld } from '../tests/fixtures/fleet/deadlyRequestWorld.js'
import type { BenchOptions, BenchResult } from './benchResult.js'

const RUN_MS = 15_000
const POISON_INTERVAL_MS = 700
const INNOCENT_INTERVAL_MS = 20
/** Time limit of a deployment for connected hosts to know of a poison request. */
const POISON_KNOWN_MS = 3_000

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
    report(`seed ${seed + offset}: ${figures.servedPercent.toFixed(1)}% served, ${figures.endsCount} endpoints crashed, ${figures.lateSendsCount} late sends`)
    runs.push(figures)
  }
  const detail = { seedsCount, deadlyEachMs: POISON_INTERVAL_MS, innocentEachMs: INNOCENT_INTERVAL_MS }
  return [
    { name: 'quarantine.servedPercentLeast', value: Math.min(...runs.map(({ servedPercent }) => servedPercent)), unit: 'percent', detail },
    { name: 'quarantine.endsMost', value: Math.max(...runs.map(({ endsCount }) => endsCount)), unit: 'count', detail },
    { name: 'quarantine.lateSendsMost', value: Math.max(...runs.map(({ lateSendsCount }) => lateSendsCount)), unit: 'count', detail }
  ]
}

async function runOne (seed: number): Promise<RunFigures> {
  const world = await new DeadlyRequestWorld({ seed }).start()
  await world.load(RUN_MS, { deadlyEachMs: POISON_INTERVAL_MS, innocentEachMs: INNOCENT_INTERVAL_MS })
  const figures = { servedPercent: 100 * world.innocentShare(), endsCount: world.deadlyEnds().length, lateSendsCount: world.lateSends(POISON_KNOWN_MS).length }
  world.stop()
  if (world.control.failures.length > 0) throw new Error(world.control.failures.join('\n'))
  return figures
}
