/**
 * The files of one replica: its identity, the current log file and the latest
 * snapshot. Whatever a method has returned from is synced. A failed write or
 * sync throws a StorageError and leaves the storage unusable, because what
 * reached the disk is unknown then; a full disk throws a DiskFullError, and the
 * same call may be made again.
 */
import { DiskFullError, invariant, StorageError } from '../../utils/errors.js'
import type { HardState, LogEntry } from '../log/logEntry.js'
import type { SnapshotPieces } from '../replicatedState.js'
import { loadChecksum } from './checksum.js'
import { TEMPORARY_SUFFIX, writeAtomically, type Disk, type DiskFile } from './disk.js'
import { encodeHeader, encodeSyncMark, encodeRecord, HEADER_BYTES, type LogRecord } from './logRecords.js'
import { IncomingSnapshot } from './incomingSnapshot.js'
import { encodeIdentity, type ReplicaIdentity } from './replicaFile.js'
import { writeSnapshotFile, type SnapshotHeader, type WrittenSnapshot } from './snapshotFile.js'
import { IDENTITY_FILE, latestLogSequence, loadReplica, logName, snapshotName, type LoadedReplica } from './storageLoader.js'

export interface OpenedReplica {
  storage: ReplicaStorage
  loaded: LoadedReplica
  /** Why an earlier replica's files were set aside; the replica is a new one then. */
  damage: string | undefined
}

/** A snapshot that lies on the disk, with everything that follows on it. */
export interface Compaction {
  snapshot: WrittenSnapshot
  hardState: HardState
  entries: LogEntry[]
}

export interface StorageOptions {
  /** False only to measure what syncing costs. */
  syncs: boolean
}

export class ReplicaStorage {
  private readonly _disk: Disk
  private readonly _options: StorageOptions
  private _identity: ReplicaIdentity
  private _log: DiskFile
  private _logSequence: number
  private _logBytes: number
  private _snapshot: WrittenSnapshot | undefined
  /** Files that the log does not build on yet: being written, or waiting to be its base. */
  private readonly _pendingFiles = new Set<string>()
  private _failed = false

  private constructor (disk: Disk, options: StorageOptions, loaded: LoadedReplica, log: DiskFile) {
    this._disk = disk
    this._options = options
    this._identity = loaded.identity
    this._log = log
    this._logSequence = loaded.logSequence
    this._logBytes = loaded.logBytes
    this._snapshot = loaded.snapshot && { lastIndex: loaded.snapshot.lastIndex, lastTerm: loaded.snapshot.lastTerm, lengthBytes: loaded.snapshot.lengthBytes }
  }

  /**
   * Opens the replica of a host, and makes one if the disk holds none. Files
   * that are damaged are set aside, and the host gets a new replica, which
   * has to join as any other new one.
   * @throws StorageError if the disk belongs to another host.
   */
  static async open (disk: Disk, hostId: string, newId: () => string, options: StorageOptions = { syncs: true }): Promise<OpenedReplica> {
    await loadChecksum()
    const outcome = await loadReplica(disk)
    let damage: string | undefined
    let loaded: LoadedReplica
    switch (outcome.kind) {
      case 'loaded':
        loaded = outcome.replica
        if (loaded.identity.hostId !== hostId) throw new StorageError(`the data folder belongs to host ${loaded.identity.hostId}, not ${hostId}`)
        break
      case 'damaged':
        damage = outcome.reason
        await disk.setAside(await disk.list(), `damaged-${newId()}`)
        loaded = await createReplica(disk, hostId, newId())
        break
      case 'empty':
        loaded = await createReplica(disk, hostId, newId())
    }
    const log = await disk.open(logName(loaded.logSequence))
    const storage = new ReplicaStorage(disk, options, loaded, log)
    await storage._truncateTornTail(loaded.tornBytes)
    await storage._removeLeftovers()
    return { storage, loaded, damage }
  }

  get identity (): ReplicaIdentity {
    return this._identity
  }

  /** Binds the replica to its cluster for good. */
  async adoptCluster (clusterId: string): Promise<void> {
    invariant(this._identity.clusterId === null, 'a replica belongs to one cluster')
    const identity = { ...this._identity, clusterId }
    await this._failOnError(() => writeAtomically(this._disk, IDENTITY_FILE, encodeIdentity(identity)))
    this._identity = identity
  }

  /** Appends records as one batch with one sync. */
  async append (records: LogRecord[]): Promise<void> {
    const batch = Buffer.concat([{ kind: 'batchStart', syncedBytes: this._logBytes } as const, ...records].map(encodeRecord))
    await this._failOnError(async () => {
      // At its place, not at the end of the file: a batch that a full disk refused may have left a piece there.
      await this._log.writeAt(this._logBytes, batch)
      if (this._options.syncs) await this._log.sync()
      this._logBytes += batch.length
      await this._writeMark()
    })
  }

  /** Not synced itself: it outlives the process, and a loss of power, or a disk that is full by now, only makes it older. */
  private async _writeMark (): Promise<void> {
    const mark = encodeSyncMark(this._logBytes)
    try {
      await this._log.writeAt(mark.positionBytes, mark.bytes)
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error
    }
  }

  /**
   * Writes a snapshot beside the one that the log builds on, while the log goes
   * on being written. It takes effect by `compact`; until then a start finds
   * the earlier one. Undefined when a snapshot of the same entry is on its way.
   */
  async writeSnapshot (header: SnapshotHeader, pieces: SnapshotPieces): Promise<WrittenSnapshot | undefined> {
    const name = snapshotName(header.lastIndex)
    if (this._pendingFiles.has(name)) return undefined
    const files = [name, `${name}${TEMPORARY_SUFFIX}`]
    for (const file of files) this._pendingFiles.add(file)
    try {
      return await this._failOnError(() => writeSnapshotFile(this._disk, name, header, pieces))
    } catch (error) {
      for (const file of files) this._pendingFiles.delete(file)
      throw error
    }
  }

  /** Gives up a snapshot that will not become the base of the log. */
  async discardSnapshot ({ lastIndex }: WrittenSnapshot): Promise<void> {
    const name = snapshotName(lastIndex)
    this._pendingFiles.delete(name)
    if (lastIndex !== this._snapshot?.lastIndex) await this._failOnError(() => this._disk.remove(name))
  }

  /** Begins to take in a leader's snapshot; what was taken in of another one is dropped. */
  async receiveSnapshot (): Promise<IncomingSnapshot> {
    return await this._failOnError(() => IncomingSnapshot.start(this._disk, this._pendingFiles))
  }

  /** Replaces snapshot and log in one step: after a crash there is the old pair or the new one. */
  async compact (compaction: Compaction): Promise<void> {
    await this._failOnError(async () => {
      const { snapshot, hardState, entries } = compaction
      const content = logContent([
        { kind: 'base', snapshotIndex: snapshot.lastIndex, snapshotTerm: snapshot.lastTerm },
        { kind: 'hardState', hardState },
        ...entries.map(entry => ({ kind: 'entry', entry } as const))
      ])
      const sequence = this._logSequence + 1
      await writeAtomically(this._disk, logName(sequence), content)
      await this._log.close()
      this._log = await this._disk.open(logName(sequence))
      this._logSequence = sequence
      this._logBytes = content.length
      this._snapshot = snapshot
      const name = snapshotName(snapshot.lastIndex)
      this._pendingFiles.delete(name)
      this._pendingFiles.delete(`${name}${TEMPORARY_SUFFIX}`)
      await this._removeLeftovers()
    })
  }

  /** The snapshot that the log builds on; undefined before the first one. */
  get snapshot (): WrittenSnapshot | undefined {
    return this._snapshot
  }

  /** A part of a snapshot as it lies on disk; undefined when a later one has replaced it. */
  async readSnapshotChunk ({ lastIndex }: WrittenSnapshot, positionBytes: number, lengthBytes: number): Promise<Uint8Array | undefined> {
    return await this._disk.readRange(snapshotName(lastIndex), positionBytes, lengthBytes)
  }

  async close (): Promise<void> {
    await this._log.close()
  }

  private async _failOnError<T> (work: () => Promise<T>): Promise<T> {
    if (this._failed) throw new StorageError('the storage has failed before')
    try {
      return await work()
    } catch (error) {
      // A full disk has refused the write; whatever part of it arrived lies behind the end of the log and is written over.
      if (!(error instanceof DiskFullError)) this._failed = true
      throw error
    }
  }

  private async _truncateTornTail (tornBytes: number): Promise<void> {
    if (tornBytes === 0) return
    await this._log.truncate(this._logBytes)
    await this._log.sync()
  }

  /** Older logs and snapshots, and files that were being written. */
  private async _removeLeftovers (): Promise<void> {
    const kept = [IDENTITY_FILE, logName(this._logSequence), snapshotName(this._snapshot?.lastIndex ?? 0)]
    for (const name of await this._disk.list()) {
      const isOurs = name.startsWith('log-') || name.startsWith('snapshot-') || name.endsWith(TEMPORARY_SUFFIX)
      // Files become pending while others are removed.
      if (isOurs && !kept.includes(name) && !this._pendingFiles.has(name)) await this._disk.remove(name)
    }
  }
}

/** The identity comes last: a folder with one has a log. */
async function createReplica (disk: Disk, hostId: string, replicaId: string): Promise<LoadedReplica> {
  const logSequence = (latestLogSequence(await disk.list()) ?? 0) + 1
  const content = logContent([{ kind: 'base', snapshotIndex: 0, snapshotTerm: 0 }])
  await writeAtomically(disk, logName(logSequence), content)
  const identity: ReplicaIdentity = { replicaId, hostId, clusterId: null }
  await writeAtomically(disk, IDENTITY_FILE, encodeIdentity(identity))
  const hardState = { term: 0, votedFor: null }
  return { identity, hardState, snapshot: undefined, snapshotLengthBytes: 0, entries: [], logSequence, logBytes: content.length, tornBytes: 0 }
}

function logContent (records: LogRecord[]): Buffer {
  const body = Buffer.concat(records.map(encodeRecord))
  return Buffer.concat([encodeHeader(HEADER_BYTES + body.length), body])
}
