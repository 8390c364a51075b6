/**
 * Signals and settings of the project's own programs: SIGHUP ended them at any time,
 * SIGTERM during their start too, without a line.
 */
import test, { type ExecutionContext } from 'ava'
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { ControlEvent } from '../../src/control/controlEvents.js'
import { EntryEvent } from '../../src/entry/entryEvents.js'
import { IDENTITY_FILE } from '../../src/replication/storage/storageLoader.js'
import { ProgramEvent } from '../../src/utils/programEvents.js'
import { HeldPipe } from '../fixtures/deployedProgram.js'
import { freePort, loopbackHost } from '../fixtures/loopback.js'
import { until } from '../fixtures/until.js'

type Program = 'threaddrumEntry' | 'threaddrumControl'

const STARTED = { threaddrumEntry: EntryEvent.Started, threaddrumControl: ControlEvent.Started }

interface Running {
  child: ChildProcess
  err: string
  ended: Promise<unknown[]>
}

function folderOf (t: ExecutionContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'threaddrum-program-'))
  t.teardown(() => rmSync(folder, { recursive: true, force: true }))
  return folder
}

async function settingsOf (program: Program, folder: string): Promise<string> {
  const ip = loopbackHost()
  const [caller, peer, operator] = await Promise.all([freePort(), freePort(), freePort()])
  const host = { hostId: 'h1', dataCentre: 'hal-a', peerAddress: `${ip}:${peer}`, operatorAddress: `${ip}:${operator}` }
  if (program === 'threaddrumEntry') return stringify({ host: { ...host, callerAddress: `${ip}:${caller}` }, control: { peerAddresses: [`${ip}:1`] } })
  return stringify({ host, storage: { dataFolder: join(folder, 'data') }, cluster: { initialMembers: [{ hostId: 'h1', peerAddress: host.peerAddress }] } })
}

function run (t: ExecutionContext, program: Program, settingsFile: string): Running {
  const child = spawn(process.execPath, [`dist/src/bin/${program}.js`, '--settings', settingsFile], { stdio: ['ignore', 'ignore', 'pipe'] })
  const running: Running = { child, err: '', ended: once(child, 'close') }
  child.stderr.on('data', part => { running.err += String(part) })
  t.teardown(async () => {
    if (!t.passed) t.log(running.err)
    child.kill('SIGKILL')
    await running.ended
  })
  return running
}

function contextsOf ({ err }: Running, eventNumber: number): Array<Record<string, unknown>> {
  const lines = err.split('\n').slice(0, -1).filter(line => line.startsWith('{'))
  return lines.map(line => (JSON.parse(line) as { context: Record<string, unknown> }).context).filter(context => context.eventNumber === eventNumber)
}

async function logged (running: Running, eventNumber: number): Promise<void> {
  await until(() => contextsOf(running, eventNumber).length > 0 || running.child.exitCode !== null || running.child.signalCode !== null)
  if (contextsOf(running, eventNumber).length === 0) throw new Error(`ended before event ${eventNumber}: ${running.child.exitCode} ${running.child.signalCode}`)
}

for (const program of ['threaddrumEntry', 'threaddrumControl'] as const) {
  // Guards against the default effect of SIGHUP on a running program: it ended, without a planned stop and without a line.
  test(`should go on when SIGHUP arrives at ${program}, and stop as planned afterwards`, async t => {
    const folder = folderOf(t)
    const file = join(folder, 'host.toml')
    writeFileSync(file, await settingsOf(program, folder))
    const running = run(t, program, file)
    await logged(running, STARTED[program])
    running.child.kill('SIGHUP')
    await logged(running, ProgramEvent.HangupIgnored)
    running.child.kill('SIGTERM')
    await logged(running, ProgramEvent.Ended)
    running.child.kill('SIGTERM')
    t.deepEqual(await running.ended, [0, null])
    t.like(contextsOf(running, ProgramEvent.Ended)[0], { reason: 'planned_stop', signal: 'SIGTERM', exitCode: 0 })
  })

  // Guards against an error for settings that are being written: here, the reader gets a part, and the whole at its next look.
  test(`should start ${program} when its settings are written while it looks for them`, async t => {
    const folder = folderOf(t)
    const file = join(folder, 'host.toml')
    const text = await settingsOf(program, folder)
    const pipe = new HeldPipe(file, Buffer.from(text.slice(0, text.length / 2)))
    const running = run(t, program, file)
    const release = await pipe.reader()
    rmSync(file)
    writeFileSync(file, text)
    await release()
    await logged(running, STARTED[program])
    t.is(running.child.exitCode, null)
  })
}

// Guards against an end by a signal, without a line, while a control host reads its data.
test('should end a control host with code 0 and a line when it is stopped while it reads its data, and not by SIGHUP', async t => {
  const folder = folderOf(t)
  const file = join(folder, 'host.toml')
  writeFileSync(file, await settingsOf('threaddrumControl', folder))
  const earlier = run(t, 'threaddrumControl', file)
  await logged(earlier, ControlEvent.Started)
  earlier.child.kill('SIGKILL')
  await earlier.ended
  const identity = join(folder, 'data', IDENTITY_FILE)
  const pipe = new HeldPipe(identity, readFileSync(identity))
  const running = run(t, 'threaddrumControl', file)
  const release = await pipe.reader()
  running.child.kill('SIGHUP')
  await logged(running, ProgramEvent.HangupIgnored)
  running.child.kill('SIGTERM')
  await logged(running, ProgramEvent.Ended)
  await release()
  t.deepEqual(await running.ended, [0, null])
  t.like(contextsOf(running, ProgramEvent.Ended)[0], { reason: 'stopped_during_start', signal: 'SIGTERM', exitCode: 0 })
})
