/**
 * What `npm start` and `npm test` do first: install the locked packages when
 * they are missing, and build. Plain JavaScript, because it
 * runs before the compiler is there.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, rmSync } from 'node:fs'

function run (command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 'inherit', 'inherit'] })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

if (!existsSync('node_modules')) run('npm', ['ci'])
// Built afresh: output whose source is gone would still be run as a test.
rmSync('dist', { recursive: true, force: true })
run('npx', ['tsc', '-p', '.'])
