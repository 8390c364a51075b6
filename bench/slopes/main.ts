/**
 * `npm run slopes -- [NAME…]`: measures slopes against the real modules and
 * stores them in bench/slopes.json, each with its command, date and commit. A
 * name may be an area. Stored slopes that are not measured are kept.
 */
import { execFileSync } from 'node:child_process'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { bendOf, fitLine, MIN_SIZES, slopesSchema, SLOPES_PATH, spreadPercentOf, type Slope, type SlopeMeasurement, type SlopeMetric, type SlopeReading } from './slope.js'
import { measurements } from './measurements.js'

const EXIT_USAGE = 2

function storedSlopes (): Slope[] {
  return existsSync(SLOPES_PATH) ? slopesSchema.parse(JSON.parse(readFileSync(SLOPES_PATH, 'utf8'))).slopes : []
}

/** The readings of each metric, in order. */
async function readAll ({ sizes, repeats, metrics, read }: SlopeMeasurement): Promise<SlopeReading[][]> {
  const names = metrics.map(({ name }) => name).join(', ')
  if (sizes.length < MIN_SIZES) throw new Error(`${names}: expected at least ${MIN_SIZES} sizes, got ${sizes.length}`)
  const readings = metrics.map(() => sizes.map(size => ({ size, values: [] as number[] })))
  for (let round = 0; round < repeats; round++) {
    for (const [index, size] of sizes.entries()) {
      process.stderr.write(`${names}: ${size}, round ${round + 1} of ${repeats}\n`)
      const values = await read(size)
      for (const [metric, value] of values.entries()) readings[metric]?.[index]?.values.push(Number(value.toPrecision(6)))
    }
  }
  return readings
}

async function measure (measurement: SlopeMeasurement, commit: string): Promise<Slope[]> {
  const readings = await readAll(measurement)
  return measurement.metrics.map((metric, index) => slopeOf(metric, measurement.sizeUnit, readings[index]!, commit))
}

function slopeOf (metric: SlopeMetric, sizeUnit: string, readings: SlopeReading[], commit: string): Slope {
  const line = fitLine(readings)
  return {
    ...metric,
    sizeUnit,
    readings,
    ...line,
    spreadPercent: Math.round(spreadPercentOf(readings)),
    bend: Number(bendOf(readings, line).toFixed(2)),
    command: `npm run slopes -- ${metric.name}`,
    date: new Date().toISOString().slice(0, 10),
    commit
  }
}

function describe ({ name, perUnit, intercept, unit, sizeUnit, spreadPercent, bend }: Slope): string {
  return `${name}: ${perUnit.toPrecision(4)} ${unit} per unit of ${sizeUnit}, intercept ${intercept.toPrecision(4)}, spread ${spreadPercent}%, bend ${bend}`
}

function isSelected ({ metrics }: SlopeMeasurement, selectedNames: readonly string[]): boolean {
  return selectedNames.length === 0 || metrics.some(({ name }) => selectedNames.some(prefix => name === prefix || name.startsWith(`${prefix}.`)))
}

function storeSlopes (measured: readonly Slope[]): void {
  const kept = storedSlopes().filter(({ name }) => !measured.some(slope => slope.name === name))
  const slopes = [...kept, ...measured].sort((a, b) => a.name < b.name ? -1 : 1)
  writeFileSync(SLOPES_PATH, `${JSON.stringify({ slopes }, null, 1)}\n`)
}

async function main (): Promise<number> {
  const selectedNames = process.argv.slice(2)
  const chosen = measurements.filter(measurement => isSelected(measurement, selectedNames))
  if (chosen.length === 0) {
    const names = measurements.flatMap(({ metrics }) => metrics.map(({ name }) => name))
    process.stderr.write(`no slope matches; expected names among ${names.join(', ')}\n`)
    return EXIT_USAGE
  }
  const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim()
  for (const measurement of chosen) {
    const slopes = await measure(measurement, commit)
    for (const slope of slopes) process.stdout.write(`${describe(slope)}\n`)
    storeSlopes(slopes)
  }
  return 0
}

process.exit(await main())
