/**
 * Writes the code cache of a bundle: runs the program without settings, which
 * it refuses once all its modules have run, and keeps what V8 compiled until
 * then. Has to run under the flags that the program is started with.
 */
'use strict'
const { writeFileSync } = require('node:fs')
const { codeCachePath, compileBundle } = require('../platform/compileBundle.cjs')

const name = process.argv[2] ?? ''
const { script, run } = compileBundle(name)
process.on('exit', () => {
  writeFileSync(codeCachePath(name), script.createCachedData())
  process.exitCode = 0
})
run()
