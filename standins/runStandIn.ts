/** Entry point shared by all stand-in processes: reads settings, starts, and stops gracefully. */
import { parseArgs } from 'node:util'
import type { z } from 'zod'
import { SettingsError } from '../src/utils/errors.js'
import { readSettings } from '../src/utils/settings.js'

export interface RunningStandIn {
  address: string
  stop: () => Promise<void>
}

const EXIT_USAGE = 2

/** Reads `--settings FILE`, starts the stand-in, and stops it gracefully on SIGTERM or SIGINT. */
export async function runStandIn<S extends z.ZodType> (schema: S, start: (settings: z.output<S>) => Promise<RunningStandIn>): Promise<void> {
  const settings = readSettingsArgument(schema)
  if (settings === undefined) return
  const standIn = await start(settings)
  process.stdout.write(`listening on ${standIn.address}\n`)
  const stop = (): void => {
    standIn.stop().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

function readSettingsArgument<S extends z.ZodType> (schema: S): z.output<S> | undefined {
  const { values } = parseArgs({ options: { settings: { type: 'string' } } })
  try {
    if (values.settings === undefined) throw new SettingsError('--settings FILE is required')
    return readSettings(values.settings, schema)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    process.stderr.write(`${error.message}\n`)
    process.exitCode = EXIT_USAGE
    return undefined
  }
}
