/**
 * Settings of a running program that are cut short or absent between two changes.
 */
import test, { type ExecutionContext } from 'ava'
import { rmSync } from 'node:fs'
import { PlatformEvent } from '../../platform/platformEvents.js'
import { ProgramEvent } from '../../src/utils/programEvents.js'
import { buildDeployment, HostFiles, DeployedProgram } from '../fixtures/deployedProgram.js'

let deployment = ''
test.before(() => { deployment = buildDeployment() })
test.after.always(() => rmSync(deployment, { recursive: true, force: true }))

async function running (t: ExecutionContext): Promise<{ program: DeployedProgram, files: HostFiles }> {
  const files = await HostFiles.create(t)
  files.write(files.text())
  const program = new DeployedProgram(t, deployment, 'edge', files.settingsFile)
  await program.logged(PlatformEvent.Started)
  files.write(files.changedText('127.0.0.1:2'))
  return { program, files }
}

function seedsOf (program: DeployedProgram): unknown[] {
  return program.linesOf(PlatformEvent.Reloaded).map(({ context }) => context.seeds)
}

// Guards against a cut between two tables that is applied as if the rest were left to its defaults.
test('should keep its settings while the changed ones are cut short or absent, and apply them once they are whole', async t => {
  const { program, files } = await running(t)
  await program.logged(PlatformEvent.Reloaded)
  const whole = files.changedText('127.0.0.1:3')
  files.write(whole.slice(0, whole.lastIndexOf('[')))
  program.signal('SIGHUP')
  t.regex(String((await program.logged(PlatformEvent.ReloadFailed)).context.error), /end: .*missing/)
  files.remove()
  program.signal('SIGHUP')
  t.regex(String((await program.logged(PlatformEvent.ReloadFailed, 2)).context.error), /cannot be read: ENOENT/)
  t.is(program.linesOf(PlatformEvent.Reloaded).length, 1)
  files.write(whole)
  await program.logged(PlatformEvent.Reloaded, 2)
  t.deepEqual(seedsOf(program), [['127.0.0.1:2'], ['127.0.0.1:3']])
  t.is(program.end, undefined)
})

// Guards against a problem that is told over and over, or of which the end is not told.
test('should tell a problem of changed settings once, and that it is over when the same settings are back', async t => {
  const { program, files } = await running(t)
  await program.logged(PlatformEvent.Reloaded)
  for (let cut = 1; cut <= 2; cut++) {
    files.remove()
    await program.signalUntil('SIGHUP', () => program.linesOf(PlatformEvent.ReloadFailed).length === cut)
    files.write(files.changedText('127.0.0.1:2'))
    await program.logged(ProgramEvent.SettingsUsable, cut)
  }
  t.is(program.linesOf(PlatformEvent.ReloadFailed).length, 2)
  t.deepEqual(seedsOf(program), [['127.0.0.1:2']])
})

// Guards against an end with code 70 for ports that cannot be, which passed the check.
test('should keep its settings when the changed ones name internal ports that cannot be', async t => {
  const { program, files } = await running(t)
  await program.logged(PlatformEvent.Reloaded)
  files.write(files.text({ cluster: { seedAddresses: ['127.0.0.1:3'], internalPorts: [70_000, 7_735] } }))
  t.regex(String((await program.logged(PlatformEvent.ReloadFailed)).context.error), /cluster\.internalPorts\.0: .*\(value: 70000\)/)
  files.write(files.changedText('127.0.0.1:4'))
  await program.logged(PlatformEvent.Reloaded, 2)
  t.deepEqual(seedsOf(program), [['127.0.0.1:2'], ['127.0.0.1:4']])
  t.is(program.end, undefined)
})
