/**
 * Which statuses an answer may have: 200 to 599. What has another one is no answer, and
 * nothing of it counts for the request, for its caller or for the connection.
 */
import test, { type ExecutionContext } from 'ava'
import { request } from 'undici'
import { PlatformEndpointClient } from '../../platform/endpointClient.js'
import { PlatformInfrastructure } from '../../platform/infrastructureClient.js'
import { DutyKind } from '../../src/duties/infrastructure.js'
import { LoadMode } from '../../src/endpoints/endpointClient.js'
import { GatewayEvent } from '../../src/gateway/gatewayEvents.js'
import { RouteKind } from '../../src/protocol/routing.js'
import { systemClock } from '../../src/utils/clock.js'
import { AnswerProblem, MetricName } from '../../src/utils/metricNames.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { serve } from '../fixtures/callerFixture.js'
import { call, chunk, client, END, runItem, streamRequest, WAIT_MS } from '../fixtures/endpointCalls.js'
import { HOST, route, routing } from '../fixtures/fleet/fleetFixtures.js'
import { completeResponse, startRawEndpoint, type RawEndpoint, type RawRequest } from '../fixtures/rawEndpoint.js'
import { until } from '../fixtures/until.js'

const BODIES = {
  'with a body': 'Content-Length: 5\r\n\r\nwhole',
  'in chunks': `Transfer-Encoding: chunked\r\n\r\n${chunk('id: 1\ndata: a\n\n')}${END}`,
  empty: 'Content-Length: 0\r\n\r\n',
  'without a length': '\r\nid: 1\ndata: a\n\n'
}
/** The statuses that the HTTP client hands on, and those at which it fails by itself. */
const STATUSES = ['000', '001', '099', '600', '999', '1', '1000', '2xx', '-20', '100', '101']

/** The client for the infrastructure waits until its deadline for the answer behind an informational one. */
const INFRASTRUCTURE_WAIT_MS = 150

const handler = { onHead: () => {}, onData: async () => undefined }
const deadlineMs = (): number => systemClock.nowMs() + WAIT_MS
const order = { model: 'm', version: 2, mode: LoadMode.Block, holder: 'h1', fencingNumber: 1, expectedOrdersCount: 0 }

/** Every kind of exchange with an engine, and what becomes of one that got no answer. */
const EXCHANGES: Record<string, { use: (raw: RawEndpoint) => Promise<string | undefined>, outcome: string | undefined }> = {
  'a request': { use: async ({ endpoint }) => (await call(endpoint)).kind, outcome: 'broken' },
  'a request over its own connection': { use: async ({ endpoint }) => (await client.call({ ...streamRequest(endpoint), wasRefusedThere: true }, new Scope('test'))).kind, outcome: 'broken' },
  'a stream': { use: async ({ endpoint }) => (await client.stream(streamRequest(endpoint), new Scope('test'), handler)).kind, outcome: 'broken' },
  'a resumed stream': { use: async ({ endpoint }) => (await client.stream({ ...streamRequest(endpoint), afterEventId: 3 }, new Scope('test'), handler)).kind, outcome: 'broken' },
  'an item': { use: async raw => (await runItem(raw)).outcome.kind, outcome: 'broken' },
  'a report': { use: async ({ endpoint }) => (await client.report(endpoint, deadlineMs(), new Scope('test')))?.isBusy.toString(), outcome: undefined },
  'an order': { use: async ({ endpoint }) => (await client.orderLoad(endpoint, order, deadlineMs(), new Scope('test'))).kind, outcome: 'unknown' },
  'a call to the infrastructure': {
    use: async ({ endpoint }) => {
      const call = { kind: DutyKind.ReportUsage, windowId: 7, counts: {} } as const
      return (await new PlatformInfrastructure(endpoint.address, systemClock).call(call, { holder: 'h1', fencingNumber: 1 }, () => true, systemClock.nowMs() + INFRASTRUCTURE_WAIT_MS, new Scope('test'))).kind
    },
    outcome: 'unknown'
  }
}

function writeStatus ({ socket, attemptId }: RawRequest, status: string, rest: string): void {
  const id = attemptId === '' ? '' : `X-Threaddrum-Attempt-Id: ${attemptId}\r\n`
  socket.write(`HTTP/1.1 ${status} Status\r\n${id}X-Threaddrum-Server-Stamp: stamp\r\nX-Threaddrum-Weight-Versions: 1\r\n${rest}`)
}

// An answer with status 600 was passed on to the caller, and its connection was kept; an engine that answered an order by it had "refused" it.
for (const [name, { use, outcome }] of Object.entries(EXCHANGES)) {
  test(`should take nothing with a status that is none for the answer to ${name}, and close its connection`, async t => {
    for (const status of STATUSES) {
      for (const [form, rest] of Object.entries(BODIES)) {
        let closedCount = 0
        const raw = await startRawEndpoint(asked => {
          asked.socket.once('close', () => { closedCount++ })
          writeStatus(asked, status, rest)
        })
        t.is(await use(raw), outcome, `${status} ${form}`)
        await until(() => closedCount === 1)
        raw.close()
      }
    }
  })
}

test('should count an answer with a status that is none, and tell the status', async t => {
  const ownMetrics = memoryMetrics()
  const ownClient = new PlatformEndpointClient(systemClock, ownMetrics)
  for (const status of ['000', '600']) {
    const raw = await startRawEndpoint(asked => writeStatus(asked, status, BODIES.empty))
    t.teardown(() => raw.close())
    const reason = `the response has the status ${Number(status)}, which no answer has`
    t.like(await ownClient.call(streamRequest(raw.endpoint), new Scope('test')), { kind: 'broken', reason })
    t.like(await ownClient.runItem(streamRequest(raw.endpoint), new Scope('test'), () => {}), { kind: 'broken', reason })
    t.like(await ownClient.orderLoad(raw.endpoint, order, deadlineMs(), new Scope('test')), { kind: 'unknown', reason })
  }
  t.is(ownMetrics.snapshot()[`${MetricName.AnswersDropped}{reason=${AnswerProblem.BadStatus}}`], 6)
})

async function serveBeside (t: ExecutionContext, kind: RouteKind, status: string): Promise<{ statuses: number[], ranCount: () => number, events: Array<{ number: number, fields: object }> }> {
  const { url, view, events } = await serve(t)
  const bad = await startRawEndpoint(asked => writeStatus(asked, status, BODIES['with a body']))
  const good = await startRawEndpoint(({ socket, attemptId }) => socket.write(completeResponse(attemptId)))
  t.teardown(() => { bad.close(); good.close() })
  const routes = [route({ kind, services: [{ service: bad.endpoint.service, weight: 1 }] })]
  view.merge('control-1', { routing: routing(1, routes), endpoints: [bad.endpoint, good.endpoint] })
  const statuses: number[] = []
  for (let number = 0; number < 20; number++) {
    const answer = await request(url, { method: 'POST', headers: { host: HOST, 'x-threaddrum-attempt-id': `a${number}` } })
    statuses.push(answer.statusCode)
    await answer.body.dump()
  }
  return { statuses, ranCount: () => bad.requests.length + good.requests.length, events }
}

// A caller got the status 600, with the receipt of its engine.
for (const status of ['600', '000', '1000']) {
  test(`should send a request that may be repeated to another engine where one answers by ${status}`, async t => {
    const { statuses, events } = await serveBeside(t, RouteKind.Idempotent, status)
    t.deepEqual([...new Set(statuses)], [200])
    t.true(events.some(({ number, fields }) => number === GatewayEvent.TryFailed && 'endpointId' in fields))
  })

  test(`should tell the caller of a request that may run once that it may have run where its engine answers by ${status}`, async t => {
    const { statuses, ranCount } = await serveBeside(t, RouteKind.AtMostOnce, status)
    t.deepEqual([...new Set(statuses)].sort(), [200, 502])
    t.is(ranCount(), statuses.length)
  })
}
