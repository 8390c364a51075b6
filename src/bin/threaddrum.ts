#!/usr/bin/env node
/** threaddrum: the operators' command. */
import { runCommandLine } from '../cli/commandLine.js'
import { processOutput } from '../cli/output.js'
import { controlSettingsSchema } from '../control/controlSettings.js'
import { entrySettingsSchema } from '../entry/entrySettings.js'
import { productVersion } from '../utils/productVersion.js'

process.exitCode = await runCommandLine(process.argv.slice(2), {
  version: productVersion(),
  output: processOutput,
  settingsSchemas: { entry: entrySettingsSchema, control: controlSettingsSchema },
  environment: process.env
})
