/**
 * The command line of `threaddrum-load`: `run` runs an experiment, `page`
 * renders a stored report as HTML, and `compare` compares two stored reports.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { cac } from 'cac'
import { z } from 'zod'
import { systemClock } from '../utils/clock.js'
import { SettingsError } from '../utils/errors.js'
import type { Scope } from '../utils/scope.js'
import { readSettings } from '../utils/settings.js'
import { compareReports, renderDifferences } from './compare.js'
import { experimentSchema } from './experiment.js'
import { missingProcesses } from './faults.js'
import { LoadRun } from './loadRun.js'
import { reportSchema, type Report } from './report.js'
import { renderReportPage } from './reportPage.js'

export enum LoadExitCode {
  Done = 0,
  /** The run completed, and an invariant was violated. */
  InvariantBroken = 1,
  /** The command line, the experiment or a report file is invalid. */
  Usage = 2,
  /** The requests were sent, but a service's record could not be read. */
  RecordUnreadable = 3
}

export interface LoadCommandOptions {
  scope: Scope
  version: string
  print (line: string): void
  printError (line: string): void
}

interface RunFlags {
  json?: string
  html?: string
  process?: string | string[]
}

export async function runLoadCommand (argv: string[], options: LoadCommandOptions): Promise<LoadExitCode> {
  const cli = cac('threaddrum-load')
  cli.command('run <experiment>', 'run an experiment and report the results')
    .option('--json <file>', 'write the report as JSON')
    .option('--html <file>', 'write the report as one HTML page')
    .option('--process <name=pid>', 'process id for a process named in the faults; repeatable')
    .action(async (path: string, flags: RunFlags) => await runExperiment(path, flags, options))
  cli.command('page <report> <html>', 'render a stored report as an HTML page')
    .action((path: string, html: string) => writePage(path, html))
  cli.command('compare <before> <after>', 'compare two stored reports')
    .option('--json', 'print as JSON')
    .action((before: string, after: string, flags: { json?: boolean }) => compare(before, after, flags.json ?? false, options))
  cli.help()
  cli.version(options.version)
  try {
    cli.parse(argv, { run: false })
    if (cli.options.help === true || cli.options.version === true) return LoadExitCode.Done
    if (!cli.matchedCommand) {
      options.printError('expected a command: run, page or compare; see --help')
      return LoadExitCode.Usage
    }
    return await cli.runMatchedCommand() as LoadExitCode
  } catch (error) {
    if (!(error instanceof SettingsError) && (error as Error).name !== 'CACError') throw error
    options.printError((error as Error).message)
    return LoadExitCode.Usage
  }
}

async function runExperiment (path: string, flags: RunFlags, options: LoadCommandOptions): Promise<LoadExitCode> {
  const experiment = readSettings(path, experimentSchema)
  const pids = readProcesses(flags.process)
  const unnamed = missingProcesses(experiment.faults, pids)
  if (unnamed.length > 0) throw new SettingsError(`${path}: faults: --process NAME=PID is missing for ${unnamed.join(', ')}`)
  const run = new LoadRun(experiment, {
    clock: systemClock,
    scope: options.scope,
    pids,
    send: (pid, signal) => process.kill(pid, signal),
    onProgress: options.printError
  })
  const outcome = await run.run()
  if (outcome.kind === 'recordUnreadable') {
    options.printError(`${outcome.url}: cannot read the execution record: ${outcome.reason}`)
    return LoadExitCode.RecordUnreadable
  }
  return publishReport(outcome.report, flags, options)
}

function publishReport (report: Report, flags: RunFlags, options: LoadCommandOptions): LoadExitCode {
  if (flags.json) writeFileSync(flags.json, `${JSON.stringify(report, null, 2)}\n`)
  if (flags.html) writeFileSync(flags.html, renderReportPage(report))
  for (const line of summaryLines(report)) options.print(line)
  return report.brokenCount > 0 ? LoadExitCode.InvariantBroken : LoadExitCode.Done
}

function summaryLines (report: Report): string[] {
  const { all } = report
  const refusals = Object.entries(all.refusals).map(([reason, count]) => `  refused ${count}: ${reason}`)
  const latency = all.latency
    ? `latency p50 ${all.latency.p50Ms.toFixed(1)} ms, p99 ${all.latency.p99Ms.toFixed(1)} ms, p99.9 ${all.latency.p999Ms.toFixed(1)} ms`
    : 'no complete answers'
  return [
    `${report.experiment}: sent ${all.sentCount}, complete ${all.wholeCount}, lost ${all.lostCount}, attempts ${all.triesCount}, not sent ${report.notSentCount}`,
    ...refusals,
    `${all.goodputPerSecond.toFixed(1)} answers per second within the deadline, ${all.tokensPerSecond.toFixed(0)} tokens per second, ${latency}`,
    ...report.byClass.map(({ name, wholeCount, sharePercent }) => `  class ${name}: ${wholeCount} complete, ${sharePercent.toFixed(1)}%`),
    `violated invariants: ${report.brokenCount} (${report.recordCheckedCount} requests checked against records)`,
    ...report.broken.slice(0, 5).map(({ invariant, tag, message }) => `  ${invariant} ${tag}: ${message}`)
  ]
}

const processSchema = z.string().regex(/^[^=]+=[1-9]\d*$/, 'expected NAME=PID')

function readProcesses (values: string | string[] | undefined): Map<string, number> {
  const pids = new Map<string, number>()
  for (const text of values === undefined ? [] : [values].flat()) {
    const parsed = processSchema.safeParse(text)
    if (!parsed.success) throw new SettingsError(`--process ${text}: expected NAME=PID`)
    const [name = '', pid = ''] = parsed.data.split('=')
    pids.set(name, Number(pid))
  }
  return pids
}

function writePage (path: string, html: string): LoadExitCode {
  writeFileSync(html, renderReportPage(readReport(path)))
  return LoadExitCode.Done
}

function compare (beforePath: string, afterPath: string, asJson: boolean, options: LoadCommandOptions): LoadExitCode {
  const { differences, unmatched } = compareReports(readReport(beforePath), readReport(afterPath))
  if (asJson) {
    options.print(JSON.stringify({ differences, unmatched }, null, 2))
    return LoadExitCode.Done
  }
  options.print(renderDifferences(differences))
  if (unmatched.length > 0) options.print(`only in one of the reports: ${unmatched.join(', ')}`)
  return LoadExitCode.Done
}

/** @throws SettingsError if the file cannot be read or is not a report */
function readReport (path: string): Report {
  try {
    const parsed = reportSchema.safeParse(JSON.parse(readFileSync(path, 'utf8')))
    if (parsed.success) return parsed.data
    throw new SettingsError(`${path}: not a report of threaddrum-load: ${z.prettifyError(parsed.error)}`)
  } catch (error) {
    if (error instanceof SettingsError) throw error
    throw new SettingsError(`${path}: cannot be read: ${(error as Error).message}`)
  }
}
