#!/usr/bin/env node
/**
 * threaddrum-control: a control host.
 */
import { cac } from 'cac'
import { controlEventCatalogue, ControlEvent } from '../control/controlEvents.js'
import { ControlProgram } from '../control/controlProgram.js'
import { controlSettingsSchema, type ControlSettings } from '../control/controlSettings.js'
import { createLedgers } from '../control/ledgers/createLedgers.js'
import { SettingsError, StorageError } from '../utils/errors.js'
import { createLogger, writeLogsTo } from '../utils/logger.js'
import { memoryMetrics, statsdMetrics } from '../utils/metrics.js'
import { parseAddress, readSettings } from '../utils/settings.js'

const EXIT_SETTINGS = 2
const EXIT_BROKEN_INVARIANT = 70

async function run (settings: ControlSettings): Promise<void> {
  const { hostId, dataCentre } = settings.host
  const logger = createLogger(controlEventCatalogue, { program: 'threaddrum-control', hostId })
  const metrics = settings.metrics ? statsdMetrics(parseAddress(settings.metrics.statsdAddress), { hostId, dataCentre }) : memoryMetrics()
  const onFatal = (error: unknown): void => {
    logger.event(ControlEvent.BrokenInvariant, { error: error instanceof Error ? error.stack : String(error) })
    process.exit(EXIT_BROKEN_INVARIANT)
  }
  process.on('uncaughtException', onFatal)
  const program = await ControlProgram.start({ settings, createLedgers, logger, metrics, onFatal }).catch((error: unknown) => {
    if (!(error instanceof StorageError)) throw error
    return onFatal(error)
  })
  const stop = (): void => {
    program?.stop().then(() => process.exit(0)).catch(onFatal)
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

function readControlSettings (path: string): ControlSettings | undefined {
  try {
    return readSettings(path, controlSettingsSchema)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    process.stderr.write(`${error.message}\n`)
    return undefined
  }
}

const cli = cac('threaddrum-control')
cli.option('--settings <file>', 'Settings of this host, in TOML')
cli.help()
const { options } = cli.parse()
if (!options.help) {
  writeLogsTo(line => process.stderr.write(line))
  const path = typeof options.settings === 'string' ? options.settings : ''
  if (path === '') process.stderr.write('threaddrum-control: --settings FILE is required\n')
  const settings = path === '' ? undefined : readControlSettings(path)
  if (settings) await run(settings)
  else process.exitCode = EXIT_SETTINGS
}
