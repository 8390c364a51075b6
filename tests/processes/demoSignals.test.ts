/** The demo is stopped at any time without leaving processes or files behind. */
import test, { type ExecutionContext } from 'ava'
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { until } from '../fixtures/until.js'

const MAX_LOG_CHARS = 1_500

interface Demo {
  child: ChildProcess
  /** All files of the demo are in here, and its path is among the arguments of all processes. */
  folder: string
  out: string
  ended: Promise<unknown[]>
}

function startDemo (t: ExecutionContext, args: string[]): Demo {
  const folder = mkdtempSync(join(tmpdir(), 'threaddrum-demo-'))
  const child = spawn(process.execPath, ['dist/demo/main.js', ...args], { stdio: ['ignore', 'pipe', 'inherit'], env: { ...process.env, TMPDIR: folder } })
  const demo: Demo = { child, folder, out: '', ended: once(child, 'close') }
  child.stdout.on('data', part => { demo.out += String(part) })
  t.teardown(async () => {
    if (!t.passed) t.log(demo.out, logsIn(folder))
    child.kill('SIGKILL')
    await demo.ended
    // The guardian ends what is left.
    await until(() => processesIn(folder).length === 0)
    rmSync(folder, { recursive: true, force: true })
  })
  return demo
}

/** The ends of the logs of all processes of the demo. */
function logsIn (folder: string): string {
  const logs = readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter(name => name.endsWith('.log'))
  return logs.map(name => `--- ${name}\n${readFileSync(join(folder, name), 'utf8').slice(-MAX_LOG_CHARS)}`).join('\n')
}

/** Ids of the processes that have the folder among their arguments. */
function processesIn (folder: string): string[] {
  return readdirSync('/proc').filter(name => {
    try {
      return /^\d+$/.test(name) && readFileSync(`/proc/${name}/cmdline`, 'utf8').includes(folder)
    } catch {
      return false
    }
  })
}

async function printed (demo: Demo, text: string): Promise<void> {
  await until(() => demo.out.includes(text) || demo.child.exitCode !== null || demo.child.signalCode !== null)
  if (!demo.out.includes(text)) throw new Error(`ended before "${text}": ${demo.child.exitCode} ${demo.child.signalCode}`)
}

function assertNothingLeft (t: ExecutionContext, { folder }: Demo): void {
  t.deepEqual(processesIn(folder), [])
  t.deepEqual(readdirSync(folder), [])
}

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  // Guards against an end by the signal, which killed the processes of the system and left its folder behind.
  test(`should stop the system when ${signal} arrives while it starts`, async t => {
    const demo = startDemo(t, ['--keep'])
    await printed(demo, 'starting three control hosts')
    demo.child.kill(signal)
    t.deepEqual(await demo.ended, [0, null])
    t.regex(demo.out, new RegExp(`stopped by ${signal} before all steps were done`))
    assertNothingLeft(t, demo)
  })
}

for (const signal of ['SIGTERM', 'SIGHUP'] as const) {
  // Guards against an end by SIGTERM or by a closed terminal, and against a second signal, which npm sends, that breaks off the stop.
  test(`should stop the running system as planned when ${signal} arrives, twice`, async t => {
    const demo = startDemo(t, ['--keep'])
    await printed(demo, 'the system runs until')
    demo.child.kill(signal)
    await printed(demo, 'stopping entry hosts')
    demo.child.kill(signal)
    t.deepEqual(await demo.ended, [0, null])
    t.regex(demo.out, /done\n$/)
    assertNothingLeft(t, demo)
  })
}

// Guards against a demo that was stopped before its checks and counts as done.
test('should not count as done when it is stopped early and is not to be kept', async t => {
  const demo = startDemo(t, [])
  await printed(demo, 'starting three control hosts')
  demo.child.kill('SIGTERM')
  t.deepEqual(await demo.ended, [1, null])
  assertNothingLeft(t, demo)
})
