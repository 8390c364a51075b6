/**
 * `npm run slopes -- [NAME…]`: measures slopes against the real modules and
 * stores them in bench/slopes.json, each with its command, date and commit. A
 * name may be an area. Slopes that are not measured now stay as they were.
 */
import { execFileSync } from 'node:child_process'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { bendOf, fitLine, MIN_SIZES, slopesSchema, SLOPES_PATH, spreadPercentOf, type Slope, type SlopeMeasurement, type SlopeReading } from './slope.js'
import { measurements } from './measurements.js'

const EXIT_USAGE = 2

function storedSlopes (): Slope[] {
  return existsSync(SLOPES_PATH) ? slopesSchema.parse(JSON.parse(readFileSync(SLOPES_PATH, 'utf8'))).slopes : []
}

async function readAll (measurement: SlopeMeasurement): Promise<SlopeReading[]> {
  const { sizes, repeats, name } = measurement
  if (sizes.length < MIN_SIZES) throw new Error(`${name}: ${MIN_SIZES} sizes at least`)
  const readings = sizes.map(size => ({ size, values: [] as number[] }))
  for (let round = 0; round < repeats; round++) {
    for (const reading of readings) reading.values.push(Number((await measurement.read(reading.size)).toPrecision(6)))
  }
  return readings
}

async function measure (measurement: SlopeMeasurement, commit: string): Promise<Slope> {
  const { name, what, unit, sizeUnit } = measurement
  const readings = await readAll(measurement)
  const line = fitLine(readings)
  return {
    name,
    what,
    unit,
    sizeUnit,
    readings,
    ...line,
    spreadPercent: Math.round(spreadPercentOf(readings)),
    bend: Number(bendOf(readings, line).toFixed(2)),
    command: `npm run slopes -- ${name}`,
    date: new Date().toISOString().slice(0, 10),
    commit
  }
}

function describe ({ name, perUnit, intercept, unit, sizeUnit, spreadPercent, bend }: Slope): string {
  return `${name}: ${perUnit.toPrecision(4)} ${unit} per one of ${sizeUnit}, from ${intercept.toPrecision(4)}, spread ${spreadPercent}%, bend ${bend}`
}

async function main (): Promise<number> {
  const asked = process.argv.slice(2)
  const chosen = measurements.filter(({ name }) => asked.length === 0 || asked.some(prefix => name === prefix || name.startsWith(`${prefix}.`)))
  if (chosen.length === 0) {
    process.stderr.write(`expected names of ${measurements.map(({ name }) => name).join(', ')}\n`)
    return EXIT_USAGE
  }
  const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim()
  for (const measurement of chosen) {
    const slope = await measure(measurement, commit)
    process.stdout.write(`${describe(slope)}\n`)
    const kept = storedSlopes().filter(({ name }) => name !== slope.name)
    const slopes = [...kept, slope].sort((a, b) => a.name < b.name ? -1 : 1)
    writeFileSync(SLOPES_PATH, `${JSON.stringify({ slopes }, null, 1)}\n`)
  }
  return 0
}

process.exit(await main())
