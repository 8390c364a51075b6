/**
 * Runs ava, first all tests but those with crowds of clients, then these one at a time;
 * prints the result of each test and a closing line with the counts. Fails if a failing
 * test is not listed in KNOWN-RED.txt, if no test passed, or if ava fails without a
 * failing test.
 */
import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { Parser, type Result } from 'tap-parser'

/** Tests with crowds of clients do not count against it. */
const MAX_KNOWN_RED = 5
const CROWDS_PREFIX = 'crowds › '

interface KnownRed {
  title: string
  line: string
}

function readKnownRed (): KnownRed[] {
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.trim() !== '' && !line.startsWith('#'))
  const countedCount = lines.filter(line => !line.startsWith(CROWDS_PREFIX)).length
  if (countedCount > MAX_KNOWN_RED) throw new Error(`KNOWN-RED.txt lists ${countedCount} tests besides those with crowds; at most ${MAX_KNOWN_RED} are allowed`)
  return lines.map(line => ({ title: line.split('|')[0]?.trim() ?? '', line }))
}

function isListed (known: KnownRed[], name: string): boolean {
  return known.some(({ title }) => name === title || name.endsWith(` › ${title}`) || title.endsWith(` › ${name}`))
}

function showFailure (result: Result): void {
  const details = result.diag ? JSON.stringify(result.diag, null, 2) : ''
  process.stdout.write(`not ok ${result.name}\n${details}\n`)
}

interface Results {
  passed: Result[]
  failed: Result[]
  skipped: Result[]
}

/** Returns the exit code of ava. */
async function runAva (args: string[], runsCrowds: boolean, { passed, failed, skipped }: Results): Promise<number> {
  const child = spawn('npx', ['ava', '--tap', ...args], { stdio: ['ignore', 'pipe', 'inherit'], env: { ...process.env, TEST_CROWDS: runsCrowds ? '1' : '0' } })
  const parser = new Parser()
  parser.on('assert', (result: Result) => {
    if (result.skip || result.todo) skipped.push(result)
    else if (result.ok) passed.push(result)
    else failed.push(result)
    process.stdout.write(`${result.ok ? 'ok' : 'not ok'} ${result.name}\n`)
  })
  parser.on('comment', (comment: string) => process.stdout.write(comment))
  child.stdout.pipe(parser)
  return await new Promise<number>(resolve => child.on('close', code => resolve(code ?? 1)))
}

async function main (): Promise<number> {
  const known = readKnownRed()
  const args = process.argv.slice(2)
  const results: Results = { passed: [], failed: [], skipped: [] }
  // Named files are run as they are.
  const runs = args.length > 0 ? [process.env.TEST_CROWDS === '1'] : [false, true]
  let isExplained = true
  for (const runsCrowds of runs) {
    const failedCount = results.failed.length
    const exitCode = await runAva(args, runsCrowds, results)
    isExplained &&= exitCode === 0 || results.failed.length > failedCount
  }
  const { passed, failed, skipped } = results
  const unexpected = failed.filter(result => !isListed(known, result.name))
  for (const result of unexpected) showFailure(result)
  for (const { line } of known) process.stdout.write(`known red: ${line}\n`)
  process.stdout.write(`${passed.length} passed, ${unexpected.length} failed, ${skipped.length} skipped\n`)
  if (unexpected.length > 0) return 1
  return isExplained && passed.length > 0 ? 0 : 1
}

process.exitCode = await main()
