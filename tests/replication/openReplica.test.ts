import test from 'ava'
import { openReplica, type OpenedFolder } from '../../src/replication/openReplica.js'
import { ReplicationEvent } from '../../src/replication/replicationEvents.js'
import type { Disk } from '../../src/replication/storage/disk.js'
import { systemClock } from '../../src/utils/clock.js'
import { DiskFullError, DiskUnusableError, ScopeClosedError, StorageError } from '../../src/utils/errors.js'
import type { LogFields, Logger } from '../../src/utils/logger.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { MemoryDisk } from '../fixtures/memoryDisk.js'
import { until } from '../fixtures/until.js'

const HOST_ID = 'h1'

class Start {
  readonly disk = new MemoryDisk(systemClock, seededRandom(1))
  readonly scope = new Scope('test')
  readonly lines: Array<LogFields & { event: number }> = []
  /** Refuses to open the disk; set by tests. */
  refusal: Error | undefined
  private readonly _logger: Logger = { event: (event, fields = {}) => { this.lines.push({ ...fields, event }) }, child: () => this._logger }

  open (hostId = HOST_ID): Promise<OpenedFolder> {
    return openReplica({ folder: 'data', openDisk: () => this._mount(), hostId, newId: () => 'r1', clock: systemClock, logger: this._logger, scope: this.scope })
  }

  private async _mount (): Promise<Disk> {
    if (this.refusal) throw this.refusal
    return this.disk.mount()
  }

  eventsOf (): number[] {
    return this.lines.map(({ event }) => event)
  }
}

// A disk that was full when a replica was created, or opened, ended its program with code 70.
test('should wait for room on a disk that is full at the first start', async t => {
  const start = new Start()
  start.disk.isFull = true
  const opening = start.open()
  await until(() => start.lines.length > 0)
  t.like(start.lines[0], { event: ReplicationEvent.FolderUnusable, folder: 'data', error: 'no space left' })
  start.disk.isFull = false
  const { opened } = await opening
  t.is(opened.damage, undefined)
  t.deepEqual(start.eventsOf(), [ReplicationEvent.FolderUnusable, ReplicationEvent.FolderUsable])
})

test('should wait for a folder that is not there yet, and keep what it holds', async t => {
  const start = new Start()
  const first = await start.open()
  await first.opened.storage.adoptCluster('c1')
  start.disk.endProcess()
  start.refusal = new DiskUnusableError('cannot create folder data: EROFS')
  const opening = start.open()
  await until(() => start.lines.length > 0)
  start.refusal = undefined
  const { opened } = await opening
  t.is(opened.storage.identity.clusterId, 'c1')
})

test('should end the wait for a folder when the scope of the start closes', async t => {
  const start = new Start()
  start.refusal = new DiskFullError('no space left')
  const opening = start.open()
  await until(() => start.lines.length > 0)
  start.scope.close('planned stop')
  await t.throwsAsync(opening, { instanceOf: ScopeClosedError })
})

test('should not wait for the folder of another host', async t => {
  const start = new Start()
  const { opened } = await start.open()
  await opened.storage.adoptCluster('c1')
  start.disk.endProcess()
  const error = await t.throwsAsync(start.open('h2'), { instanceOf: StorageError })
  t.false(error instanceof DiskUnusableError)
  t.regex(error.message, /belongs to host h1, not h2/)
})
