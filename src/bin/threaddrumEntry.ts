#!/usr/bin/env node
/**
 * threaddrum-entry: an entry host.
 */
import { cac } from 'cac'
import { EntryEvent, entryEventCatalogue } from '../entry/entryEvents.js'
import { entrySettingsSchema, type EntrySettings } from '../entry/entrySettings.js'
import { rolloutEventCatalogue } from '../entry/rollouts/rolloutEvents.js'
import { startEntry } from '../entry/startEntry.js'
import { SettingsError } from '../utils/errors.js'
import { createLogger, writeLogsTo } from '../utils/logger.js'
import { memoryMetrics, statsdMetrics } from '../utils/metrics.js'
import { parseAddress, readSettings } from '../utils/settings.js'

const EXIT_SETTINGS = 2
const EXIT_BROKEN_INVARIANT = 70

async function run (settings: EntrySettings): Promise<void> {
  const { hostId, dataCentre } = settings.host
  const catalogue = { ...entryEventCatalogue, ...rolloutEventCatalogue }
  const logger = createLogger(catalogue, { program: 'threaddrum-entry', hostId })
  const metrics = settings.metrics ? statsdMetrics(parseAddress(settings.metrics.statsdAddress), { hostId, dataCentre }) : memoryMetrics()
  const onFatal = (error: unknown): void => {
    logger.event(EntryEvent.InvariantBroken, { error: error instanceof Error ? error.stack : String(error) })
    process.exit(EXIT_BROKEN_INVARIANT)
  }
  process.on('uncaughtException', onFatal)
  const program = await startEntry(settings, { logger, metrics, onFatal, onStopped: () => process.exit(0) })
  const stop = (): void => { program.stop().catch(onFatal) }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

function readEntrySettings (path: string): EntrySettings | undefined {
  try {
    return readSettings(path, entrySettingsSchema)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    process.stderr.write(`${error.message}\n`)
    return undefined
  }
}

const cli = cac('threaddrum-entry')
cli.option('--settings <file>', 'Settings of this host, in TOML')
cli.help()
const { options } = cli.parse()
if (!options.help) {
  writeLogsTo(line => process.stderr.write(line))
  const path = typeof options.settings === 'string' ? options.settings : ''
  if (path === '') process.stderr.write('threaddrum-entry: --settings FILE is required\n')
  const settings = path === '' ? undefined : readEntrySettings(path)
  if (settings) await run(settings)
  else process.exitCode = EXIT_SETTINGS
}
