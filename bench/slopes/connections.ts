/**
 * The cost of open connections between processes for the accepting side: memory
 * of an idle connection, and processor time of one message to all connections.
 */
import { once } from 'node:events'
import { fork, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import type { Connection } from '../../src/transport/connection.js'
import { Scope } from '../../src/utils/scope.js'
import { liveBytes, processorUs } from './ownProcess.js'
import type { SlopeMeasurement } from './slope.js'

const MESSAGES_PER_READING = 200
/** About the size of one resource change. */
const MESSAGE_TEXT = 'x'.repeat(300)
const SETTLE_MS = 300

enum Mode {
  Memory = 'memory',
  FanOut = 'fan-out'
}

/** Called in a child process: accepts `size` connections and takes the reading. */
export async function serveConnections (mode: string, size: number): Promise<number> {
  const scope = new Scope('server')
  const accepted: Connection[] = []
  const transport = new TcpTransport()
  const before = liveBytes()
  const full = new Promise<void>(resolve => {
    transport.listen('127.0.71.1:0', scope, connection => {
      connection.onMessage(() => {})
      accepted.push(connection)
      if (accepted.length === size) resolve()
    }).then(listener => {
      const clients = fork(fileURLToPath(new URL('./child.js', import.meta.url)), ['connect', String(size), listener.address])
      process.once('exit', () => clients.kill('SIGKILL'))
    }, error => { throw error })
  })
  await full
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
  if (mode === Mode.Memory) return liveBytes() - before
  const usedUs = await processorUs(async () => {
    for (let message = 0; message < MESSAGES_PER_READING; message++) {
      for (const connection of accepted) connection.send({ message, text: MESSAGE_TEXT })
      await new Promise(resolve => setImmediate(resolve))
    }
  })
  return usedUs / MESSAGES_PER_READING
}

/** Called in a child of that process: opens connections and keeps them open. */
export async function openConnections (size: number, address: string): Promise<void> {
  const scope = new Scope('clients')
  const transport = new TcpTransport()
  for (let opened = 0; opened < size; opened++) {
    const outcome = await transport.connect(address, scope)
    if (outcome.kind !== 'connected') throw new Error(outcome.reason)
    outcome.connection.onMessage(() => {})
  }
  process.on('disconnect', () => process.exit(0))
}

async function readMode (mode: Mode, size: number): Promise<number> {
  const child: ChildProcess = fork(fileURLToPath(new URL('./child.js', import.meta.url)), ['serve', String(size), mode], { execArgv: ['--expose-gc'] })
  const [value] = await once(child, 'message') as [number]
  child.kill('SIGTERM')
  await once(child, 'exit')
  return value
}

const sizes = [50, 100, 200, 400]

export const connectionSlopes: SlopeMeasurement[] = [
  {
    metrics: [{
      name: 'transport.connectionBytes',
      what: 'memory of the accepting side for idle framed connections, after collection',
      unit: 'bytes'
    }],
    sizeUnit: 'connections',
    sizes,
    repeats: 3,
    read: async size => [await readMode(Mode.Memory, size)]
  },
  {
    metrics: [{
      name: 'transport.fanOutUs',
      what: 'processor time of the sender for one message of 300 bytes to every connection',
      unit: 'us'
    }],
    sizeUnit: 'connections',
    sizes,
    repeats: 3,
    read: async size => [await readMode(Mode.FanOut, size)]
  }
]
