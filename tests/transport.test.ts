import test from 'ava'
import { Encoder } from 'cbor-x'
import { connect } from 'node:net'
import { z } from 'zod'
import { RpcHandlers, RpcPeer, rpcMethod } from '../src/transport/rpcPeer.js'
import { TcpTransport } from '../src/transport/tcpTransport.js'
import { systemClock } from '../src/utils/clock.js'
import { Progress } from '../src/utils/progress.js'
import { Scope } from '../src/utils/scope.js'
import { until } from './fixtures/until.js'

const double = rpcMethod('double', z.number(), z.number())

function fail (error: unknown): never {
  throw error
}

test('should reply to calls over TCP and refuse a malformed body', async t => {
  const scope = new Scope('test')
  const transport = new TcpTransport()
  const handlers = new RpcHandlers()
  handlers.on(double, value => value * 2)
  const listener = await transport.listen('127.0.0.1:0', scope, connection => {
    new RpcPeer(connection, handlers, fail).connection.onMessage(() => {})
  })
  const outcome = await transport.connect(listener.address, scope)
  if (outcome.kind !== 'connected') return t.fail(outcome.reason)
  const peer = new RpcPeer(outcome.connection, new RpcHandlers(), fail)
  const progress = new Progress(systemClock, scope, systemClock.nowMs() + 60_000)
  t.deepEqual(await peer.call(double, 21, progress), { kind: 'replied', body: 42 })
  t.like(await peer.call(double, 'x' as never, progress), { kind: 'unserved' })
  scope.close('test over')
})

test('should report a reply as lost when the connection closes', async t => {
  const scope = new Scope('test')
  const transport = new TcpTransport()
  const listener = await transport.listen('127.0.0.1:0', scope, connection => {
    connection.onMessage(() => connection.close('crash'))
  })
  const outcome = await transport.connect(listener.address, scope)
  if (outcome.kind !== 'connected') return t.fail(outcome.reason)
  const peer = new RpcPeer(outcome.connection, new RpcHandlers(), fail)
  const progress = new Progress(systemClock, scope, systemClock.nowMs() + 60_000)
  t.like(await peer.call(double, 1, progress), { kind: 'lost' })
  scope.close('test over')
})

// What had arrived of a message was copied again with each further piece.
test('should receive messages wherever their bytes are cut', async t => {
  const scope = new Scope('test')
  const received: unknown[] = []
  const listener = await new TcpTransport().listen('127.0.0.1:0', scope, connection => connection.onMessage(message => received.push(message)))
  const messages = [{ text: 'a' }, { text: 'b'.repeat(300_000) }, { text: 'c' }, [1, 2, 3]]
  const frames = Buffer.concat(messages.map(message => {
    const body = Buffer.from(new Encoder({ useRecords: false }).encode(message))
    const length = Buffer.alloc(4)
    length.writeUInt32BE(body.length)
    return Buffer.concat([length, body])
  }))
  for (const pieceBytes of [1_000, 3, 65_536, frames.length]) {
    received.length = 0
    const [host = '', port] = listener.address.split(':')
    const socket = connect({ host, port: Number(port), noDelay: true })
    const sentBytes = pieceBytes === 3 ? 3_000 : 0
    for (let position = 0; position < sentBytes; position += pieceBytes) await new Promise<void>(resolve => socket.write(frames.subarray(position, position + pieceBytes), () => setImmediate(resolve)))
    for (let position = sentBytes; position < frames.length; position += Math.max(pieceBytes, 1_000)) await new Promise<void>(resolve => socket.write(frames.subarray(position, position + Math.max(pieceBytes, 1_000)), () => setImmediate(resolve)))
    await until(() => received.length === messages.length)
    t.deepEqual(received, messages, `in pieces of ${pieceBytes} bytes`)
    socket.destroy()
  }
  scope.close('test over')
})
