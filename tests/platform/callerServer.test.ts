import test, { type ExecutionContext } from 'ava'
import { connect, type Socket } from 'node:net'
import { request } from 'undici'
import { GatewayEvent } from '../../src/gateway/gatewayEvents.js'
import { RefusalReason } from '../../src/protocol/refusals.js'
import { RouteKind, type RoutingRoute } from '../../src/protocol/routing.js'
import { serve, type CallerFixture } from '../fixtures/callerFixture.js'
import { HOST, route, routing } from '../fixtures/fleet/fleetFixtures.js'
import { refusalOf } from '../fixtures/endpointCalls.js'
import { completeResponse, startRawEndpoint, type RawRequest } from '../fixtures/rawEndpoint.js'

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

const REPEATED: Array<Partial<RoutingRoute>> = [{ kind: RouteKind.Idempotent }, { kind: RouteKind.AtMostOnce }, { kind: RouteKind.Stream, isResumable: true }, { kind: RouteKind.Stream }]
/** Requests of the service take so long that one waits for a full endpoint. */
const USUAL_MS = 400

// The copy of a refusal came where the answer was due; requests that may run more than once ran, and were refused as not run.
test('should not refuse as not run what runs at an endpoint that has repeated an earlier refusal of it', async t => {
  for (const kind of REPEATED) {
    const served = await serve(t)
    const refusing = new Set<Socket>()
    let runsCount = 0
    const raw = await startRawEndpoint(({ socket, text, attemptId }) => {
      if (text.includes('/usual/')) return setTimeout(() => socket.write(completeResponse(attemptId)), USUAL_MS)
      if (refusing.size > 0) runsCount++
      // The endpoint repeats its refusal in the place of the answer.
      if (refusing.size > 0 && !refusing.has(socket)) return socket.write(completeResponse(attemptId, 'id: 1\ndata: whole\n\n'))
      refusing.add(socket)
      socket.write(refusalOf(attemptId, 503))
    })
    t.teardown(() => raw.close())
    const services = [{ service: raw.endpoint.service, weight: 1 }]
    const routes = [route({ ...kind, timeoutMs: 2_000, services }), route({ name: 'usual', pathPrefix: '/usual/', services, timeoutMs: 2_000 })]
    served.view.merge('control-1', { routing: routing(1, routes), endpoints: [raw.endpoint] })
    await (await request(`http://${served.address}/usual/1`, { method: 'POST', headers })).body.dump()
    const answer = await request(served.url, { method: 'POST', headers })
    await answer.body.dump()
    t.is(answer.statusCode, 200, JSON.stringify(kind))
    t.is(runsCount, 1, JSON.stringify(kind))
  }
})
