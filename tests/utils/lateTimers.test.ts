import test from 'ava'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { systemClock } from '../../src/utils/clock.js'
import { loopbackHost } from '../fixtures/loopback.js'

const BLOCKED_MS = 300

function block (forMs: number): void {
  const untilMs = performance.now() + forMs
  while (performance.now() < untilMs) { /* keeps the event loop busy */ }
}

// A busy host counted replies as lost that were waiting in its sockets, and closed the connections.
test('should read what has arrived before a late timer fires', async t => {
  const server = createServer()
  t.teardown(() => server.close())
  server.listen(0, loopbackHost())
  await once(server, 'listening')
  const { address, port } = server.address() as AddressInfo
  const client = connect({ host: address, port })
  t.teardown(() => client.destroy())
  const [accepted] = await once(server, 'connection') as [Socket]
  t.teardown(() => accepted.destroy())
  const order: string[] = []
  accepted.on('data', () => order.push('message'))
  const fired = new Promise<void>(resolve => systemClock.callAt(systemClock.nowMs() + BLOCKED_MS / 2, () => {
    order.push('timer')
    resolve()
  }))
  client.write('reply')
  block(BLOCKED_MS)
  await fired
  t.deepEqual(order, ['message', 'timer'])
})

test('should not fire a late timer that was cancelled', async t => {
  let hasFired = false
  const cancel = systemClock.callAt(systemClock.nowMs() + 1, () => { hasFired = true })
  block(BLOCKED_MS)
  setTimeout(cancel, 0)
  await new Promise<void>(resolve => setTimeout(resolve, 50))
  t.false(hasFired)
})
