/**
 * The command line of `threaddrum-load`: `run` an experiment, `page` a stored
 * report, `compare` two.
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
import { unnamedProcesses } from './faults.js'
import { LoadRun } from './loadRun.js'
import { reportSchema, type Report } from './report.js'
import { renderReportPage } from './reportPage.js'

export enum LoadExitCode {
  Done = 0,
  /** The run ended, and a promise was broken in it. */
  InvariantBroken = 1,
  /** The command line, the experiment or a report file is wrong. */
  Usage = 2,
  /** The requests were sent, but a service's record could not be read. */
  RecordUnreadable = 3
}

export interface LoadCommandParts {
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

export async function runLoadCommand (argv: string[], parts: LoadCommandParts): Promise<LoadExitCode> {
  const cli = cac('threaddrum-load')
  cli.command('run <experiment>', 'send the load of an experiment and report')
    .option('--json <file>', 'write the report as JSON')
    .option('--html <file>', 'write the report as one HTML page')
    .option('--process <name=pid>', 'a process that faults of the experiment name; may be given again')
    .action(async (path: string, flags: RunFlags) => await runExperiment(path, flags, parts))
  cli.command('page <report> <html>', 'make the HTML page of a stored report')
    .action((path: string, html: string) => writePage(path, html))
  cli.command('compare <before> <after>', 'print two stored reports side by side')
    .option('--json', 'print as JSON')
    .action((before: string, after: string, flags: { json?: boolean }) => compare(before, after, flags.json ?? false, parts))
  cli.help()
  cli.version(parts.version)
  try {
    cli.parse(argv, { run: false })
    if (cli.options.help === true || cli.options.version === true) return LoadExitCode.Done
    if (!cli.matchedCommand) {
      parts.printError('expected a command: run, page or compare; see --help')
      return LoadExitCode.Usage
    }
    return await cli.runMatchedCommand() as LoadExitCode
  } catch (error) {
    if (!(error instanceof SettingsError) && (error as Error).name !== 'CACError') throw error
    parts.printError((error as Error).message)
    return LoadExitCode.Usage
  }
}

async function runExperiment (path: string, flags: RunFlags, parts: LoadCommandParts): Promise<LoadExitCode> {
  const experiment = readSettings(path, experimentSchema)
  const pids = readProcesses(flags.process)
  const unnamed = unnamedProcesses(experiment.faults, pids)
  if (unnamed.length > 0) throw new SettingsError(`${path}: faults: give --process NAME=PID for ${unnamed.join(', ')}`)
  const run = new LoadRun(experiment, {
    clock: systemClock,
    scope: parts.scope,
    pids,
    send: (pid, signal) => process.kill(pid, signal),
    onProgress: parts.printError
  })
  const outcome = await run.run()
  if (outcome.kind === 'recordUnreadable') {
    parts.printError(`${outcome.url}: cannot be read: ${outcome.reason}`)
    return LoadExitCode.RecordUnreadable
  }
  return conclude(outcome.report, flags, parts)
}

function conclude (report: Report, flags: RunFlags, parts: LoadCommandParts): LoadExitCode {
  if (flags.json) writeFileSync(flags.json, `${JSON.stringify(report, null, 2)}\n`)
  if (flags.html) writeFileSync(flags.html, renderReportPage(report))
  for (const line of summaryLines(report)) parts.print(line)
  return report.brokenCount > 0 ? LoadExitCode.InvariantBroken : LoadExitCode.Done
}

function summaryLines (report: Report): string[] {
  const { all } = report
  const refusals = Object.entries(all.refusals).map(([reason, count]) => `  refused ${count}: ${reason}`)
  const latency = all.latency
    ? `latency p50 ${all.latency.p50Ms.toFixed(1)} ms, p99 ${all.latency.p99Ms.toFixed(1)} ms, p99.9 ${all.latency.p999Ms.toFixed(1)} ms`
    : 'no whole answer'
  return [
    `${report.experiment}: sent ${all.sentCount}, whole ${all.wholeCount}, lost ${all.lostCount}, tries ${all.triesCount}, not sent ${report.notSentCount}`,
    ...refusals,
    `${all.goodputPerSecond.toFixed(1)} answers a second in time, ${all.tokensPerSecond.toFixed(0)} tokens a second, ${latency}`,
    ...report.byClass.map(({ name, wholeCount, sharePercent }) => `  class ${name}: ${wholeCount} whole, ${sharePercent.toFixed(1)}%`),
    `broken invariants: ${report.brokenCount} (${report.recordCheckedCount} requests checked against records)`,
    ...report.broken.slice(0, 5).map(({ invariant, tag, message }) => `  ${invariant} ${tag}: ${message}`)
  ]
}

const processSchema = z.string().regex(/^[^=]+=[1-9]\d*$/, 'expected NAME=PID')

function readProcesses (given: string | string[] | undefined): Map<string, number> {
  const pids = new Map<string, number>()
  for (const text of given === undefined ? [] : [given].flat()) {
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

function compare (beforePath: string, afterPath: string, asJson: boolean, parts: LoadCommandParts): LoadExitCode {
  const { differences, unmatched } = compareReports(readReport(beforePath), readReport(afterPath))
  if (asJson) {
    parts.print(JSON.stringify({ differences, unmatched }, null, 2))
    return LoadExitCode.Done
  }
  parts.print(renderDifferences(differences))
  if (unmatched.length > 0) parts.print(`only in one of the two: ${unmatched.join(', ')}`)
  return LoadExitCode.Done
}

/** @throws SettingsError when the file is no report. */
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
