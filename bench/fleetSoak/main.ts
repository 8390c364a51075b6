/**
 * `npm run soak:fleet -- [--seed N] [--seeds N] [--seconds N] [--entry-hosts N]
 * [--store-hosts N] [--only KIND,...] [--keep-logs] [--json FILE]`: the platform's programs
 * under faults, one run per seed; fails when any run violated a guarantee.
 */
import { writeFileSync } from 'node:fs'
import { cac } from 'cac'
import { FaultKind } from './faultPlan.js'
import { hostCounts, runSoak, type SoakOutcome } from './soakRun.js'

const MS_PER_S = 1_000
const MAX_PRINTED_VIOLATIONS = 12

interface Flags {
  seed: string
  seeds: string
  seconds: string
  entryHosts: string
  storeHosts: string
  only?: string
  keepLogs?: boolean
  json?: string
}

function parseInteger (name: string, text: string, min: number): number {
  const value = Number(text)
  if (!Number.isInteger(value) || value < min) throw new RangeError(`--${name}: expected a whole number of ${min} or more, not "${text}"`)
  return value
}

function parseKinds (text: string | undefined): FaultKind[] | undefined {
  if (text === undefined) return undefined
  const known = Object.values(FaultKind)
  return text.split(',').map(name => {
    const kind = known.find(candidate => candidate === name)
    if (!kind) throw new RangeError(`--only: expected kinds among ${known.join(', ')}, not "${name}"`)
    return kind
  })
}

function summary ({ seed, planned, record, violations, logsFolder }: SoakOutcome): string[] {
  const { calls, batches, leaves, ends, configurations, arrivals } = record
  const served = calls.filter(({ status }) => status === 200).length
  const counts = new Map<string, number>()
  for (const { kind } of planned) counts.set(kind, (counts.get(kind) ?? 0) + 1)
  return [
    `seed ${seed}: ${violations.length} guarantees violated; ${planned.length} faults (${[...counts].map(([kind, count]) => `${kind} ${count}`).join(', ')})`,
    `  ${served} of ${calls.length} calls served, ${arrivals.length} requests at endpoints, ${batches.length} batches accepted, ${leaves.length} leaves and ${configurations.length} configurations confirmed, ${ends.length} endpoint crashes caused by ${new Set(ends.map(({ callerId }) => callerId)).size} requests`,
    ...violations.slice(0, MAX_PRINTED_VIOLATIONS).map(line => `  VIOLATION ${line}`),
    ...(logsFolder === undefined ? [] : [`  logs in ${logsFolder}`])
  ]
}

async function main (): Promise<number> {
  const cli = cac('soak:fleet')
  cli.command('', 'Runs the platform\'s programs under faults')
    .option('--seed <n>', 'The first seed', { default: '1' })
    .option('--seeds <n>', 'Number of consecutive seeds to run', { default: '1' })
    .option('--seconds <n>', 'Duration of each run', { default: '60' })
    .option('--entry-hosts <n>', 'Number of entry hosts in addition to the three control hosts', { default: '2' })
    .option('--store-hosts <n>', 'Number of store hosts', { default: '4' })
    .option('--only <kinds>', 'Comma-separated kinds of faults to inject')
    .option('--keep-logs', 'Keep the folder with the programs\' logs')
    .option('--json <file>', 'Write the outcomes to a file')
  cli.help()
  const { options } = cli.parse(process.argv, { run: false })
  const flags = options as unknown as Flags & { help?: boolean }
  if (flags.help === true) return 0
  const firstSeed = parseInteger('seed', flags.seed, 1)
  const seedsCount = parseInteger('seeds', flags.seeds, 1)
  const hosts = hostCounts(parseInteger('entry-hosts', flags.entryHosts, 0), parseInteger('store-hosts', flags.storeHosts, 3))
  const durationMs = parseInteger('seconds', flags.seconds, 15) * MS_PER_S
  const outcomes: SoakOutcome[] = []
  for (let seed = firstSeed; seed < firstSeed + seedsCount; seed++) {
    const outcome = await runSoak({ seed, durationMs, hosts, only: parseKinds(flags.only), keepsLogs: flags.keepLogs === true })
    outcomes.push(outcome)
    process.stdout.write(`${summary(outcome).join('\n')}\n`)
  }
  if (flags.json !== undefined) writeFileSync(flags.json, JSON.stringify(outcomes))
  const failedCount = outcomes.filter(({ violations }) => violations.length > 0).length
  process.stdout.write(`${seedsCount - failedCount} of ${seedsCount} seeds passed without violations\n`)
  return failedCount === 0 ? 0 : 1
}

main().then(code => { process.exitCode = code }, error => {
  process.stderr.write(`${(error as Error).message}\n`)
  process.exitCode = 2
})
