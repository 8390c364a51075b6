/**
 * `npm run bench -- AREA… [--check] [--json FILE] [--quick] [--seed N]`: runs
 * the given areas, or all by default, prints a table, and with `--check` fails on
 * a result outside its bound.
 */
import { writeFileSync } from 'node:fs'
import { cac } from 'cac'
import Table from 'cli-table3'
import { areas } from './areas.js'
import type { BenchOptions, BenchResult } from './benchResult.js'
import { BOUNDS_PATH, checkBounds, describeVerdict, passes, readBounds, unboundedAreas } from './bounds.js'

const DEFAULT_SEED = 1
const EXIT_REGRESSION = 1
const EXIT_USAGE = 2

interface Flags {
  check?: boolean
  quick?: boolean
  json?: string
  seed?: number
}

function printTable (results: readonly BenchResult[]): void {
  const table = new Table({ head: ['result', 'value', 'unit', 'spread'], style: { head: [], border: [] } })
  for (const { name, value, unit, spread } of results) {
    table.push([name, Number(value.toPrecision(5)), unit, spread === undefined ? '' : `${(spread * 100).toFixed(0)}%`])
  }
  process.stdout.write(`${table.toString()}\n`)
}

function checkAll (results: readonly BenchResult[], names: readonly string[]): number {
  const bounds = readBounds()
  const unbounded = unboundedAreas(bounds, names)
  if (unbounded.length > 0) {
    process.stderr.write(`no bound for ${unbounded.join(', ')} in ${BOUNDS_PATH}: a check without bounds cannot fail\n`)
    return EXIT_USAGE
  }
  const verdicts = checkBounds(bounds, results, names)
  for (const verdict of verdicts) process.stdout.write(`${describeVerdict(verdict)}\n`)
  const failedCount = verdicts.filter(verdict => !passes(verdict)).length
  process.stdout.write(`${verdicts.length - failedCount} bounds met, ${failedCount} failed\n`)
  return failedCount > 0 ? EXIT_REGRESSION : 0
}

async function runAreas (names: readonly string[], flags: Flags): Promise<BenchResult[]> {
  const options: BenchOptions = {
    seed: Number(flags.seed ?? DEFAULT_SEED),
    quick: flags.quick ?? false,
    report: line => process.stderr.write(`${line}\n`)
  }
  const results: BenchResult[] = []
  for (const name of names) {
    options.report(`bench ${name}`)
    results.push(...await areas[name]!(options))
  }
  return results
}

async function main (): Promise<number> {
  const cli = cac('bench')
  cli.usage(`[area…] [--check] [--json FILE] [--quick] [--seed N]\n\nAreas: ${Object.keys(areas).join(', ')}`)
  cli.option('--check', 'compare with bench/bounds.json and fail on a regression')
  cli.option('--json <file>', 'write the results to a file')
  cli.option('--quick', 'use smaller sizes')
  cli.option('--seed <number>', 'seed of the workloads', { default: DEFAULT_SEED })
  cli.help()
  const { args, options } = cli.parse()
  if (options.help) return 0
  const names = args.length > 0 ? args : Object.keys(areas)
  const unknown = names.filter(name => !(name in areas))
  if (unknown.length > 0) {
    process.stderr.write(`unknown area ${unknown.join(', ')}; expected ${Object.keys(areas).join(', ')}\n`)
    return EXIT_USAGE
  }
  const flags = options as Flags
  const results = await runAreas(names, flags)
  printTable(results)
  if (flags.json) writeFileSync(flags.json, `${JSON.stringify(results, null, 2)}\n`)
  return flags.check ? checkAll(results, names) : 0
}

process.exit(await main())
