/**
 * Settings that are corrected while a program cannot start with those that it has read.
 */
import test, { type ExecutionContext } from 'ava'
import { rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { PlatformEvent } from '../../platform/platformEvents.js'
import type { ProgramName } from '../../src/fleet/fleetHostSettings.js'
import { ReplicationEvent } from '../../src/replication/replicationEvents.js'
import { ListenEvent } from '../../src/utils/listenEvents.js'
import { ProgramEvent } from '../../src/utils/programEvents.js'
import { buildDeployment, HostFiles, DeployedProgram } from '../fixtures/deployedProgram.js'

/** No address of this machine: documentation only, RFC 5737. */
const FOREIGN_IP = '192.0.2.1'

let deployment = ''
test.before(() => { deployment = buildDeployment() })
test.after.always(() => rmSync(deployment, { recursive: true, force: true }))

function start (t: ExecutionContext, name: ProgramName, files: HostFiles): DeployedProgram {
  return new DeployedProgram(t, deployment, name, files.settingsFile)
}

/** Corrects the settings, and checks that the program ends for them. */
async function assertEnds (t: ExecutionContext, files: HostFiles, program: DeployedProgram, key: string): Promise<void> {
  files.write(files.text())
  program.signal('SIGHUP')
  const line = await program.logged(ProgramEvent.Ended)
  t.like(line.context, { reason: 'changed_settings', exitCode: 0, changedKeys: [key] })
  t.deepEqual(await program.ended, { code: 0, signal: null })
  t.is(program.linesOf(PlatformEvent.Reloaded).length, 0)
}

/** Corrects the settings, and checks that the program ends for them and starts with them. */
async function assertCorrectedSettingsCount (t: ExecutionContext, name: ProgramName, files: HostFiles, program: DeployedProgram, key: string): Promise<void> {
  await assertEnds(t, files, program, key)
  const next = start(t, name, files)
  await next.logged(PlatformEvent.Started)
  files.write(files.changedText('127.0.0.1:2'))
  await next.logged(PlatformEvent.Reloaded)
  t.is(next.end, undefined)
}

for (const [name, table, key, value] of [
  ['edge', 'listen', 'callers', `${FOREIGN_IP}:8161`],
  ['control', 'listen', 'control', `${FOREIGN_IP}:8166`]
] as const) {
  // Guards against a program that waits for ever for an address that its corrected settings no longer name.
  test(`should end ${name} for corrected settings while it waits for an address from ${table}.${key}`, async t => {
    const files = await HostFiles.create(t)
    files.write(files.text({ [table]: { [key]: value } }))
    const program = start(t, name, files)
    await program.logged(ListenEvent.Waiting)
    await assertCorrectedSettingsCount(t, name, files, program, `${table}.${key}`)
  })
}

/** Starts a program with an address that the host lacks, until it waits for its port for peers. */
async function waitingForPeers (t: ExecutionContext, name: ProgramName): Promise<{ files: HostFiles, program: DeployedProgram }> {
  const files = await HostFiles.create(t)
  files.write(files.text({ host: { ip: FOREIGN_IP } }))
  const program = start(t, name, files)
  for (let count = 1; (await program.logged(ListenEvent.Waiting, count)).context.listener !== 'peers';) count++
  return { files, program }
}

for (const name of ['control', 'store'] as const) {
  // Guards against a program that waits for ever for the address of a host that its corrected settings no longer name.
  test(`should end ${name} for a corrected host.ip while it waits for its port for peers`, async t => {
    const { files, program } = await waitingForPeers(t, name)
    await assertEnds(t, files, program, 'host.ip')
  })

  // Guards against ends with code 70 because the data folder was made for the address that was corrected.
  test(`should start ${name} with a corrected host.ip after it had waited for its port for peers`, async t => {
    const { files, program } = await waitingForPeers(t, name)
    await assertCorrectedSettingsCount(t, name, files, program, 'host.ip')
  })

  // Guards against a program that waits for ever for a data folder that its corrected settings no longer name.
  test(`should end ${name} for corrected settings while it waits for its data folder`, async t => {
    const files = await HostFiles.create(t)
    const file = `${files.settingsFile}.file`
    writeFileSync(file, '')
    files.write(files.text({ host: { dataFolder: join(file, 'data') } }))
    const program = start(t, name, files)
    await program.logged(ReplicationEvent.FolderUnusable)
    await assertCorrectedSettingsCount(t, name, files, program, 'host.dataFolder')
  })
}

// Guards against an end of a program that serves, and against a line that says a change is applied that is not.
test('should go on serving when settings change that only a start applies, and name their keys', async t => {
  const files = await HostFiles.create(t)
  files.write(files.text())
  const program = start(t, 'store', files)
  await program.logged(PlatformEvent.Started)
  files.write(files.changedText('127.0.0.1:2'))
  t.deepEqual((await program.logged(PlatformEvent.Reloaded)).context.notApplied, [])
  files.write(files.text({ bounds: { graceS: 3 }, cluster: { seedAddresses: ['127.0.0.1:3'] } }))
  t.like((await program.logged(PlatformEvent.Reloaded, 2)).context, { seeds: ['127.0.0.1:3'], notApplied: ['bounds.graceS'] })
  t.is(program.end, undefined)
})

// Guards against an end for settings that change while a program starts and keep it from nothing.
test('should end no program that starts for changed settings that name the same addresses and folder', async t => {
  const files = await HostFiles.create(t)
  files.write(files.text({ listen: { callers: `${FOREIGN_IP}:8161` } }))
  const program = start(t, 'edge', files)
  await program.logged(ListenEvent.Waiting)
  files.write(files.text({ listen: { callers: `${FOREIGN_IP}:8161` }, bounds: { graceS: 3 } }))
  program.signal('SIGHUP')
  t.deepEqual((await program.logged(PlatformEvent.Reloaded)).context.notApplied, ['bounds.graceS'])
  t.is(program.end, undefined)
})
