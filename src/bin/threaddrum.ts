#!/usr/bin/env node
/** `threaddrum`: the command-line tool of operators. */
import { FileKind } from '../cli/checkCommand.js'
import { runCommandLine } from '../cli/commandLine.js'
import { processOutput } from '../cli/output.js'
import { controlSettingsSchema } from '../control/controlSettings.js'
import { entrySettingsSchema } from '../entry/entrySettings.js'
import { fleetHostSettingsSchema } from '../fleet/fleetHostSettings.js'
import { productVersion } from '../utils/productVersion.js'

process.exitCode = await runCommandLine(process.argv.slice(2), {
  version: productVersion(),
  output: processOutput,
  settingsSchemas: {
    [FileKind.Entry]: entrySettingsSchema,
    [FileKind.Control]: controlSettingsSchema,
    [FileKind.FleetHost]: fleetHostSettingsSchema
  },
  environment: process.env
})
