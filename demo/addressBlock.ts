/**
 * Loopback addresses for one system, one per host. A block of sixteen is
 * taken by listening on its last address, so that two systems on one machine
 * never meet, whichever programs started them.
 */
import { createServer, type Server } from 'node:net'

const FIRST_SUBNET = 50
const LAST_SUBNET = 69
const HOSTS_PER_BLOCK = 16
const BLOCKS_PER_SUBNET = 15
const LOCK_HOST = 15
const LOCK_PORT = 7099

/** The addresses that the files in examples/ name: those of the first block. */
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

  /** Takes the block that the examples name, or else any free one. */
  static async take (): Promise<AddressBlock> {
    for (let subnet = FIRST_SUBNET; subnet <= LAST_SUBNET; subnet++) {
      for (let block = 0; block < BLOCKS_PER_SUBNET; block++) {
        const lock = await tryListen(hostAddress(subnet, block, LOCK_HOST))
        if (lock) return new AddressBlock(subnet, block, lock)
      }
    }
    throw new Error('no free block of loopback addresses')
  }

  /** @param host 1 to 14 */
  ip (host: number): string {
    return hostAddress(this._subnet, this._block, host)
  }

  /** Replaces the addresses of the examples by those of this block. */
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
