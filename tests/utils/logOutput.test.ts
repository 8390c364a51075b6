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
  const [exitCode] = await once(child, 'exit') as [number | null]
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
