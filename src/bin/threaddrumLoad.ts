#!/usr/bin/env node
/** `threaddrum-load`: generates load and runs experiments against a running system. */
import { createRequire } from 'node:module'
import { runLoadCommand } from '../load/loadCommand.js'
import { Scope } from '../utils/scope.js'

const { version } = createRequire(import.meta.url)('../../../package.json') as { version: string }

process.exitCode = await runLoadCommand(process.argv, {
  scope: new Scope('threaddrum-load'),
  version,
  print: line => process.stdout.write(`${line}\n`),
  printError: line => process.stderr.write(`${line}\n`)
})
