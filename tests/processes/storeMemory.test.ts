/**
 * Guards against store hosts that exceed the memory limit of their host while
 * they take or load a snapshot. If a snapshot encodes the whole state as one
 * value, a replica holds the state several times; all replicas take snapshots at
 * about the same log entry, so they are killed one after the other, and again
 * within two seconds of each restart, until no accepted batch can be read. A
 * store with this fault, and without a bound on its state, peaks at 255 MB with
 * 41 MB of texts, and at 218 MB after a start with them.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { parse } from 'smol-toml'
import type { StoreMemoryReport } from '../fixtures/programs/filledStoreProgram.js'

const program = fileURLToPath(new URL('../fixtures/programs/filledStoreProgram.js', import.meta.url))

/** Memory of the smallest store host in use. */
const HOST_MEMORY_BYTES = 230 * 1_000_000
/** 8,960 items with 41 MB of deflated text: the output of three trainers in two minutes, with a step of 160 items every five seconds and reruns. */
const BATCHES_COUNT = 56

/** The Node.js flags of the deployed store. */
function deployedFlags (): string[] {
  const deployment = parse(readFileSync('deploy/system.toml', 'utf8')) as { roles: { store: { run: string } } }
  return deployment.roles.store.run.split(' ').filter(word => word.startsWith('--'))
}

async function run (folder: string, batchesCount: number): Promise<StoreMemoryReport> {
  const child = spawn(process.execPath, [...deployedFlags(), program, folder, String(batchesCount)], { stdio: ['ignore', 'pipe', 'inherit'] })
  let text = ''
  child.stdout.on('data', (chunk: Buffer) => { text += chunk.toString() })
  const [[exitCode]] = await Promise.all([once(child, 'exit') as Promise<[number | null]>, once(child.stdout, 'end')])
  if (exitCode !== 0) throw new Error(`the store ended with ${String(exitCode)}`)
  return JSON.parse(text) as StoreMemoryReport
}

test('should stay within the memory of a store host while it holds a busy day and takes snapshots of it, and when it starts with that', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'threaddrum-store-memory-'))
  const filled = await run(folder, BATCHES_COUNT)
  t.log('while it was filled', filled)
  const started = await run(folder, 0)
  t.log('after a start', started)
  rmSync(folder, { recursive: true })
  t.is(started.resultsCount, filled.resultsCount)
  t.is(started.textsBytes, filled.textsBytes)
  t.true(filled.peakResidentBytes < HOST_MEMORY_BYTES, `${filled.peakResidentBytes} bytes resident while it was filled`)
  t.true(started.peakResidentBytes < HOST_MEMORY_BYTES, `${started.peakResidentBytes} bytes resident after a start`)
})
