/**
 * A leader's snapshot on its way to this replica's disk. The parts go into a
 * file of their own as they come, and are read back piece by piece once all are
 * there; a crash on the way leaves the earlier snapshot. A full disk throws a
 * DiskFullError, and the same call may be made again.
 */
import { TEMPORARY_SUFFIX, type Disk, type DiskFile } from './disk.js'
import { readSnapshotFile, type SnapshotOutcome } from './snapshotFile.js'
import { snapshotName } from './storageLoader.js'

const FILE = `incoming${TEMPORARY_SUFFIX}`

export class IncomingSnapshot {
  private readonly _disk: Disk
  private readonly _file: DiskFile
  private readonly _pendingFiles: Set<string>
  private _receivedBytes = 0
  private _isClosed = false

  private constructor (disk: Disk, file: DiskFile, pendingFiles: Set<string>) {
    this._disk = disk
    this._file = file
    this._pendingFiles = pendingFiles
  }

  /** @param pendingFiles names of files that must not be taken for leftovers */
  static async begin (disk: Disk, pendingFiles: Set<string>): Promise<IncomingSnapshot> {
    pendingFiles.add(FILE)
    await disk.remove(FILE)
    return new IncomingSnapshot(disk, await disk.open(FILE), pendingFiles)
  }

  get receivedBytes (): number {
    return this._receivedBytes
  }

  async append (bytes: Uint8Array): Promise<void> {
    await this._file.writeAt(this._receivedBytes, bytes)
    this._receivedBytes += bytes.length
  }

  /**
   * All has come: the snapshot, if it is whole, synced under its own name.
   * @param keep what is kept of each piece
   */
  async finish (keep: (piece: unknown) => unknown): Promise<SnapshotOutcome> {
    if (!this._isClosed) await this._file.sync()
    const read = await readSnapshotFile(this._disk, FILE, keep)
    const name = read.kind === 'read' ? snapshotName(read.snapshot.lastIndex) : undefined
    if (name === undefined || this._pendingFiles.has(name)) {
      await this.abandon()
      return read.kind === 'read' ? { kind: 'damaged', reason: `${name} is being written here` } : read
    }
    await this._close()
    await this._takeName(name)
    this._pendingFiles.delete(FILE)
    return read
  }

  /** Another one has begun to come instead. */
  async abandon (): Promise<void> {
    await this._close()
    await this._disk.remove(FILE)
    this._pendingFiles.delete(FILE)
  }

  private async _close (): Promise<void> {
    if (this._isClosed) return
    this._isClosed = true
    await this._file.close()
  }

  private async _takeName (name: string): Promise<void> {
    this._pendingFiles.add(name)
    await this._disk.rename(FILE, name)
    await this._disk.syncFolder()
  }
}
