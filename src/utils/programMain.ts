/**
 * Entry point that the programs on hosts share: command-line options, settings,
 * startup checks, logs, metrics, signals and exit codes.
 */
import { cac } from 'cac'
import type { z } from 'zod'
import { SettingsError } from './errors.js'
import { systemClock } from './clock.js'
import { createLogger, type EventCatalogue, type Logger } from './logger.js'
import { LogOutput } from './logOutput.js'
import { MetricName } from './metricNames.js'
import { memoryMetrics, type Metrics } from './metrics.js'
import { productVersion } from './productVersion.js'
import { parseAddress, readSettings } from './settings.js'
import { checkStartupRequirements, type StartupRequirements } from './startupChecks.js'
import { statsdMetrics } from './statsdMetrics.js'

export enum ProgramExit {
  Stopped = 0,
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
  try {
    const settings = readSettings(settingsFile, description.settingsSchema)
    await checkStartupRequirements(settingsFile, description.requirements(settings))
    await start(description, settings)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
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

async function start<Settings extends HostSettings> (description: ProgramDescription<Settings>, settings: Settings): Promise<void> {
  const { hostId, dataCentre } = settings.host
  const metrics = settings.metrics ? statsdMetrics(parseAddress(settings.metrics.statsdAddress), { hostId, dataCentre }) : memoryMetrics()
  const countDropped = (reason: string): void => metrics.count(MetricName.LogLinesLeftOut, { reason })
  const output = new LogOutput({ stream: process.stderr, clock: systemClock, onDropped: countDropped })
  output.install()
  const logger = createLogger(description.eventCatalogue, { program: description.name, hostId }, output.budget)
  const onFatal = (error: unknown): void => {
    logger.event(description.brokenInvariantEvent, { error: error instanceof Error ? error.stack : String(error) })
    process.exit(ProgramExit.BrokenInvariant)
  }
  const onStopped = (): void => process.exit(ProgramExit.Stopped)
  process.on('uncaughtException', onFatal)
  try {
    const program = await description.start(settings, { logger, metrics, onFatal, onStopped })
    stopOnSignals(() => { program.stop().then(onStopped, onFatal) })
  } catch (error) {
    onFatal(error)
  }
}

/** The handlers stay: without them, a second signal would end the process in the middle of its planned stop. */
function stopOnSignals (stop: () => void): void {
  let isStopping = false
  const stopOnce = (): void => {
    if (isStopping) return
    isStopping = true
    stop()
  }
  process.on('SIGTERM', stopOnce)
  process.on('SIGINT', stopOnce)
}
