/**
 * A listener whose connections cannot be accepted for a while, as when a process or the
 * machine is out of descriptors: Node.js reports each as an error of the server.
 */
import test from 'ava'
import { Server } from 'node:net'
import { request } from 'undici'
import { serveMetrics } from '../../platform/metricsServer.js'
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import { prometheusMetrics } from '../../src/utils/prometheusMetrics.js'
import { Scope } from '../../src/utils/scope.js'
import { unboundedGuard } from '../fixtures/clientGuards.js'
import { freePort, loopbackHost } from '../fixtures/loopback.js'

/** As libuv reports it: EMFILE, too many open files. */
const UV_EMFILE = -24

/** What the operating system calls in a server with each connection, or with an error. */
interface ListeningHandle {
  onconnection: (status: number) => void
}

/** Runs the function; returns the server that it listens with. */
async function listeningServer (listen: () => Promise<unknown>): Promise<Server> {
  const { emit } = Server.prototype
  const found = new Promise<Server>(resolve => {
    Server.prototype.emit = function (this: Server, event: string, ...rest: unknown[]) {
      if (event === 'listening') resolve(this)
      return (emit as (event: string, ...rest: unknown[]) => boolean).call(this, event, ...rest)
    }
  })
  await listen()
  Server.prototype.emit = emit
  return await found
}

function failToAccept (server: Server): void {
  const { _handle: handle } = server as unknown as { _handle: ListeningHandle }
  handle.onconnection(UV_EMFILE)
}

// The first error took away the only listener of errors, and the second ended the process.
test.serial('should go on after connections that an HTTP listener could not accept', async t => {
  const scope = new Scope('test')
  const address = `${loopbackHost()}:${await freePort()}`
  t.teardown(() => scope.close('test over'))
  const server = await listeningServer(async () => await serveMetrics(address, prometheusMetrics(), unboundedGuard(), scope, error => { throw error }))
  for (let count = 0; count < 3; count++) t.notThrows(() => failToAccept(server))
  const answer = await request(`http://${address}/metrics`, { reset: true })
  t.is(answer.statusCode, 200)
  await answer.body.dump()
})

test.serial('should go on after connections of peers that could not be accepted', async t => {
  const scope = new Scope('test')
  const transport = new TcpTransport()
  const address = `${loopbackHost()}:${await freePort()}`
  t.teardown(() => scope.close('test over'))
  const server = await listeningServer(async () => await transport.listen(address, scope, () => {}))
  for (let count = 0; count < 3; count++) t.notThrows(() => failToAccept(server))
  t.is((await transport.connect(address, scope)).kind, 'connected')
})
