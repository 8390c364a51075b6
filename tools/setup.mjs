/**
 * What `npm start` and `npm test` do first: install the locked packages when
 * they are missing, and build what has changed. Plain JavaScript, because it
 * runs before the compiler is there.
 */
import { spawnSync } from 'node:child_process'
import { existsSync } from 'node:fs'

function run (command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 'inherit', 'inherit'] })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

if (!existsSync('node_modules')) run('npm', ['ci'])
run('npx', ['tsc', '-p', '.'])
