/**
 * Settings that are read while they are written. Seen: programs ended with code 2
 * when their settings file was cut short at the start, although it was whole 150 ms
 * later; and as all bounds have defaults, a file cut between two tables was taken
 * for whole.
 */
import test, { type ExecutionContext } from 'ava'
import { mkdirSync, readFileSync, rmdirSync, rmSync } from 'node:fs'
import { PlatformEvent } from '../../platform/platformEvents.js'
import { fleetHostSettingsSchema, type ProgramName } from '../../src/fleet/fleetHostSettings.js'
import { SettingsError } from '../../src/utils/errors.js'
import { ProgramEvent } from '../../src/utils/programEvents.js'
import { checkSettings } from '../../src/utils/settings.js'
import { buildDeployment, HostFiles, DeployedProgram } from '../fixtures/deployedProgram.js'

const PROGRAMS = ['edge', 'control', 'store'] as const

let deployment = ''
test.before(() => { deployment = buildDeployment() })
test.after.always(() => rmSync(deployment, { recursive: true, force: true }))

function start (t: ExecutionContext, name: ProgramName, files: HostFiles): DeployedProgram {
  return new DeployedProgram(t, deployment, name, files.settingsFile)
}

/** The text without its last table, as a writer may have left it between two writes. */
function cutAtLastTable (text: string): string {
  return text.slice(0, text.lastIndexOf('['))
}

async function assertGoesOn (t: ExecutionContext, program: DeployedProgram, files: HostFiles): Promise<void> {
  await program.logged(ProgramEvent.SettingsUsable)
  await program.logged(PlatformEvent.Started)
  files.write(files.changedText('127.0.0.1:2'))
  t.deepEqual((await program.logged(PlatformEvent.Reloaded)).context.seeds, ['127.0.0.1:2'])
  t.is(program.end, undefined)
  t.is(program.linesOf(ProgramEvent.SettingsUnusable).length, 1)
}

for (const name of PROGRAMS) {
  // Guards against an end with code 2 when the settings are cut within a line at the start: 36 such ends were seen.
  test(`should let ${name} wait for settings that are cut short when it starts`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text().slice(0, 100))
    const program = start(t, name, files)
    t.regex(String((await program.logged(ProgramEvent.SettingsUnusable)).context.problem), /host\.toml:\d+:\d+: /)
    files.write(files.text())
    await assertGoesOn(t, program, files)
  })

  // Guards against settings cut between two tables, which parse and were taken for whole.
  test(`should let ${name} wait for the end of settings that are cut between two tables when it starts`, async t => {
    const files = await HostFiles.create(t)
    files.write(cutAtLastTable(files.text()))
    const program = start(t, name, files)
    t.regex(String((await program.logged(ProgramEvent.SettingsUnusable)).context.problem), /host\.toml: end: .*missing/)
    files.write(files.text())
    await assertGoesOn(t, program, files)
  })

  // Guards against an end with code 2 when the settings file is not there yet.
  test(`should let ${name} wait for a settings file that is absent when it starts`, async t => {
    const files = await HostFiles.create(t)
    const program = start(t, name, files)
    t.regex(String((await program.logged(ProgramEvent.SettingsUnusable)).context.problem), /host\.toml: cannot be read: ENOENT/)
    files.write(files.text())
    await assertGoesOn(t, program, files)
  })
}

// Guards against an end with code 2 for a value that the platform corrects in its next version of the file.
test('should wait for settings whose value is invalid, and name file, key and value', async t => {
  const files = await HostFiles.create(t)
  files.write(files.text({ listen: { callers: 'nowhere' } }))
  const program = start(t, 'edge', files)
  t.regex(String((await program.logged(ProgramEvent.SettingsUnusable)).context.problem), /host\.toml: listen\.callers: .*\(value: "nowhere"\)/)
  files.write(files.text())
  await assertGoesOn(t, program, files)
})

// Guards against an end with code 70 for settings that lack what the program of this host needs.
test('should wait for settings that lack what its program needs', async t => {
  for (const [name, table, key] of [['edge', 'listen', 'callers'], ['control', 'listen', 'control'], ['store', 'host', 'dataFolder']] as const) {
    const files = await HostFiles.create(t)
    files.write(files.text().split('\n').filter(line => !line.startsWith(`${key} = "`)).join('\n'))
    const program = start(t, name, files)
    t.regex(String((await program.logged(ProgramEvent.SettingsUnusable)).context.problem), new RegExp(`host\\.toml: ${table}\\.${key}: missing`))
    files.write(files.text())
    await assertGoesOn(t, program, files)
  }
})

// Guards against an end with code 2 for a path that can't be read for a while.
test('should wait while the settings cannot be read', async t => {
  const files = await HostFiles.create(t)
  mkdirSync(files.settingsFile)
  const program = start(t, 'edge', files)
  t.regex(String((await program.logged(ProgramEvent.SettingsUnusable)).context.problem), /host\.toml: cannot be read: EISDIR/)
  rmdirSync(files.settingsFile)
  files.write(files.text())
  await program.logged(PlatformEvent.Started)
  t.is(program.end, undefined)
})

// Guards against a program that waits for settings and cannot be stopped, or not with code 0 and a line.
test('should end with code 0 and a line when it is stopped while it waits for settings, and not by SIGHUP', async t => {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    const files = await HostFiles.create(t)
    const program = start(t, 'edge', files)
    await program.logged(ProgramEvent.SettingsUnusable)
    program.signal('SIGHUP')
    await program.logged(ProgramEvent.HangupDuringStart)
    program.signal(signal)
    t.deepEqual(await program.ended, { code: 0, signal: null })
    t.like(program.linesOf(ProgramEvent.Ended)[0]?.context, { reason: 'stopped_during_start', signal, exitCode: 0 })
  }
})

// Guards against a text that was cut anywhere and still counts as whole.
test('should not take settings for whole that are cut anywhere', async t => {
  const files = await HostFiles.create(t)
  const text = files.text().trimEnd()
  t.notThrows(() => checkSettings('host.toml', text, fleetHostSettingsSchema))
  for (let length = 0; length < text.length; length++) {
    t.throws(() => checkSettings('host.toml', text.slice(0, length), fleetHostSettingsSchema), { instanceOf: SettingsError }, `cut after ${length} signs`)
  }
})

// Guards against a template whose end is not its last line, after which cut files would count as whole.
test('should end the template and the example of the settings with their mark', t => {
  for (const path of ['platform/settings.toml', 'examples/fleet-host.toml']) {
    t.true(readFileSync(path, 'utf8').endsWith('\n[end]\nisWhole = true\n'), path)
  }
})
