import test, { type ExecutionContext } from 'ava'
import { request } from 'undici'
import { BatchRoutes } from '../../platform/batchRoutes.js'
import { CallerServer } from '../../platform/callerServer.js'
import { PlatformEndpointClient } from '../../platform/endpointClient.js'
import { CallerAdmission } from '../../src/accounts/callerAdmission.js'
import { BatchClient } from '../../src/batches/batchClient.js'
import { EndpointPool } from '../../src/endpoints/endpointPool.js'
import { FleetView } from '../../src/fleet/fleetView.js'
import { GatewayEvent } from '../../src/gateway/gatewayEvents.js'
import { RequestForwarder } from '../../src/gateway/requestForwarder.js'
import { StreamForwarder } from '../../src/gateway/streamForwarder.js'
import { RefusalReason } from '../../src/protocol/refusals.js'
import { RouteKind } from '../../src/protocol/routing.js'
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import { systemClock } from '../../src/utils/clock.js'
import { silentLogger, type LogFields, type Logger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { quarantineOf } from '../fixtures/fleet/quarantineFixtures.js'
import { DATA_CENTRE, HOST, route, routing } from '../fixtures/fleet/fleetFixtures.js'
import { freePort, loopbackHost } from '../fixtures/loopback.js'
import { startRawEndpoint, type RawRequest } from '../fixtures/rawEndpoint.js'

interface CallerFixture {
  url: string
  view: FleetView
  events: Array<{ number: number, fields: LogFields }>
}

/** Starts a caller server on a free address for the duration of the test. */
async function serve (t: ExecutionContext): Promise<CallerFixture> {
  const scope = new Scope('test')
  t.teardown(() => scope.close('test over'))
  const onFatal = (error: unknown): void => { throw error }
  const events: CallerFixture['events'] = []
  const logger: Logger = { event: (number, fields = {}) => events.push({ number, fields }), child: () => logger }
  const view = new FleetView(silentLogger)
  const random = seededRandom(1)
  const metrics = memoryMetrics()
  const client = new PlatformEndpointClient(systemClock)
  const pool = new EndpointPool({ view, clock: systemClock, random, dataCentre: DATA_CENTRE, logger: silentLogger, metrics: memoryMetrics() })
  const forwarderContext = { view, pool, client, quarantine: quarantineOf(view, systemClock, client), random, logger, metrics }
  const batches = new BatchRoutes({ client: new BatchClient(view, DATA_CENTRE, new TcpTransport(), scope, onFatal), clock: systemClock, logger, metrics })
  const admission = new CallerAdmission({ policy: { isRevocationStrict: false, revokeMs: 5_000 }, disconnectedMs: () => 0 })
  const address = `${loopbackHost()}:${await freePort()}`
  const server = new CallerServer({
    address, scope, clock: systemClock, logger, metrics, view, batches, admission, onFatal, forwarder: new RequestForwarder(forwarderContext), streams: new StreamForwarder(forwarderContext)
  })
  await server.listen()
  return { url: `http://${address}/open/7`, view, events }
}

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
