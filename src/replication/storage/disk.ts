/**
 * The few things that storage asks of a disk. What was written is kept over a
 * loss of power only once it was synced; names of files only once the folder
 * was. Production uses a folder of the file system, tests a disk in memory
 * that forgets what was not synced. Every failure is thrown as a StorageError.
 */
export interface DiskFile {
  append (bytes: Uint8Array): Promise<void>
  writeAt (positionBytes: number, bytes: Uint8Array): Promise<void>
  /** Cuts the file to a length. */
  truncate (lengthBytes: number): Promise<void>
  sync (): Promise<void>
  close (): Promise<void>
}

export interface Disk {
  /** Names of all files. */
  list (): Promise<string[]>
  /** The whole file; undefined when there is none. */
  read (name: string): Promise<Uint8Array | undefined>
  /** Bytes of a file from a position on, fewer at its end; undefined when there is none. */
  readRange (name: string, positionBytes: number, lengthBytes: number): Promise<Uint8Array | undefined>
  /** Opens a file for writing; an existing one keeps its content. */
  open (name: string): Promise<DiskFile>
  rename (from: string, to: string): Promise<void>
  remove (name: string): Promise<void>
  /** Moves files out of the way, into a folder that nothing reads again. */
  setAside (names: string[], folder: string): Promise<void>
  /** Makes creations, renames and removals last. */
  syncFolder (): Promise<void>
}

/** Writes a file so that it is either whole or absent, also after a loss of power. */
export async function writeAtomically (disk: Disk, name: string, bytes: Uint8Array): Promise<void> {
  const temporaryName = `${name}${TEMPORARY_SUFFIX}`
  await disk.remove(temporaryName)
  const file = await disk.open(temporaryName)
  await file.append(bytes)
  await file.sync()
  await file.close()
  await disk.rename(temporaryName, name)
  await disk.syncFolder()
}

export const TEMPORARY_SUFFIX = '.tmp'
