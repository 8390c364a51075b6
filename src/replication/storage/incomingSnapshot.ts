/**
 * A leader's snapshot on its way to this replica's disk. The parts go into a
 * file of their own as they come, so that no replica holds the whole in memory
 * before it is a state; a crash on the way leaves the earlier snapshot.
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

  /** All has come: the snapshot, if it is whole, synced under its own name. */
  async finish (): Promise<SnapshotOutcome> {
    await this._file.sync()
    await this._file.close()
    const read = await readSnapshotFile(this._disk, FILE)
    if (read.kind === 'read') await this._takeName(snapshotName(read.snapshot.lastIndex))
    else await this._disk.remove(FILE)
    this._pendingFiles.delete(FILE)
    return read
  }

  /** Another one has begun to come instead. */
  async abandon (): Promise<void> {
    await this._file.close()
    await this._disk.remove(FILE)
    this._pendingFiles.delete(FILE)
  }

  private async _takeName (name: string): Promise<void> {
    this._pendingFiles.add(name)
    await this._disk.rename(FILE, name)
    await this._disk.syncFolder()
  }
}
