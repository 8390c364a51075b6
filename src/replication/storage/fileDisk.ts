/**
 * A disk backed by a folder of the file system.
 */
import { mkdir, open, readdir, readFile, rename, rm, stat, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { DiskFullError, DiskUnusableError } from '../../utils/errors.js'
import type { Disk, DiskFile } from './disk.js'

/** Clients take descriptors and give them back within such times. */
const DESCRIPTOR_RETRY_MS = 50

export class FileDisk implements Disk {
  private readonly _folder: string

  private constructor (folder: string) {
    this._folder = folder
  }

  /** Creates the folder if it does not exist. */
  static async open (folder: string): Promise<FileDisk> {
    await withStorageErrors(`create folder ${folder}`, () => mkdir(folder, { recursive: true }))
    return new FileDisk(folder)
  }

  async list (): Promise<string[]> {
    const entries = await withStorageErrors(`list ${this._folder}`, () => readdir(this._folder, { withFileTypes: true }))
    return entries.filter(entry => entry.isFile()).map(entry => entry.name)
  }

  async read (name: string): Promise<Uint8Array | undefined> {
    return await this._unlessAbsent(`read ${name}`, () => readFile(join(this._folder, name)))
  }

  async readRange (name: string, positionBytes: number, lengthBytes: number): Promise<Uint8Array | undefined> {
    return await this._unlessAbsent(`read ${name}`, () => readFileRange(join(this._folder, name), positionBytes, lengthBytes))
  }

  async lengthOf (name: string): Promise<number | undefined> {
    return await this._unlessAbsent(`read the length of ${name}`, async () => (await stat(join(this._folder, name))).size)
  }

  async open (name: string): Promise<DiskFile> {
    const path = join(this._folder, name)
    return await withStorageErrors(`open ${name}`, async () => {
      const created = await open(path, 'a')
      await created.close()
      const handle = await open(path, 'r+')
      const { size } = await handle.stat()
      return new OpenFile(name, handle, size)
    })
  }

  async rename (from: string, to: string): Promise<void> {
    await withStorageErrors(`rename ${from}`, () => rename(join(this._folder, from), join(this._folder, to)))
  }

  async remove (name: string): Promise<void> {
    await withStorageErrors(`remove ${name}`, () => rm(join(this._folder, name), { force: true }))
  }

  async setAside (names: string[], folder: string): Promise<void> {
    const target = join(this._folder, folder)
    await withStorageErrors(`create folder ${folder}`, () => mkdir(target, { recursive: true }))
    for (const name of names) {
      await withStorageErrors(`move ${name} aside`, () => rename(join(this._folder, name), join(target, name)))
    }
    await this.syncFolder()
  }

  async syncFolder (): Promise<void> {
    await withStorageErrors(`sync ${this._folder}`, async () => {
      const handle = await open(this._folder, 'r')
      try {
        await handle.sync()
      } finally {
        await handle.close()
      }
    })
  }

  /** Returns undefined if the file does not exist. */
  private async _unlessAbsent<T> (operation: string, work: () => Promise<T>): Promise<T | undefined> {
    return await withStorageErrors(operation, async () => await work().catch((error: NodeJS.ErrnoException) => {
      if (error.code === 'ENOENT') return undefined
      throw error
    }))
  }
}

class OpenFile implements DiskFile {
  private readonly _name: string
  private readonly _handle: FileHandle
  private _lengthBytes: number

  constructor (name: string, handle: FileHandle, lengthBytes: number) {
    this._name = name
    this._handle = handle
    this._lengthBytes = lengthBytes
  }

  async append (bytes: Uint8Array): Promise<void> {
    await this.writeAt(this._lengthBytes, bytes)
    this._lengthBytes += bytes.length
  }

  async writeAt (positionBytes: number, bytes: Uint8Array): Promise<void> {
    await withStorageErrors(`write ${this._name}`, async () => {
      let writtenBytes = 0
      while (writtenBytes < bytes.length) {
        const result = await this._handle.write(bytes, writtenBytes, bytes.length - writtenBytes, positionBytes + writtenBytes)
        writtenBytes += result.bytesWritten
      }
    })
  }

  async truncate (lengthBytes: number): Promise<void> {
    await withStorageErrors(`truncate ${this._name}`, () => this._handle.truncate(lengthBytes))
    this._lengthBytes = lengthBytes
  }

  async sync (): Promise<void> {
    await withStorageErrors(`sync ${this._name}`, () => this._handle.datasync())
  }

  async close (): Promise<void> {
    await withStorageErrors(`close ${this._name}`, () => this._handle.close())
  }
}

async function readFileRange (path: string, positionBytes: number, lengthBytes: number): Promise<Uint8Array> {
  const handle = await open(path, 'r')
  try {
    // Not from the shared buffer pool: the result may be kept for a long time and would keep the whole pool slab in memory.
    const bytes = Buffer.allocUnsafeSlow(lengthBytes)
    let readBytes = 0
    while (readBytes < lengthBytes) {
      const result = await handle.read(bytes, readBytes, lengthBytes - readBytes, positionBytes + readBytes)
      if (result.bytesRead === 0) break
      readBytes += result.bytesRead
    }
    return bytes.subarray(0, readBytes)
  } finally {
    await handle.close()
  }
}

/** Runs an operation that does nothing before it has opened its file; it takes as long as that, as at a disk that hangs. */
async function withStorageErrors<T> (operation: string, work: () => Promise<T>): Promise<T> {
  for (;;) {
    try {
      return await work()
    } catch (error) {
      if (!hasNoDescriptor(error)) throw storageError(operation, error)
      await sleep(DESCRIPTOR_RETRY_MS)
    }
  }
}

/** The process, or its machine, may open no further file until another one is closed. */
function hasNoDescriptor (error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException
  return code === 'EMFILE' || code === 'ENFILE'
}

function storageError (operation: string, error: unknown): Error {
  const { code } = error as NodeJS.ErrnoException
  if (code === 'ENOSPC' || code === 'EDQUOT') return new DiskFullError(`cannot ${operation}: ${(error as Error).message}`)
  return new DiskUnusableError(`cannot ${operation}: ${(error as Error).message}`)
}
