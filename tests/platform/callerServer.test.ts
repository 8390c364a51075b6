import test, { type ExecutionContext } from 'ava'
import { connect, type Socket } from 'node:net'
import { request } from 'undici'
import { GatewayEvent } from '../../src/gateway/gatewayEvents.js'
import { RefusalReason } from '../../src/protocol/refusals.js'
import { RouteKind } from '../../src/protocol/routing.js'
import { serve, type CallerFixture } from '../fixtures/callerFixture.js'
import { HOST, route, routing } from '../fixtures/fleet/fleetFixtures.js'
import { startRawEndpoint, type RawRequest } from '../fixtures/rawEndpoint.js'

async function serveStream (t: ExecutionContext, answer: (request: RawRequest) => void): Promise<CallerFixture> {
  const served = await serve(t)
  const raw = await startRawEndpoint(answer)
  t.teardown(() => raw.close())
  const routes = [route({ kind: RouteKind.Stream, timeoutMs: 20_000, services: [{ service: raw.endpoint.service, weight: 1 }] })]
  served.view.merge('control-1', { routing: routing(1, routes), endpoints: [raw.endpoint] })
  return served
}

const headers = { host: HOST, 'x-threaddrum-attempt-id': 'a1' }

function streamHead (attemptId: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-threaddrum-attempt-id: ${attemptId}\r\nx-threaddrum-server-stamp: stamp\r\ntransfer-encoding: chunked\r\n\r\n`
}

test('should refuse with Retry-After, and log it, while no routing configuration is known', async t => {
  const { url, events } = await serve(t)
  const answer = await request(url, { method: 'POST', headers })
  t.is(answer.statusCode, 503)
  t.true(Number(answer.headers['retry-after']) > 0)
  await answer.body.dump()
  const [refused] = events
  t.is(refused?.number, GatewayEvent.RequestRefused)
  t.like(refused?.fields, { attemptId: 'a1', reason: RefusalReason.HostNotReady })
})

test('should forward a stream with the head of its endpoint before it has ended', async t => {
  let endStream = (): void => {}
  const { url } = await serveStream(t, ({ socket, attemptId }) => {
    socket.write(`${streamHead(attemptId)}7\r\npiece 1\r\n`)
    endStream = () => socket.write('7\r\npiece 2\r\n0\r\n\r\n')
  })
  const answer = await request(url, { method: 'POST', headers })
  t.is(answer.statusCode, 200)
  t.is(answer.headers['x-threaddrum-server-stamp'], 'stamp')
  let text = ''
  for await (const chunk of answer.body) {
    text += String(chunk)
    if (text === 'piece 1') endStream()
  }
  t.is(text, 'piece 1piece 2')
})

test('should show the caller that a broken stream is incomplete', async t => {
  const { url, events } = await serveStream(t, ({ socket, attemptId }) => {
    socket.write(`${streamHead(attemptId)}7\r\npiece 1\r\n`, () => socket.destroy())
  })
  const answer = await request(url, { method: 'POST', headers })
  await t.throwsAsync(answer.body.text())
  t.true(events.some(({ number }) => number === GatewayEvent.StreamBrokenOff))
})

/** How the connection of a caller ends that asks by HTTP/1.0, which has no chunks; calls back once it has the first piece. */
async function endWithoutChunks (address: string, onPiece: () => void): Promise<{ text: string, ending: string }> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  socket.write(`POST /open/7 HTTP/1.0\r\nhost: ${HOST}\r\nx-threaddrum-attempt-id: a1\r\n\r\n`)
  let text = ''
  return await new Promise(resolve => {
    socket.on('data', chunk => {
      text += chunk.toString()
      if (text.endsWith('piece 1')) onPiece()
    })
    socket.once('end', () => resolve({ text, ending: 'closed' }))
    socket.once('error', (error: NodeJS.ErrnoException) => resolve({ text, ending: error.code ?? '' }))
  })
}

// A caller that knows no chunks took a stream for whole that had been broken off.
test('should reset the connection of a caller without chunks whose stream is broken off, and only then', async t => {
  for (const isBroken of [true, false]) {
    let source: Socket | undefined
    const { address } = await serveStream(t, ({ socket, attemptId }) => {
      source = socket
      socket.write(`${streamHead(attemptId)}7\r\npiece 1\r\n`)
    })
    const { text, ending } = await endWithoutChunks(address, () => {
      if (isBroken) source?.resetAndDestroy()
      else source?.write('0\r\n\r\n')
    })
    t.true(text.endsWith('\r\n\r\npiece 1'), text)
    t.is(ending, isBroken ? 'ECONNRESET' : 'closed')
  }
})
