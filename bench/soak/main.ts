/**
 * `npm run soak -- [--minutes N] [--seed N] [--json FILE] [--html FILE]`: the
 * entire system as processes under load from callers and a trainer, while every
 * few seconds a random process is killed, stopped or frozen. At the end, the
 * records of the stand-ins show whether an invariant was violated.
 */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { cac } from 'cac'
import { getJson, LocalSystem } from '../../demo/localSystem.js'
import { waitFor } from '../../demo/waitFor.js'
import { experimentSchema } from '../../src/load/experiment.js'
import { LoadRun } from '../../src/load/loadRun.js'
import type { Report } from '../../src/load/report.js'
import { renderReportPage } from '../../src/load/reportPage.js'
import { systemClock } from '../../src/utils/clock.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { readRecordFile } from '../../standins/generationRecord.js'
import { trainerRecordSchema } from '../../standins/recordSchemas.js'
import { findVersionMismatches } from '../../standins/versionCheck.js'
import { FaultInjector } from './disturber.js'
import { MemorySamples, type MemoryTrend } from './memorySamples.js'

const SAMPLES_PER_STEP = 18
const ENGINES = 3
const SAMPLE_INTERVAL_MS = 5_000
const LOAD_PER_SECOND = 25
const MS_PER_MINUTE = 60_000
const MAX_STEPS_COUNT = 100_000
const UNDISTURBED_HOSTS = ['control-1', 'entry-1']

interface SoakReport {
  minutes: number
  seed: number
  load: Report
  trainer: { steps: number, samples: number, asksAgain: number, violations: string[], falseVersions: string[] }
  disturbances: FaultInjector['disturbances']
  ownEnds: string[]
  memory: MemoryTrend[]
}

function workloads (): object[] {
  return [
    { name: 'deck look-up', kind: 'service', pool: 'decks', path: '/cards', method: 'GET', share: 3, priorityClass: 'learners', deadlineMs: 15_000, maxTriesCount: 8 },
    { name: 'card review', kind: 'service', pool: 'decks', path: '/reviews', idempotencyKey: true, share: 3, priorityClass: 'learners', deadlineMs: 20_000, maxTriesCount: 8 },
    { name: 'hint', kind: 'completion', model: 'practice-lm', share: 1, priorityClass: 'learners', maxTokensCount: 60, deadlineMs: 20_000, maxTriesCount: 8 }
  ]
}

class Soak {
  private readonly _system: LocalSystem
  private readonly _faultInjector: FaultInjector
  private readonly _memory = new MemorySamples()
  private readonly _minutes: number
  private readonly _seed: number

  constructor (local: LocalSystem, minutes: number, seed: number) {
    this._system = local
    this._minutes = minutes
    this._seed = seed
    this._faultInjector = new FaultInjector(seededRandom(seed))
  }

  async run (): Promise<SoakReport> {
    const undisturbed = await this._startUp()
    const endMs = performance.now() + this._minutes * MS_PER_MINUTE
    const sampling = setInterval(() => {
      for (const process of undisturbed) this._memory.take(process.name, process.pid)
    }, SAMPLE_INTERVAL_MS)
    const [load] = await Promise.all([this._runLoad(), this._faultInjector.runUntil(endMs)])
    clearInterval(sampling)
    return {
      minutes: this._minutes,
      seed: this._seed,
      load,
      trainer: await this._checkTrainer(),
      disturbances: this._faultInjector.disturbances,
      ownEnds: this._unexpectedExits(undisturbed),
      memory: this._memory.trends()
    }
  }

  private async _startUp () {
    const local = this._system
    const undisturbed = [local.startControl(0), local.startEntry(0)]
    for (const index of [1, 2]) this._faultInjector.add(() => local.startControl(index), true)
    for (const index of [1, 2]) this._faultInjector.add(() => local.startEntry(index), false)
    await local.waitUntilReady()
    undisturbed.push(local.startWeightStore(), local.startService(), local.startScoring())
    for (let index = 0; index < ENGINES; index++) this._faultInjector.add(() => local.startEngine(index, { recordFile: this._recordFile(index) }), false)
    local.localFile('examples/dutch-deck.txt')
    const command = local.startCommand(['apply', '--wait', local.localFile('examples/practice-hints.toml')])
    const { code } = await command.ended
    if (code !== 0) throw new Error(command.log())
    local.startTrainer({ job: 'practice-hints', stepsCount: MAX_STEPS_COUNT, samplesPerStepCount: SAMPLES_PER_STEP, stalenessBoundVersions: 1, maxSamplesPerPullCount: 6 })
    return undisturbed
  }

  private async _runLoad (): Promise<Report> {
    const experiment = experimentSchema.parse({
      name: `soak of ${this._minutes} minutes, seed ${this._seed}`,
      seed: this._seed,
      durationMs: this._minutes * MS_PER_MINUTE,
      dataCentre: 'hal-a',
      entryHosts: this._system.entryAddresses,
      rate: { perSecond: LOAD_PER_SECOND },
      workloads: workloads(),
      records: [{ pool: 'decks', url: `${this._system.serviceUrl}/record` }]
    })
    const onProgress = (line: string): void => { if (/^\d*0 s/.test(line)) process.stderr.write(`${line}\n`) }
    const run = new LoadRun(experiment, { clock: systemClock, scope: new Scope('soak'), pids: new Map(), send: () => {}, onProgress })
    const outcome = await run.run()
    if (outcome.kind !== 'report') throw new Error(`${outcome.url}: ${outcome.reason}`)
    return outcome.report
  }

  private async _checkTrainer (): Promise<SoakReport['trainer']> {
    const record = await waitFor('the trainer\'s record', async () => trainerRecordSchema.safeParse(await getJson(`${this._system.trainerUrl}/record`)).data)
    const generations = Array.from({ length: ENGINES }, (_, index) => readRecordFile(this._recordFile(index))).flat()
    const gaps = record.samples.flatMap(({ position }, index) => position === index + 1 ? [] : [`position ${position} at sample ${index + 1}`])
    return {
      steps: record.steps.length,
      samples: record.samples.length,
      asksAgain: record.asksAgainCount,
      violations: [...record.violations, ...gaps],
      falseVersions: findVersionMismatches(record.samples, generations)
    }
  }

  private _unexpectedExits (undisturbed: ReturnType<LocalSystem['startControls']>): string[] {
    const ended = undisturbed.filter(({ end }) => end !== undefined).map(({ name, end }) => `${name} exited with ${end?.code ?? end?.signal}`)
    return [...this._faultInjector.unexpectedExits, ...ended]
  }

  private _recordFile (index: number): string {
    return join(this._system.folder, `engine-${index + 1}.record`)
  }
}

function summary (report: SoakReport): string[] {
  const { load: { all, brokenCount, recordCheckedCount }, trainer, disturbances, ownEnds, memory } = report
  const count = (what: string): number => disturbances.filter(one => one.what === what).length
  return [
    `${report.minutes} minutes, seed ${report.seed}: ${disturbances.length} disturbances (${count('killed')} killed, ${count('stopped')} stopped, ${count('frozen')} frozen)`,
    `callers: sent ${all.sentCount}, complete ${all.wholeCount}, lost ${all.lostCount}, attempts ${all.triesCount}, refused ${JSON.stringify(all.refusals)}`,
    `invariant violations seen by callers: ${brokenCount} (${recordCheckedCount} requests checked against the service's record)`,
    ...report.load.broken.slice(0, 10).map(broken => `  ${JSON.stringify(broken)}`),
    `trainer: ${trainer.steps} steps, ${trainer.samples} samples, ${trainer.asksAgain} repeated requests, ${trainer.violations.length} violations, ${trainer.falseVersions.length} wrong versions`,
    ...[...trainer.violations, ...trainer.falseVersions].slice(0, 10).map(line => `  ${line}`),
    `processes that exited unexpectedly: ${ownEnds.length === 0 ? 'none' : ownEnds.join('; ')}`,
    ...memory.map(({ name, earlyBytes, lateBytes, growthPercent }) =>
      `resident memory of ${name}: ${(earlyBytes / 1e6).toFixed(1)} MB early, ${(lateBytes / 1e6).toFixed(1)} MB late, ${growthPercent}%${UNDISTURBED_HOSTS.includes(name) ? '' : ' (stand-in)'}`)
  ]
}

async function main (): Promise<number> {
  const cli = cac('soak')
  cli.option('--minutes <number>', 'duration of the run', { default: 10 })
  cli.option('--seed <number>', 'seed of load and faults', { default: 1 })
  cli.option('--json <file>', 'write the report to a file')
  cli.option('--html <file>', 'write the callers\' report as an HTML page')
  cli.help()
  const { options } = cli.parse()
  if (options.help) return 0
  const local = await LocalSystem.create()
  try {
    const report = await new Soak(local, Number(options.minutes), Number(options.seed)).run()
    if (options.json) writeFileSync(String(options.json), `${JSON.stringify(report, null, 1)}\n`)
    if (options.html) writeFileSync(String(options.html), renderReportPage(report.load))
    for (const line of summary(report)) process.stdout.write(`${line}\n`)
    const { trainer, load, ownEnds } = report
    return load.brokenCount + trainer.violations.length + trainer.falseVersions.length + ownEnds.length > 0 ? 1 : 0
  } finally {
    await local.dispose()
  }
}

process.exit(await main())
