#!/usr/bin/env node
/** threaddrum: the operators' command. */
import { CheckedAs } from '../cli/checkCommand.js'
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
    [CheckedAs.Entry]: entrySettingsSchema,
    [CheckedAs.Control]: controlSettingsSchema,
    [CheckedAs.FleetHost]: fleetHostSettingsSchema
  },
  environment: process.env
})
