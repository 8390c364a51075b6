import test from 'ava'
import { z } from 'zod'
import { RpcHandlers, RpcPeer, rpcMethod } from '../src/transport/rpcPeer.js'
import { TcpTransport } from '../src/transport/tcpTransport.js'
import { systemClock } from '../src/utils/clock.js'
import { Progress } from '../src/utils/progress.js'
import { Scope } from '../src/utils/scope.js'

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
