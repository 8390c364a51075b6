import test from 'ava'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer, type Server } from 'node:net'
import { systemClock } from '../../src/utils/clock.js'
import { ScopeClosedError } from '../../src/utils/errors.js'
import { ListenEvent } from '../../src/utils/listenEvents.js'
import { listenWhenFree } from '../../src/utils/listenWhenFree.js'
import type { LogFields, Logger } from '../../src/utils/logger.js'
import { MetricName } from '../../src/utils/metricNames.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { freePort, loopbackHost } from '../fixtures/loopback.js'
import { until } from '../fixtures/until.js'

type Line = LogFields & { event: number }

function recordingLogger (lines: Line[]): Logger {
  const logger: Logger = { event: (event, fields = {}) => { lines.push({ ...fields, event }) }, child: () => logger }
  return logger
}

async function hold (address: string): Promise<Server> {
  const [host, port] = address.split(':')
  const holder = createServer(socket => socket.destroy())
  await new Promise<void>(resolve => holder.listen(Number(port), host, resolve))
  return holder
}

async function isListenedOn (address: string): Promise<boolean> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const socket = connect(Number(port), host ?? '')
    socket.once('error', () => resolve(false))
    socket.once('connect', () => {
      socket.destroy()
      resolve(true)
    })
  })
}

test('should wait for a held address, and tell once that it waits and once that it listens', async t => {
  const address = `${loopbackHost()}:${await freePort()}`
  const holder = await hold(address)
  const [server, scope, lines] = [createHttpServer(), new Scope('test'), [] as Line[]]
  const listening = listenWhenFree({ server, name: 'test', address, clock: systemClock, metrics: memoryMetrics(), logger: recordingLogger(lines), scope })
  await until(() => lines.length > 0)
  t.like(lines[0], { event: ListenEvent.Waiting, listener: 'test', address, code: 'EADDRINUSE' })
  holder.close()
  await listening
  t.true(await isListenedOn(address))
  t.deepEqual(lines.map(({ event }) => event), [ListenEvent.Waiting, ListenEvent.Listening])
  t.true(Number(lines[1]?.attemptsCount) > 1)
  server.close()
})

// An error of a server without a listener of errors ends the process.
test('should tell of the connections that could not be accepted once, and count them all', async t => {
  const [server, lines, metrics] = [createServer(), [] as Line[], memoryMetrics()]
  await listenWhenFree({ server, name: 'test', address: `${loopbackHost()}:0`, clock: systemClock, logger: recordingLogger(lines), metrics, scope: new Scope('test') })
  for (let count = 0; count < 3; count++) server.emit('error', Object.assign(new Error('accept EMFILE'), { code: 'EMFILE' }))
  t.like(lines, [{ event: ListenEvent.AcceptFailed, listener: 'test', code: 'EMFILE' }])
  t.is(lines.length, 1)
  t.is(metrics.snapshot()[`${MetricName.ListenersErrors}{code=EMFILE,listener=test}`], 3)
  server.close()
})

test('should listen without a line where the address is free', async t => {
  const [server, lines] = [createServer(), [] as Line[]]
  await listenWhenFree({ server, name: 'test', address: `${loopbackHost()}:0`, clock: systemClock, metrics: memoryMetrics(), logger: recordingLogger(lines), scope: new Scope('test') })
  t.true(server.listening)
  t.deepEqual(lines, [])
  server.close()
})

for (const [kind, create] of [['net', () => createServer()], ['http', () => createHttpServer()]] as const) {
  test(`should end the wait of a ${kind} server when its scope closes, and not listen afterwards`, async t => {
    const address = `${loopbackHost()}:${await freePort()}`
    const holder = await hold(address)
    const [server, scope, lines] = [create(), new Scope('test'), [] as Line[]]
    const listening = listenWhenFree({ server, name: 'test', address, clock: systemClock, metrics: memoryMetrics(), logger: recordingLogger(lines), scope })
    await until(() => lines.length > 0)
    scope.close('planned stop')
    await t.throwsAsync(listening, { instanceOf: ScopeClosedError })
    await new Promise(resolve => holder.close(resolve))
    t.false(await isListenedOn(address))
    t.false(server.listening)
  })
}

// The attempt was under way when its scope closed: nothing closed the server that listened then.
test('should not keep listening when the scope closes during an attempt', async t => {
  const address = `${loopbackHost()}:${await freePort()}`
  const [server, scope] = [createServer(), new Scope('test')]
  const listening = listenWhenFree({ server, name: 'test', address, clock: systemClock, metrics: memoryMetrics(), logger: recordingLogger([]), scope })
  scope.close('planned stop')
  await t.throwsAsync(listening, { instanceOf: ScopeClosedError })
  await until(async () => !server.listening && !await isListenedOn(address))
  t.false(server.listening)
})
