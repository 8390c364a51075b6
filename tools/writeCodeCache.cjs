/**
 * Writes the V8 code cache of a bundle. Runs the program without settings, so
 * that it exits with an error once all its modules are evaluated, and saves the
 * code that V8 has compiled by then. Must run under the Node.js flags with which
 * the deployment starts the program.
 */
'use strict'
const { compileBundle, writeCodeCache } = require('../platform/compileBundle.cjs')

const name = process.argv[2] ?? ''
const { script, run } = compileBundle(name)
process.on('exit', () => {
  writeCodeCache(name, script.createCachedData())
  process.exitCode = 0
})
run()
