/** `threaddrum check`: checks files without sending or starting anything. */
import type { z } from 'zod'
import { SettingsError } from '../utils/errors.js'
import { readSettings } from '../utils/settings.js'
import { ExitCode } from './exitCode.js'
import type { Output } from './output.js'
import { readResourceFile } from './resourceFile.js'

/** What a file may be checked as. */
export enum CheckedAs {
  Entry = 'entry',
  Control = 'control',
  /** A process of the fleet: edge, control or store on the users' platform. */
  FleetHost = 'fleet-host',
  Resources = 'resources'
}

/** Schemas of the programs' settings, handed in because this folder does not know the programs. */
export type SettingsSchemas = Record<Exclude<CheckedAs, CheckedAs.Resources>, z.ZodType>

export function runCheck (output: Output, schemas: SettingsSchemas, checkedAs: CheckedAs, files: string[]): ExitCode {
  let exitCode = ExitCode.Done
  for (const file of files) {
    try {
      if (checkedAs === CheckedAs.Resources) readResourceFile(file)
      else readSettings(file, schemas[checkedAs])
      output.print(`${file}: ok`)
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error
      output.error(error.message)
      exitCode = ExitCode.Usage
    }
  }
  return exitCode
}
