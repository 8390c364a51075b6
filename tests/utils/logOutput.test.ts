import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const program = fileURLToPath(new URL('../fixtures/programs/talkativeProgram.js', import.meta.url))

interface Report {
  roundsCount: number
  leftOutCount: number
  memoryBytes: number
}

/** Runs the program with a reader that does something else than read. */
async function runWith (disturb: (stdout: NodeJS.ReadableStream & { destroy: () => void }) => void): Promise<{ exitCode: number | null, report: Report }> {
  const child = spawn(process.execPath, [program], { stdio: ['ignore', 'pipe', 'pipe'] })
  disturb(child.stdout)
  let text = ''
  child.stderr.on('data', (chunk: Buffer) => { text += chunk.toString() })
  // The process may be gone before all that it wrote has been read.
  const [[exitCode]] = await Promise.all([once(child, 'exit') as Promise<[number | null]>, once(child.stderr, 'end')])
  return { exitCode, report: JSON.parse(text) as Report }
}

test('should go on with its work when whoever reads the log has stopped, in bounded memory', async t => {
  const { exitCode, report } = await runWith(() => {})
  t.is(exitCode, 0)
  t.is(report.roundsCount, 400)
  t.true(report.leftOutCount > 15_000, `${report.leftOutCount} lines left out`)
  t.true(report.memoryBytes < 1024 * 1024, `${report.memoryBytes} bytes wait`)
})

test('should go on with its work when whoever reads the log has gone', async t => {
  const { exitCode, report } = await runWith(stdout => stdout.destroy())
  t.is(exitCode, 0)
  t.is(report.roundsCount, 400)
})
