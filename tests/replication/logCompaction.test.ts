/**
 * Replacing a log by the entries that follow a snapshot. While a snapshot is
 * written on a busy host, tens of megabytes of entries arrive; a replica that
 * held several copies of them beside the state exceeded the memory of its host.
 */
import test from 'ava'
import { EntryKind, type LogEntry } from '../../src/replication/log/logEntry.js'
import type { LoadedReplica } from '../../src/replication/storage/storageLoader.js'
import { ReplicaStorage, type Compaction } from '../../src/replication/storage/replicaStorage.js'
import { DiskFullError } from '../../src/utils/errors.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { MemoryDisk } from '../fixtures/memoryDisk.js'
import { settle, VirtualClock } from '../fixtures/virtualClock.js'

const HOST_ID = 'store-1'
const SNAPSHOT_INDEX = 100
const HARD_STATE = { term: 2, votedFor: 'b' }
const ENTRY_BYTES = 40_000
/** Above one write or read of 256 KB with the entry that exceeds it. */
const LARGEST_STEP_BYTES = 256 * 1024 + 2 * ENTRY_BYTES

class StorageHost {
  readonly clock = new VirtualClock()
  readonly disk: MemoryDisk

  constructor (seed = 1) {
    this.disk = new MemoryDisk(this.clock, seededRandom(seed))
  }

  /** Waits for disk operations; unlike the clock's own method, also for those that only take turns of the event loop. */
  async run<T> (work: Promise<T>): Promise<T> {
    const state = { isDone: false }
    const markDone = (): void => { state.isDone = true }
    work.then(markDone, markDone)
    while (!state.isDone) await this.clock.advance(1)
    return await work
  }

  async open (): Promise<{ storage: ReplicaStorage, loaded: LoadedReplica, damage: string | undefined }> {
    return await this.run(ReplicaStorage.open(this.disk.mount(), HOST_ID, () => 'replica-1'))
  }

  /** Storage of a replica whose log holds entries from the first on. */
  async filled (entriesCount: number): Promise<ReplicaStorage> {
    const { storage } = await this.open()
    const records = entriesFrom(1, entriesCount).map(entry => ({ kind: 'entry', entry } as const))
    await this.run(storage.append([{ kind: 'hardState', hardState: HARD_STATE }, ...records]))
    return storage
  }

  /** What a compaction needs: a snapshot in the middle of the log, with the entries after it. */
  async compactionOf (storage: ReplicaStorage, entriesCount: number): Promise<Compaction> {
    const header = { lastIndex: SNAPSHOT_INDEX, lastTerm: 1, lastAtMs: SNAPSHOT_INDEX, members: [] }
    const snapshot = await this.run(storage.writeSnapshot(header, ['the state']))
    if (!snapshot) throw new Error('another snapshot is pending')
    return { snapshot, hardState: HARD_STATE, entries: entriesFrom(SNAPSHOT_INDEX + 1, entriesCount) }
  }
}

function entriesFrom (firstIndex: number, lastIndex: number): LogEntry[] {
  return Array.from({ length: lastIndex - firstIndex + 1 }, (_value, position) => {
    const index = firstIndex + position
    return { index, term: 1, kind: EntryKind.Command, atMs: index, payload: new Uint8Array(ENTRY_BYTES).fill(index) }
  })
}

function indexesOf (entries: readonly LogEntry[]): [number | undefined, number | undefined, number] {
  return [entries[0]?.index, entries.at(-1)?.index, entries.length]
}

// Three copies of 31 MB at once, beside the entries themselves, were 45 MB above the usual peak of a store host.
test('should write and read a log piece by piece, however much follows the snapshot', async t => {
  const lastIndex = 700
  const host = new StorageHost()
  const storage = await host.filled(SNAPSHOT_INDEX)
  const compaction = await host.compactionOf(storage, lastIndex)
  host.disk.largestTransferBytes = 0
  await host.run(storage.compact(compaction))
  await host.run(storage.append(entriesFrom(lastIndex + 1, lastIndex + 100).map(entry => ({ kind: 'entry', entry }))))
  const { loaded, damage } = await host.open()
  t.is(damage, undefined)
  t.deepEqual(indexesOf(loaded.entries), [SNAPSHOT_INDEX + 1, lastIndex + 100, lastIndex + 100 - SNAPSHOT_INDEX])
  t.true(loaded.logBytes > 600 * ENTRY_BYTES)
  t.true(host.disk.largestTransferBytes < LARGEST_STEP_BYTES, `${host.disk.largestTransferBytes} bytes in one step`)
})

test('should keep either the old or the new log, complete, when the host loses power at any moment of a compaction', async t => {
  const lastIndex = 130
  let finished = false
  const seen = { old: 0, new: 0 }
  for (let operationsCount = 0; !finished; operationsCount++) {
    const host = new StorageHost(operationsCount + 1)
    const storage = await host.filled(lastIndex)
    const compaction = await host.compactionOf(storage, lastIndex)
    let leftCount = operationsCount
    host.disk.beforeOperation = () => { if (leftCount-- === 0) host.disk.crash() }
    storage.compact(compaction).then(() => { finished = true }, error => t.fail(String(error)))
    await host.clock.advance(10)
    for (let turn = 0; turn < 10; turn++) await settle()
    host.disk.beforeOperation = () => {}
    if (finished) host.disk.crash()
    const { loaded, damage } = await host.open()
    t.is(damage, undefined, `power lost before operation ${operationsCount}`)
    t.deepEqual(loaded.hardState, HARD_STATE)
    const firstIndex = loaded.snapshot ? SNAPSHOT_INDEX + 1 : 1
    seen[loaded.snapshot ? 'new' : 'old']++
    t.deepEqual(indexesOf(loaded.entries), [firstIndex, lastIndex, lastIndex - firstIndex + 1], `power lost before operation ${operationsCount}`)
  }
  t.true(seen.old > 3 && seen.new > 1, `${seen.old} old, ${seen.new} new`)
})

// What a compaction had written of the new log stayed on the full disk, where the entries that followed found no space.
test('should free the space of a new log that did not fit on the disk, and compact once there is space', async t => {
  const lastIndex = 130
  for (const operationsCount of [2, 3, 4, 5, 6]) {
    const host = new StorageHost()
    const storage = await host.filled(lastIndex)
    const compaction = await host.compactionOf(storage, lastIndex)
    const usedBytes = host.disk.usedBytes()
    let leftCount = operationsCount
    host.disk.beforeOperation = () => { host.disk.isFull ||= leftCount-- === 0 }
    await t.throwsAsync(host.run(storage.compact(compaction)), { instanceOf: DiskFullError }, `full at operation ${operationsCount}`)
    t.is(host.disk.usedBytes(), usedBytes, `full at operation ${operationsCount}`)
    host.disk.beforeOperation = () => {}
    host.disk.isFull = false
    await host.run(storage.compact(compaction))
    const { loaded, damage } = await host.open()
    t.is(damage, undefined)
    t.deepEqual(indexesOf(loaded.entries), [SNAPSHOT_INDEX + 1, lastIndex, lastIndex - SNAPSHOT_INDEX])
  }
})

// Only a scan of what follows the damage finds that later records were synced; the scan must not miss a record on the border of two pieces.
test('should notice damage at any distance before the last synced batch', async t => {
  for (const shiftBytes of [0, 1, 5, 11, 12, 13, 20, 27, 28, 29]) {
    const host = new StorageHost()
    const storage = await host.filled(2)
    const damagedAtBytes = host.disk.contentOf('log-0000000001')?.length ?? 0
    // The batch after the damaged one starts where the scan passes from one piece to the next, give or take a few bytes.
    const payload = new Uint8Array(256 * 1024 - 60 + shiftBytes)
    await host.run(storage.append([{ kind: 'entry', entry: { index: 3, term: 1, kind: EntryKind.Command, atMs: 3, payload } }]))
    await host.run(storage.append(entriesFrom(4, 4).map(entry => ({ kind: 'entry', entry }))))
    const content = host.disk.contentOf('log-0000000001')
    if (!content) return t.fail()
    content.fill(0xff, damagedAtBytes, damagedAtBytes + 4)
    // A torn sync mark states nothing, so that only the scan can tell.
    content.fill(0xff, 8, 24)
    const { damage } = await host.open()
    t.regex(damage ?? '', /is unreadable, but \d+ bytes had been synced/, `${shiftBytes} bytes later`)
  }
})
