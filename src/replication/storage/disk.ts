/**
 * The disk operations that storage needs. Written data survives a power loss
 * only once the file is synced; file names only once the folder is synced.
 * Production uses a folder of the file system, tests an in-memory disk that
 * discards unsynced data. Every failure is thrown as a StorageError.
 */
export interface DiskFile {
  append (bytes: Uint8Array): Promise<void>
  writeAt (positionBytes: number, bytes: Uint8Array): Promise<void>
  truncate (lengthBytes: number): Promise<void>
  sync (): Promise<void>
  close (): Promise<void>
}

export interface Disk {
  /** Names of all files. */
  list (): Promise<string[]>
  /** Content of a file; undefined if it does not exist. */
  read (name: string): Promise<Uint8Array | undefined>
  /** Bytes of a file from a position on, fewer at the end of the file; undefined if the file does not exist. */
  readRange (name: string, positionBytes: number, lengthBytes: number): Promise<Uint8Array | undefined>
  /** Length of a file; undefined if it does not exist. */
  lengthOf (name: string): Promise<number | undefined>
  /** Opens a file for writing and creates it if needed; existing content is kept. */
  open (name: string): Promise<DiskFile>
  rename (from: string, to: string): Promise<void>
  remove (name: string): Promise<void>
  /** Moves files into a folder that nothing reads again. */
  setAside (names: string[], folder: string): Promise<void>
  /** Makes creations, renames and removals durable. */
  syncFolder (): Promise<void>
}

export const TEMPORARY_SUFFIX = '.tmp'

/**
 * Writes a file so that it is either complete or absent, even after a power
 * loss. If writing fails, what was written of it is removed, so that on a full
 * disk the space is available again.
 * @param write writes the content, in pieces of any size; its result is returned
 */
export async function writeAtomically<T> (disk: Disk, name: string, write: (file: DiskFile) => Promise<T>): Promise<T> {
  const temporaryName = `${name}${TEMPORARY_SUFFIX}`
  await disk.remove(temporaryName)
  const written = await writeTemporary(disk, temporaryName, write)
  await disk.rename(temporaryName, name)
  await disk.syncFolder()
  return written
}

async function writeTemporary<T> (disk: Disk, name: string, write: (file: DiskFile) => Promise<T>): Promise<T> {
  const file = await disk.open(name)
  try {
    const written = await write(file)
    await file.sync()
    await file.close()
    return written
  } catch (error) {
    await file.close()
    await disk.remove(name)
    throw error
  }
}
