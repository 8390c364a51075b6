/**
 * A leader's snapshot that is being received. Its chunks are written to a
 * separate file as they arrive, and the file is read back piece by piece once
 * it is complete; a crash in between leaves the previous snapshot in place. A
 * full disk throws a DiskFullError, after which the same call may be repeated.
 */
import { TEMPORARY_SUFFIX, type Disk, type DiskFile } from './disk.js'
import { readSnapshotFile, type SnapshotOutcome } from './snapshotFile.js'
import { snapshotName } from './storageLoader.js'

const FILE_NAME = `incoming${TEMPORARY_SUFFIX}`

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

  /** @param pendingFiles names of files that must not be removed as leftovers */
  static async start (disk: Disk, pendingFiles: Set<string>): Promise<IncomingSnapshot> {
    pendingFiles.add(FILE_NAME)
    await disk.remove(FILE_NAME)
    return new IncomingSnapshot(disk, await disk.open(FILE_NAME), pendingFiles)
  }

  get receivedBytes (): number {
    return this._receivedBytes
  }

  async append (bytes: Uint8Array): Promise<void> {
    await this._file.writeAt(this._receivedBytes, bytes)
    this._receivedBytes += bytes.length
  }

  /**
   * Called when all chunks have arrived. Syncs and reads the file and, if the
   * snapshot is valid, renames it to its final name.
   * @param mapPiece maps each piece to the value that is kept
   */
  async finish (mapPiece: (piece: unknown) => unknown): Promise<SnapshotOutcome> {
    if (!this._isClosed) await this._file.sync()
    const read = await readSnapshotFile(this._disk, FILE_NAME, mapPiece)
    const name = read.kind === 'read' ? snapshotName(read.snapshot.lastIndex) : undefined
    if (name === undefined || this._pendingFiles.has(name)) {
      await this.abandon()
      return read.kind === 'read' ? { kind: 'damaged', reason: `another snapshot ${name} is still pending on this replica` } : read
    }
    await this._close()
    await this._publish(name)
    this._pendingFiles.delete(FILE_NAME)
    return read
  }

  /** Discards what was received, for example because another snapshot is received instead. */
  async abandon (): Promise<void> {
    await this._close()
    await this._disk.remove(FILE_NAME)
    this._pendingFiles.delete(FILE_NAME)
  }

  private async _close (): Promise<void> {
    if (this._isClosed) return
    this._isClosed = true
    await this._file.close()
  }

  private async _publish (name: string): Promise<void> {
    this._pendingFiles.add(name)
    await this._disk.rename(FILE_NAME, name)
    await this._disk.syncFolder()
  }
}
