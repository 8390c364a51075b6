/**
 * First step of `npm start` and `npm test`: installs the locked packages if they
 * are missing, and builds. Plain JavaScript, because it runs before the
 * TypeScript compiler is installed.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, rmSync } from 'node:fs'

function run (command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 'inherit', 'inherit'] })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

if (!existsSync('node_modules')) run('npm', ['ci'])
// A clean build, because ava would still run the output of test files that were deleted.
rmSync('dist', { recursive: true, force: true })
run('npx', ['tsc', '-p', '.'])
