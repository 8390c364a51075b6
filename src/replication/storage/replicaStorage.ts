/**
 * The files of one replica: its identity, the current log file and the latest
 * snapshot. When a method returns, its changes are synced. A failed write or
 * sync throws a StorageError and makes the storage unusable, because it is
 * unknown what reached the disk. A full disk throws a DiskFullError, after
 * which the same call may be repeated.
 */
import { DiskFullError, invariant, StorageError } from '../../utils/errors.js'
import type { HardState, LogEntry } from '../log/logEntry.js'
import type { SnapshotPieces } from '../replicatedState.js'
import { loadChecksum } from './checksum.js'
import { TEMPORARY_SUFFIX, writeAtomically, type Disk, type DiskFile } from './disk.js'
import { writeLogFile, writeRecords } from './logFile.js'
import { encodeSyncMark, type LogRecord } from './logRecords.js'
import { IncomingSnapshot } from './incomingSnapshot.js'
import { encodeIdentity, type ReplicaIdentity } from './replicaIdentity.js'
import { writeSnapshotFile, type SnapshotHeader, type WrittenSnapshot } from './snapshotFile.js'
import { IDENTITY_FILE, latestLogSequence, loadReplica, logName, snapshotName, type LoadedReplica } from './storageLoader.js'

export interface OpenedReplica {
  storage: ReplicaStorage
  loaded: LoadedReplica
  /** Why the files of an earlier replica were moved aside and a new replica was created; undefined if they were not. */
  damage: string | undefined
}

/** A snapshot that is on disk, with the log entries after it. */
export interface Compaction {
  snapshot: WrittenSnapshot
  hardState: HardState
  entries: LogEntry[]
}

export interface StorageOptions {
  /** False only in benchmarks that measure the cost of syncing. */
  syncs: boolean
  /** Called before the files of a damaged replica are moved aside. */
  onDamaged?: (reason: string) => void
}

export class ReplicaStorage {
  private readonly _disk: Disk
  private readonly _options: StorageOptions
  private _identity: ReplicaIdentity
  private _log: DiskFile
  private _logSequence: number
  private _logBytes: number
  private _snapshot: WrittenSnapshot | undefined
  /** Snapshot files that the log does not build on yet, because they are being written or wait to become its base. */
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
   * Opens the replica of a host, or creates one if the disk holds none. If its
   * files are damaged, they are moved aside and a new replica is created, which
   * has to join like any other new one.
   * @throws StorageError if the disk belongs to another host, unless its replica was never used.
   */
  static async open (disk: Disk, hostId: string, newId: () => string, options: StorageOptions = { syncs: true }): Promise<OpenedReplica> {
    await loadChecksum()
    const outcome = await loadReplica(disk)
    let damage: string | undefined
    let loaded: LoadedReplica
    switch (outcome.kind) {
      case 'loaded':
        loaded = outcome.replica
        if (loaded.identity.hostId === hostId) break
        if (!isUnused(loaded)) throw new StorageError(`the data folder belongs to host ${loaded.identity.hostId}, not ${hostId}`)
        await disk.setAside(await disk.list(), `unused-${newId()}`)
        loaded = await createReplica(disk, hostId, newId())
        break
      case 'damaged':
        damage = outcome.reason
        options.onDamaged?.(damage)
        await disk.setAside(await disk.list(), `damaged-${newId()}`)
        loaded = await createReplica(disk, hostId, newId())
        break
      case 'empty':
        loaded = await createReplica(disk, hostId, newId())
    }
    const log = await disk.open(logName(loaded.logSequence))
    const storage = new ReplicaStorage(disk, options, loaded, log)
    try {
      await storage._truncateTornTail(loaded.tornBytes)
      await storage._removeLeftovers()
    } catch (error) {
      await log.close()
      throw error
    }
    return { storage, loaded, damage }
  }

  get identity (): ReplicaIdentity {
    return this._identity
  }

  /** Binds the replica permanently to its cluster. */
  async adoptCluster (clusterId: string): Promise<void> {
    invariant(this._identity.clusterId === null, `the replica already belongs to cluster ${this._identity.clusterId}`)
    const identity = { ...this._identity, clusterId }
    await this._failOnError(() => writeAtomically(this._disk, IDENTITY_FILE, file => file.append(encodeIdentity(identity))))
    this._identity = identity
  }

  /** Appends records as one batch with one sync. */
  async append (records: LogRecord[]): Promise<void> {
    await this._failOnError(async () => {
      // Written at its position, not appended: a batch that failed on a full disk may have left part of itself at the end of the file.
      const endBytes = await writeRecords(this._log, this._logBytes, [{ kind: 'batchStart', syncedBytes: this._logBytes }, ...records])
      if (this._options.syncs) await this._log.sync()
      this._logBytes = endBytes
      await this._writeMark()
    })
  }

  /** Writes the sync mark without syncing it: it survives the end of the process, and after a power loss or on a full disk it is only older. */
  private async _writeMark (): Promise<void> {
    const mark = encodeSyncMark(this._logBytes)
    try {
      await this._log.writeAt(mark.positionBytes, mark.bytes)
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error
    }
  }

  /**
   * Writes a snapshot next to the one that the log builds on, while the log
   * continues to be written. It takes effect with `compact`; until then, a
   * restart loads the earlier one. Returns undefined if another snapshot at the
   * same entry is pending.
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

  /** Removes a snapshot that will not become the base of the log. */
  async discardSnapshot ({ lastIndex }: WrittenSnapshot): Promise<void> {
    const name = snapshotName(lastIndex)
    this._pendingFiles.delete(name)
    if (lastIndex !== this._snapshot?.lastIndex) await this._failOnError(() => this._disk.remove(name))
  }

  /** Starts to receive a leader's snapshot; a partly received snapshot is dropped. */
  async receiveSnapshot (): Promise<IncomingSnapshot> {
    return await this._failOnError(() => IncomingSnapshot.start(this._disk, this._pendingFiles))
  }

  /** Replaces snapshot and log atomically: after a crash, either the old or the new pair is in place. */
  async compact (compaction: Compaction): Promise<void> {
    await this._failOnError(async () => {
      const { snapshot } = compaction
      const sequence = this._logSequence + 1
      const lengthBytes = await writeAtomically(this._disk, logName(sequence), file => writeLogFile(file, compactedRecords(compaction)))
      await this._log.close()
      this._log = await this._disk.open(logName(sequence))
      this._logSequence = sequence
      this._logBytes = lengthBytes
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

  /** Bytes of a snapshot file; undefined if a later snapshot has replaced it. */
  async readSnapshotChunk ({ lastIndex }: WrittenSnapshot, positionBytes: number, lengthBytes: number): Promise<Uint8Array | undefined> {
    return await this._disk.readRange(snapshotName(lastIndex), positionBytes, lengthBytes)
  }

  async close (): Promise<void> {
    await this._log.close()
  }

  private async _failOnError<T> (work: () => Promise<T>): Promise<T> {
    if (this._failed) throw new StorageError('the storage is unusable after an earlier write or sync error')
    try {
      return await work()
    } catch (error) {
      // On a full disk, the part of the write that succeeded is after the end of the log and is overwritten later.
      if (!(error instanceof DiskFullError)) this._failed = true
      throw error
    }
  }

  private async _truncateTornTail (tornBytes: number): Promise<void> {
    if (tornBytes === 0) return
    await this._log.truncate(this._logBytes)
    await this._log.sync()
  }

  /** Removes older logs and snapshots, and files whose writing was interrupted. */
  private async _removeLeftovers (): Promise<void> {
    const kept = [IDENTITY_FILE, logName(this._logSequence), snapshotName(this._snapshot?.lastIndex ?? 0)]
    for (const name of await this._disk.list()) {
      const isOurs = name.startsWith('log-') || name.startsWith('snapshot-') || name.endsWith(TEMPORARY_SUFFIX)
      // Checked for each file, because files may become pending during the removals.
      if (isOurs && !kept.includes(name) && !this._pendingFiles.has(name)) await this._disk.remove(name)
    }
  }
}

/** Creates the files of a new replica. The identity is written last, so that a folder with an identity always has a log. */
async function createReplica (disk: Disk, hostId: string, replicaId: string): Promise<LoadedReplica> {
  const logSequence = (latestLogSequence(await disk.list()) ?? 0) + 1
  const base: LogRecord = { kind: 'base', snapshotIndex: 0, snapshotTerm: 0 }
  const logBytes = await writeAtomically(disk, logName(logSequence), file => writeLogFile(file, [base]))
  const identity: ReplicaIdentity = { replicaId, hostId, clusterId: null }
  await writeAtomically(disk, IDENTITY_FILE, file => file.append(encodeIdentity(identity)))
  const hardState = { term: 0, votedFor: null }
  return { identity, hardState, snapshot: undefined, snapshotLengthBytes: 0, entries: [], logSequence, logBytes, tornBytes: 0 }
}

function * compactedRecords ({ snapshot, hardState, entries }: Compaction): Iterable<LogRecord> {
  yield { kind: 'base', snapshotIndex: snapshot.lastIndex, snapshotTerm: snapshot.lastTerm }
  yield { kind: 'hardState', hardState }
  for (const entry of entries) yield { kind: 'entry', entry }
}

/** Whether a replica has joined no cluster and holds nothing. */
function isUnused ({ identity, entries, snapshot }: LoadedReplica): boolean {
  return identity.clusterId === null && entries.length === 0 && snapshot === undefined
}
