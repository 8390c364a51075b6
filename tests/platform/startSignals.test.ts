/**
 * Signals that meet a start. Seen: SIGHUP, which tells that the settings have
 * changed, ended programs that were still starting, without a log line, because
 * the handlers stood behind the whole start; at a store that includes reading its data.
 */
import test, { type ExecutionContext } from 'ava'
import { readFileSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { PlatformEvent } from '../../platform/platformEvents.js'
import { BatchEvent } from '../../src/batches/batchEvents.js'
import { ControlEvent } from '../../src/control/controlEvents.js'
import { ProgramEvent } from '../../src/utils/programEvents.js'
import { ReplicationEvent } from '../../src/replication/replicationEvents.js'
import { IDENTITY_FILE } from '../../src/replication/storage/storageLoader.js'
import type { ProgramName } from '../../src/fleet/fleetHostSettings.js'
import { buildDeployment, deploymentWithPipe, HeldPipe, HostFiles, DeployedProgram } from '../fixtures/deployedProgram.js'

const PROGRAMS = ['edge', 'control', 'store'] as const
const PROGRAMS_WITH_DATA = ['control', 'store'] as const
type ProgramWithData = typeof PROGRAMS_WITH_DATA[number]
/** Told once data was read. */
const STARTED_WITH_DATA = { control: ControlEvent.Started, store: BatchEvent.Started }
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const

let deployment = ''
test.before(() => { deployment = buildDeployment() })
test.after.always(() => rmSync(deployment, { recursive: true, force: true }))

/** Held before its bundle is read; the returned function lets it go on. */
async function heldAtLaunch (t: ExecutionContext, name: ProgramName, files: HostFiles): Promise<{ program: DeployedProgram, release: () => Promise<void> }> {
  const { root, pipe } = deploymentWithPipe(deployment, name)
  t.teardown(() => rmSync(root, { recursive: true, force: true }))
  const program = new DeployedProgram(t, root, name, files.settingsFile)
  return { program, release: await pipe.reader() }
}

/** Held while it reads the data of an earlier process; the returned function lets it go on. */
async function heldAtData (t: ExecutionContext, name: ProgramWithData, files: HostFiles): Promise<{ program: DeployedProgram, release: () => Promise<void>, pipe: HeldPipe }> {
  const earlier = new DeployedProgram(t, deployment, name, files.settingsFile)
  await earlier.logged(STARTED_WITH_DATA[name])
  earlier.signal('SIGKILL')
  await earlier.ended
  const identity = join(files.dataFolder, IDENTITY_FILE)
  const pipe = new HeldPipe(identity, readFileSync(identity))
  const program = new DeployedProgram(t, deployment, name, files.settingsFile)
  return { program, release: await pipe.reader(), pipe }
}

/** Waits until the start has ended, which is when changed settings are applied. */
async function appliesChanges (program: DeployedProgram, files: HostFiles, seed: string): Promise<void> {
  files.write(files.changedText(seed))
  const line = await program.logged(PlatformEvent.Reloaded, program.linesOf(PlatformEvent.Reloaded).length + 1)
  if (String(line.context.seeds) !== seed) throw new Error(`applied ${String(line.context.seeds)} instead of ${seed}`)
}

for (const name of PROGRAMS) {
  // Guards against a default effect of SIGHUP while the code of a program is read: 21 ends by SIGHUP were seen.
  test(`should start ${name} although SIGHUP arrives before its code is read`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text())
    const { program, release } = await heldAtLaunch(t, name, files)
    program.signal('SIGHUP')
    await release()
    await program.logged(PlatformEvent.Started)
    await appliesChanges(program, files, '127.0.0.1:2')
    t.is(program.end, undefined)
  })

  // Guards against any moment of a start in which SIGHUP still has its default effect.
  test(`should start ${name} although SIGHUP arrives again and again`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text())
    const { program, release } = await heldAtLaunch(t, name, files)
    await release()
    await program.signalUntil('SIGHUP', () => program.linesOf(PlatformEvent.Started).length > 0)
    files.write(files.changedText('127.0.0.1:2'))
    await program.signalUntil('SIGHUP', () => program.linesOf(PlatformEvent.Reloaded).length > 0)
    t.is(program.end, undefined)
  })

  for (const signal of STOP_SIGNALS) {
    // Guards against an end without a line: on-call could not tell a stop during a start from a crash.
    test(`should end ${name} with code 0 and a line when ${signal} arrives before its code is read`, async t => {
      const files = await HostFiles.create(t)
      files.write(files.text())
      const { program, release } = await heldAtLaunch(t, name, files)
      program.signal(signal)
      await release()
      t.deepEqual(await program.ended, { code: 0, signal: null })
      t.like(program.linesOf(ProgramEvent.Ended)[0]?.context, { reason: 'stopped_during_start', signal, exitCode: 0 })
    })
  }

  // Guards against a planned stop, or an end during the start, that a second signal breaks off.
  test(`should end ${name} with code 0 when SIGTERM and SIGHUP arrive again and again from the start on`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text())
    const program = new DeployedProgram(t, deployment, name, files.settingsFile)
    await program.logged(PlatformEvent.Started)
    const hangups = program.signalUntil('SIGHUP', () => false)
    await program.signalUntil('SIGTERM', () => false)
    await hangups
    t.deepEqual(await program.ended, { code: 0, signal: null })
    t.is(program.linesOf(ProgramEvent.Ended).length, 1)
  })

  // Guards against a planned stop of which the log does not tell how it ended.
  test(`should tell how the planned stop of ${name} ended`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text())
    const program = new DeployedProgram(t, deployment, name, files.settingsFile)
    await program.logged(PlatformEvent.Started)
    await appliesChanges(program, files, '127.0.0.1:2')
    program.signal('SIGTERM')
    t.deepEqual(await program.ended, { code: 0, signal: null })
    t.like(program.linesOf(ProgramEvent.Ended)[0]?.context, { reason: 'planned_stop', signal: 'SIGTERM', exitCode: 0 })
    t.is(program.linesOf(PlatformEvent.Stopping).length, 1)
  })
}

for (const name of PROGRAMS_WITH_DATA) {
  // Guards against a default effect of SIGHUP while data is read, which takes longest of all phases of a start.
  test(`should start ${name} although SIGHUP arrives while it reads its data`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text())
    const { program, release } = await heldAtData(t, name, files)
    program.signal('SIGHUP')
    await release()
    await appliesChanges(program, files, '127.0.0.1:2')
    t.is(program.end, undefined)
    t.is(program.linesOf(ProgramEvent.HangupDuringStart).length, 1)
  })

  // Guards against an end by SIGTERM without a line while data is read, and against lost data after it.
  test(`should end ${name} with code 0 and a line when SIGTERM arrives while it reads its data, and start again from that data`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text())
    const { program, release, pipe } = await heldAtData(t, name, files)
    program.signal('SIGTERM')
    await program.logged(ProgramEvent.Ended)
    await release()
    t.deepEqual(await program.ended, { code: 0, signal: null })
    t.like(program.linesOf(ProgramEvent.Ended)[0]?.context, { reason: 'stopped_during_start', signal: 'SIGTERM', exitCode: 0 })
    pipe.restore()
    const next = new DeployedProgram(t, deployment, name, files.settingsFile)
    await next.logged(STARTED_WITH_DATA[name])
    t.deepEqual(next.linesOf(ReplicationEvent.StorageDamaged), [])
  })

  // Guards against a change between the first reading of the settings and the watch for changes: it was never applied.
  test(`should apply settings of ${name} that change while it reads its data`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text())
    const { program, release } = await heldAtData(t, name, files)
    await program.logged(PlatformEvent.Started)
    files.write(files.changedText('127.0.0.1:3'))
    await release()
    t.deepEqual((await program.logged(PlatformEvent.Reloaded)).context.seeds, ['127.0.0.1:3'])
    t.is(program.end, undefined)
  })

  // Guards against an end with code 70 when the settings file is absent at the moment in which the watch for changes begins.
  test(`should start ${name} although its settings file is gone when its data was read`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text())
    const { program, release } = await heldAtData(t, name, files)
    await program.logged(PlatformEvent.Started)
    files.remove()
    await release()
    await program.logged(PlatformEvent.ReloadFailed)
    await appliesChanges(program, files, '127.0.0.1:2')
    t.is(program.end, undefined)
  })
}
