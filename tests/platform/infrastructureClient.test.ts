import { createServer, type IncomingHttpHeaders, type Server } from 'node:http'
import test, { type ExecutionContext } from 'ava'
import { PlatformInfrastructure } from '../../platform/infrastructureClient.js'
import { DutyKind, type DutyCall, type DutyOutcome } from '../../src/duties/infrastructure.js'
import { systemClock } from '../../src/utils/clock.js'
import { Scope } from '../../src/utils/scope.js'
import { freePort, loopbackHost } from '../fixtures/loopback.js'

const WAIT_MS = 20_000

interface Received {
  path: string
  headers: IncomingHttpHeaders
  body: unknown
}

interface InfrastructureFixture {
  received: Received[]
  call: (call: DutyCall, mayAct?: () => boolean, waitMs?: number) => Promise<DutyOutcome>
}

/** @param status status code of every response; 0 sends no response */
async function serve (t: ExecutionContext, status: number): Promise<InfrastructureFixture> {
  const received: Received[] = []
  const server: Server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      received.push({ path: `${request.method ?? ''} ${request.url ?? ''}`, headers: request.headers, body: JSON.parse(Buffer.concat(chunks).toString()) })
      if (status > 0) response.writeHead(status).end()
    })
    request.on('error', () => {})
  })
  const [host, port] = [loopbackHost(), await freePort()]
  await new Promise<void>(resolve => server.listen(port, host, resolve))
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  const infrastructure = new PlatformInfrastructure(`${host}:${port}`, systemClock)
  const dutyHolder = { holder: 'edge-1', fencingNumber: 12 }
  return {
    received,
    call: async (call, mayAct = () => true, waitMs = WAIT_MS) => await infrastructure.call(call, dutyHolder, mayAct, systemClock.nowMs() + waitMs, new Scope('test'))
  }
}

const usage: DutyCall = { kind: DutyKind.ReportUsage, windowId: 7, counts: { learners: 3 } }
const order: DutyCall = { kind: DutyKind.OrderEndpoints, service: 's1', dataCentre: 'north', isReclaimable: false, desiredCount: 6 }

test('should report usage and order endpoints in the platform\'s format, with holder and fencing number', async t => {
  const { call, received } = await serve(t, 200)
  t.deepEqual(await call(usage), { kind: 'done' })
  t.deepEqual(await call(order), { kind: 'done' })
  t.deepEqual(await call({ ...order, isReclaimable: true }), { kind: 'done' })
  t.deepEqual(received.map(({ path, body }) => [path, body]), [
    ['POST /usage', { 'window-id': 7, counts: { learners: 3 } }],
    ['POST /scale', { service: 's1', zone: 'north', desired: 6 }],
    ['POST /scale', { service: 's1', zone: 'north', desired: 6, spot: true }]
  ])
  t.like(received[0]?.headers, { 'x-threaddrum-duty-holder': 'edge-1', 'x-threaddrum-fencing-token': '12', 'content-type': 'application/json' })
})

const answers: Array<[number, DutyOutcome]> = [
  [409, { kind: 'conflict' }],
  [412, { kind: 'staleFence' }],
  [429, { kind: 'tooMany' }],
  [400, { kind: 'refused', status: 400 }],
  [503, { kind: 'unknown', reason: 'status 503' }]
]

for (const [status, outcome] of answers) {
  test(`should map an answer of ${status} to ${outcome.kind}`, async t => {
    const { call } = await serve(t, status)
    t.deepEqual(await call(usage), outcome)
  })
}

// Guards against a call that is delayed until another host has taken over the duty.
test('should send nothing once the host has lost the duty', async t => {
  const { call, received } = await serve(t, 200)
  t.is((await call(usage, () => false)).kind, 'notSent')
  t.is(received.length, 0)
})

test('should report that a call without an answer may have been carried out', async t => {
  const { call } = await serve(t, 0)
  t.is((await call(usage, () => true, 300)).kind, 'unknown')
})

test('should report that nothing was sent if no server listens', async t => {
  const infrastructure = new PlatformInfrastructure(`${loopbackHost()}:${await freePort()}`, systemClock)
  const outcome = await infrastructure.call(usage, { holder: 'edge-1', fencingNumber: 1 }, () => true, systemClock.nowMs() + WAIT_MS, new Scope('test'))
  t.is(outcome.kind, 'notSent')
})
