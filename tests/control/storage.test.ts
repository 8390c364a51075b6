import test from 'ava'
import { mkdtempSync, readdirSync, readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { EntryKind, type LogEntry } from '../../src/replication/log/logEntry.js'
import { FileDisk } from '../../src/replication/storage/fileDisk.js'
import type { LogRecord } from '../../src/replication/storage/logRecords.js'
import { ReplicaStorage, type OpenedReplica } from '../../src/replication/storage/replicaStorage.js'
import { StorageError } from '../../src/utils/errors.js'

function entry (index: number, term = 1, size = 100): LogEntry {
  return { index, term, kind: EntryKind.Command, atMs: index, payload: new Uint8Array(size).fill(index) }
}

function record (index: number, term = 1): LogRecord {
  return { kind: 'entry', entry: entry(index, term) }
}

async function open (folder: string): Promise<OpenedReplica> {
  let ids = 0
  return await ReplicaStorage.open(await FileDisk.open(folder), 'control-1', () => `id-${readdirSync(folder).length}-${ids++}`)
}

/** A folder with ten entries, each synced separately. */
async function filledFolder (): Promise<{ folder: string, logFile: string }> {
  const folder = mkdtempSync(join(tmpdir(), 'threaddrum-storage-'))
  const { storage } = await open(folder)
  await storage.append([{ kind: 'hardState', hardState: { term: 3, votedFor: 'b' } }])
  for (let index = 1; index <= 10; index++) await storage.append([record(index)])
  await storage.close()
  return { folder, logFile: join(folder, 'log-0000000001') }
}

function withDamage (file: string, atBytes: number): void {
  const bytes = readFileSync(file)
  bytes[atBytes] = (bytes[atBytes] ?? 0) ^ 0xff
  writeFileSync(file, bytes)
}

test('should read back synced records, with the later entry where two have the same index', async t => {
  const { folder } = await filledFolder()
  const { storage } = await open(folder)
  await storage.append([record(8, 2)])
  await storage.close()
  const { loaded, damage } = await open(folder)
  t.is(damage, undefined)
  t.deepEqual(loaded.hardState, { term: 3, votedFor: 'b' })
  t.deepEqual(loaded.entries.map(({ index, term }) => [index, term]), [[1, 1], [2, 1], [3, 1], [4, 1], [5, 1], [6, 1], [7, 1], [8, 2]])
  rmSync(folder, { recursive: true })
})

test('should truncate a torn tail and append after it', async t => {
  const { folder, logFile } = await filledFolder()
  const intactBytes = readFileSync(logFile).length
  // An incomplete write, whose sync was never reported.
  writeFileSync(logFile, Buffer.concat([readFileSync(logFile), Buffer.alloc(70, 7)]))
  const { storage, loaded, damage } = await open(folder)
  t.is(damage, undefined)
  t.is(loaded.tornBytes, 70)
  t.is(readFileSync(logFile).length, intactBytes)
  await storage.append([record(11)])
  await storage.close()
  t.is((await open(folder)).loaded.entries.length, 11)
  rmSync(folder, { recursive: true })
})

for (const [where, atPart] of [['in the middle', 0.5], ['near the beginning', 0.05], ['in its last entry', 0.99]] as const) {
  test(`should set a log aside that is damaged ${where}, and begin as a new replica`, async t => {
    const { folder, logFile } = await filledFolder()
    const oldId = (await open(folder)).loaded.identity.replicaId
    withDamage(logFile, Math.floor(readFileSync(logFile).length * atPart))
    const { loaded, damage } = await open(folder)
    t.regex(damage ?? '', /log-0000000001: byte \d+ is unreadable, but \d+ bytes had been synced/)
    t.not(loaded.identity.replicaId, oldId)
    t.deepEqual(loaded.entries, [])
    t.deepEqual(loaded.hardState, { term: 0, votedFor: null })
    const aside = readdirSync(folder).find(name => name.startsWith('damaged-')) ?? ''
    t.true(readdirSync(join(folder, aside)).includes('log-0000000001'))
    rmSync(folder, { recursive: true })
  })
}

test('should not accept a log that has lost synced bytes, its identity or its log file', async t => {
  const truncated = await filledFolder()
  truncateSync(truncated.logFile, readFileSync(truncated.logFile).length - 150)
  t.truthy((await open(truncated.folder)).damage)
  const withoutIdentity = await filledFolder()
  rmSync(join(withoutIdentity.folder, 'replica'))
  t.truthy((await open(withoutIdentity.folder)).damage)
  const withoutLog = await filledFolder()
  rmSync(withoutLog.logFile)
  t.truthy((await open(withoutLog.folder)).damage)
  for (const { folder } of [truncated, withoutIdentity, withoutLog]) rmSync(folder, { recursive: true })
})

test('should replace log and snapshot in one step, and notice a damaged snapshot', async t => {
  const { folder } = await filledFolder()
  const { storage } = await open(folder)
  const head = { lastIndex: 7, lastTerm: 1, lastAtMs: 7, members: [] }
  const pieces = [{ some: 'state' }, { bytes: new Uint8Array([1, 2, 3]) }]
  const hardState = { term: 3, votedFor: 'b' }
  const snapshot = await storage.writeSnapshot(head, pieces)
  if (!snapshot) return t.fail()
  await storage.compact({ snapshot, hardState, entries: [entry(8), entry(9), entry(10)] })
  await storage.append([record(11)])
  await storage.close()
  const { loaded } = await open(folder)
  t.deepEqual(loaded.snapshot, { ...head, pieces, lengthBytes: readFileSync(join(folder, 'snapshot-0000000000000007')).length })
  t.deepEqual(loaded.hardState, hardState)
  t.deepEqual(loaded.entries.map(({ index }) => index), [8, 9, 10, 11])
  t.deepEqual(readdirSync(folder).sort(), ['log-0000000002', 'replica', 'snapshot-0000000000000007'])
  withDamage(join(folder, 'snapshot-0000000000000007'), 20)
  t.regex((await open(folder)).damage ?? '', /snapshot-0000000000000007: its checksum does not match/)
  rmSync(folder, { recursive: true })
})

test('should refuse the data folder of another host', async t => {
  const { folder } = await filledFolder()
  await t.throwsAsync(async () => await ReplicaStorage.open(await FileDisk.open(folder), 'control-2', () => 'x'), { instanceOf: StorageError, message: /belongs to host control-1/ })
  rmSync(folder, { recursive: true })
})
