/**
 * Reserves loopback addresses for one system, one per host. Listening on the
 * last address of a block of sixteen locks it, so that systems on the same
 * machine never share addresses, even across programs.
 */
import { createServer, type Server } from 'node:net'

const FIRST_SUBNET = 50
const LAST_SUBNET = 69
const HOSTS_PER_BLOCK = 16
const BLOCKS_PER_SUBNET = 15
const LOCK_HOST = 15
const LOCK_PORT = 7099

/** Addresses in the files in examples/, which belong to the first block. */
const EXAMPLE_ADDRESS = /127\.0\.50\.(\d+)/g

export class AddressBlock {
  private readonly _subnet: number
  private readonly _block: number
  private readonly _lock: Server

  private constructor (subnet: number, block: number, lock: Server) {
    this._subnet = subnet
    this._block = block
    this._lock = lock
  }

  /** Reserves the block that the examples use if it is free, or else the next free one. */
  static async acquire (): Promise<AddressBlock> {
    for (let subnet = FIRST_SUBNET; subnet <= LAST_SUBNET; subnet++) {
      for (let block = 0; block < BLOCKS_PER_SUBNET; block++) {
        const lock = await tryListen(hostAddress(subnet, block, LOCK_HOST))
        if (lock) return new AddressBlock(subnet, block, lock)
      }
    }
    throw new Error(`no free block of loopback addresses in 127.0.${FIRST_SUBNET}.0 to 127.0.${LAST_SUBNET}.255`)
  }

  /** @param host 1 to 14 */
  ip (host: number): string {
    return hostAddress(this._subnet, this._block, host)
  }

  /** Replaces the addresses of the examples with those of this block. */
  translate (text: string): string {
    return text.replace(EXAMPLE_ADDRESS, (_address, host: string) => this.ip(Number(host)))
  }

  release (): void {
    this._lock.close()
  }
}

function hostAddress (subnet: number, block: number, host: number): string {
  return `127.0.${subnet}.${block * HOSTS_PER_BLOCK + host}`
}

async function tryListen (ip: string): Promise<Server | undefined> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(undefined))
    server.listen(LOCK_PORT, ip, () => {
      server.unref()
      resolve(server)
    })
  })
}
