/** `threaddrum check`: validates files without sending or starting anything. */
import type { z } from 'zod'
import { SettingsError } from '../utils/errors.js'
import { readSettings } from '../utils/settings.js'
import { ExitCode } from './exitCode.js'
import type { Output } from './output.js'
import { readResourceFile } from './resourceFile.js'

/** Kinds of files that can be checked. */
export enum FileKind {
  Entry = 'entry',
  Control = 'control',
  /** A process of the fleet: an edge, control or store host on the platform. */
  FleetHost = 'fleet-host',
  Resources = 'resources'
}

/** Schemas of the programs' settings, passed in because this folder does not import the programs. */
export type SettingsSchemas = Record<Exclude<FileKind, FileKind.Resources>, z.ZodType>

export function runCheck (output: Output, schemas: SettingsSchemas, kind: FileKind, files: string[]): ExitCode {
  let exitCode = ExitCode.Done
  for (const file of files) {
    try {
      if (kind === FileKind.Resources) readResourceFile(file)
      else readSettings(file, schemas[kind])
      output.print(`${file}: ok`)
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error
      output.error(error.message)
      exitCode = ExitCode.Usage
    }
  }
  return exitCode
}
