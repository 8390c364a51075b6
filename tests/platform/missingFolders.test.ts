/**
 * Programs whose data folder cannot be made when they start: each must wait, tell so,
 * and start once it can.
 */
import anyTest from 'ava'
import { rmSync, writeFileSync } from 'node:fs'
import { ReplicationEvent } from '../../src/replication/replicationEvents.js'
import { TestHost } from '../fixtures/testHost.js'

/** One at a time: each starts programs. */
const test = anyTest.serial

// A folder that could not be made ended the program with code 70, at each start.
for (const name of ['control', 'store'] as const) {
  test(`should start ${name} once its data folder can be made`, async t => {
    const host = await TestHost.create(t)
    writeFileSync(host.dataFolder, 'no folder')
    const program = host.start(t, name)
    await program.until(() => program.linesOf(ReplicationEvent.FolderUnusable).length > 0)
    t.regex(String(program.linesOf(ReplicationEvent.FolderUnusable)[0]?.context.error), /create folder .*ENOTDIR/)
    rmSync(host.dataFolder)
    await program.until(() => program.linesOf(ReplicationEvent.Loaded).length > 0)
    t.is(program.linesOf(ReplicationEvent.FolderUsable).length, 1)
  })
}
