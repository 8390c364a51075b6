/**
 * Programs whose clients take every descriptor that the process may open: each must go
 * on, tell so, and serve again once the clients are gone.
 */
import anyTest from 'ava'
import { connect, type Socket } from 'node:net'
import { MemoryEvent } from '../../src/utils/memoryEvents.js'
import { parseAddress } from '../../src/utils/settings.js'
import type { PortName } from '../fixtures/hostSettings.js'
import { TestHost } from '../fixtures/testHost.js'

/** One at a time: each starts programs. */
const test = anyTest.serial

/** More than a program opens while it loads its code, fewer than the clients. */
const DESCRIPTORS_COUNT = 300
const CLIENTS_COUNT = 500
/** The clients come and go while the program opens files and connections of its own. */
const ROUNDS_COUNT = 10

const PORT: Record<'edge' | 'control' | 'store', PortName> = { edge: 'callers', control: 'controlPeers', store: 'storePeers' }

async function crowd (address: string): Promise<Socket[]> {
  const { host, port } = parseAddress(address)
  return await Promise.all(Array.from({ length: CLIENTS_COUNT }, async () => await new Promise<Socket>(resolve => {
    const socket = connect(port, host)
    socket.on('error', () => resolve(socket))
    socket.on('connect', () => resolve(socket))
  })))
}

// The resident memory is read from a file: with no descriptor left, the reading ended the process with code 70.
for (const name of ['edge', 'control', 'store'] as const) {
  test(`should go on in ${name} when clients take all of its descriptors`, async t => {
    const host = await TestHost.create(t)
    const program = host.start(t, name, { limit: `-n ${DESCRIPTORS_COUNT}` })
    await program.until(async () => await host.statusOf(`${name}Metrics`, '/metrics') === 200)
    let clients: Socket[] = []
    t.teardown(() => clients.forEach(client => client.destroy()))
    for (let round = 0; round < ROUNDS_COUNT; round++) {
      for (const client of clients) client.destroy()
      clients = await crowd(host.address(PORT[name]))
    }
    await program.until(() => program.linesOf(MemoryEvent.Unreadable).length > 0)
    for (const client of clients) client.destroy()
    await program.until(() => program.linesOf(MemoryEvent.ReadAgain).length > 0)
    await program.until(async () => await host.statusOf(`${name}Metrics`, '/metrics') === 200)
    if (name === 'edge') await program.until(async () => await host.statusOf('callers', '/none') !== undefined)
    t.is(program.end, undefined)
  })
}
