/**
 * Entry point that the programs on hosts share: command-line options, settings,
 * startup checks, logs, metrics, signals and exit codes.
 */
import { cac } from 'cac'
import type { z } from 'zod'
import { ScopeClosedError, SettingsError } from './errors.js'
import { systemClock } from './clock.js'
import { createLogger, type EventCatalogue, type LogFields, type Logger } from './logger.js'
import { LogOutput } from './logOutput.js'
import { MetricName } from './metricNames.js'
import { memoryMetrics, type Metrics } from './metrics.js'
import { productVersion } from './productVersion.js'
import { ProgramEvent, programEventCatalogue } from './programEvents.js'
import { ProgramLife } from './programLife.js'
import type { Scope } from './scope.js'
import { checkSettings, parseAddress } from './settings.js'
import { SettingsWatch } from './settingsWatch.js'
import { checkStartupRequirements, type StartupRequirements } from './startupChecks.js'
import { statsdMetrics } from './statsdMetrics.js'

/** How long a start looks for settings that can be used; a file is written within milliseconds. */
const SETTINGS_WAIT_MS = 1_000
/** Maximum time for writing the remaining log lines when the process ends. */
const LOG_FLUSH_TIMEOUT_MS = 200

export enum ProgramExit {
  Settings = 2,
  BrokenInvariant = 70
}

/** Settings that every such program has. */
export interface HostSettings {
  host: { hostId: string, dataCentre: string }
  metrics?: { statsdAddress: string } | undefined
}

export interface ProgramContext {
  logger: Logger
  metrics: Metrics
  /** Exits the process because its state can no longer be trusted. */
  onFatal: (error: unknown) => void
  /** Exits the process after a planned stop. */
  onStopped: () => void
}

export interface RunningProgram {
  /** Starts the planned stop. */
  stop: () => Promise<void>
}

export interface ProgramDescription<Settings extends HostSettings> {
  name: string
  settingsSchema: z.ZodType<Settings>
  eventCatalogue: EventCatalogue
  brokenInvariantEvent: number
  requirements: (settings: Settings) => StartupRequirements
  start: (settings: Settings, context: ProgramContext) => Promise<RunningProgram>
}

export async function runProgram<Settings extends HostSettings> (description: ProgramDescription<Settings>): Promise<void> {
  const settingsFile = readSettingsPath(description.name)
  if (settingsFile === undefined) return
  const frame = createFrame(description)
  const { startScope } = frame.life
  process.on('uncaughtException', frame.onFatal)
  try {
    const settings = await readWholeSettings(settingsFile, description.settingsSchema, startScope)
    await startScope.race(checkStartupRequirements(settingsFile, description.requirements(settings)))
    await start(description, settings, frame)
  } catch (error) {
    if (error instanceof ScopeClosedError && startScope.isClosed) return
    if (!(error instanceof SettingsError)) return frame.onFatal(error)
    process.stderr.write(`${error.message}\n`)
    process.exitCode = ProgramExit.Settings
  }
}

/** Path of the settings file; undefined when there is nothing to run. */
function readSettingsPath (name: string): string | undefined {
  const cli = cac(name)
  cli.option('--settings <file>', 'Settings of this host, in TOML')
  cli.help()
  cli.version(productVersion())
  const { options } = cli.parse()
  if (options.help === true || options.version === true) return undefined
  if (typeof options.settings === 'string') return options.settings
  process.stderr.write(`${name}: --settings FILE is required\n`)
  process.exitCode = ProgramExit.Settings
  return undefined
}

/** What a program has before its settings are known. */
interface ProgramFrame {
  logger: Logger
  life: ProgramLife
  /** Adds the host to the log lines that follow, and counts lines that are left out. */
  know: (hostId: string, metrics: Metrics) => void
  onFatal: (error: unknown) => void
}

function createFrame<Settings extends HostSettings> ({ name, eventCatalogue, brokenInvariantEvent }: ProgramDescription<Settings>): ProgramFrame {
  let metrics: Metrics | undefined
  const onDropped = (reason: string): void => metrics?.count(MetricName.LogLinesLeftOut, { reason })
  const output = new LogOutput({ stream: process.stderr, clock: systemClock, onDropped })
  output.install()
  const context: LogFields = { program: name }
  const logger = createLogger({ ...eventCatalogue, ...programEventCatalogue }, context, output.budget)
  const onFatal = (error: unknown): void => {
    logger.event(brokenInvariantEvent, { error: error instanceof Error ? error.stack : String(error), exitCode: ProgramExit.BrokenInvariant })
    process.exit(ProgramExit.BrokenInvariant)
  }
  const exit = (code: number): void => {
    output.flush(systemClock, systemClock.nowMs() + LOG_FLUSH_TIMEOUT_MS).then(() => process.exit(code), onFatal)
  }
  const life = new ProgramLife({ logger, exit, onHangup: () => logger.event(ProgramEvent.HangupIgnored) })
  const know = (hostId: string, known: Metrics): void => {
    context.hostId = hostId
    metrics = known
  }
  return { logger, life, know, onFatal }
}

/**
 * Settings of a host are written by people and their tools; a file that is written at
 * this moment is whole a little later.
 * @throws SettingsError naming the problem that lasts.
 */
async function readWholeSettings<Settings> (path: string, schema: z.ZodType<Settings>, startScope: Scope): Promise<Settings> {
  const watch = new SettingsWatch<Settings>({ path, clock: systemClock, check: text => checkSettings(path, text, schema), onProblem: () => {}, onUsable: () => {} })
  const scope = startScope.child('settings')
  const cancel = systemClock.callAt(systemClock.nowMs() + SETTINGS_WAIT_MS, () => scope.close('the settings cannot be used'))
  try {
    return await watch.next(scope)
  } catch (error) {
    if (startScope.isClosed || watch.problem === undefined) throw error
    throw new SettingsError(watch.problem)
  } finally {
    cancel()
  }
}

async function start<Settings extends HostSettings> (description: ProgramDescription<Settings>, settings: Settings, { logger, life, know, onFatal }: ProgramFrame): Promise<void> {
  const { hostId, dataCentre } = settings.host
  const metrics = settings.metrics ? statsdMetrics(parseAddress(settings.metrics.statsdAddress), { hostId, dataCentre }) : memoryMetrics()
  know(hostId, metrics)
  const onStopped = (): void => life.endPlannedStop()
  try {
    const program = await description.start(settings, { logger, metrics, onFatal, onStopped })
    life.started(() => { program.stop().then(onStopped, onFatal) })
  } catch (error) {
    onFatal(error)
  }
}
