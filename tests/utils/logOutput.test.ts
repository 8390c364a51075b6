import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, openSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const program = fileURLToPath(new URL('../fixtures/programs/talkativeProgram.js', import.meta.url))

interface Report {
  roundsCount: number
  leftOutCount: number
  memoryBytes: number
}

/** Runs the program; `disturb` may interfere with the reading end of its output. */
async function runWith (disturb: (stdout: NodeJS.ReadableStream & { destroy: () => void }) => void): Promise<{ exitCode: number | null, report: Report }> {
  const child = spawn(process.execPath, [program], { stdio: ['ignore', 'pipe', 'pipe'] })
  disturb(child.stdout)
  let text = ''
  child.stderr.on('data', (chunk: Buffer) => { text += chunk.toString() })
  // The process may exit before all of its output has been read.
  const [[exitCode]] = await Promise.all([once(child, 'exit') as Promise<[number | null]>, once(child.stderr, 'end')])
  return { exitCode, report: JSON.parse(text) as Report }
}

test('should continue its work in bounded memory when the reader of the log has stalled', async t => {
  const { exitCode, report } = await runWith(() => {})
  t.is(exitCode, 0)
  t.is(report.roundsCount, 400)
  t.true(report.leftOutCount > 15_000, `${report.leftOutCount} lines dropped`)
  t.true(report.memoryBytes < 1024 * 1024, `${report.memoryBytes} bytes pending`)
})

test('should continue its work when the reader of the log has closed the pipe', async t => {
  const { exitCode, report } = await runWith(stdout => stdout.destroy())
  t.is(exitCode, 0)
  t.is(report.roundsCount, 400)
})

// The library's own listener threw every error of standard output but a closed pipe: a full log disk ended each program at its first line.
test('should continue its work when the log cannot be written', async t => {
  const full = openSync('/dev/full', 'w')
  t.teardown(() => closeSync(full))
  const child = spawn(process.execPath, [program], { stdio: ['ignore', full, 'ignore'] })
  t.deepEqual(await once(child, 'exit'), [0, null])
})
