/**
 * What cannot be sent, and heads that HTTP clients stumble over: each is an outcome of its
 * exchange. A throw would end the process with all the other requests on it.
 */
import test from 'ava'
import { PlatformEndpointClient } from '../../platform/endpointClient.js'
import { PlatformInfrastructure } from '../../platform/infrastructureClient.js'
import { Engine } from '../../src/batchScheduling/engineFleet.js'
import { recordOutcome } from '../../src/batches/runOutcome.js'
import { DutyKind } from '../../src/duties/infrastructure.js'
import { Listening, LoadMode, type StreamedRequest } from '../../src/endpoints/endpointClient.js'
import { EndpointHealth } from '../../src/endpoints/endpointHealth.js'
import type { EndpointPool } from '../../src/endpoints/endpointPool.js'
import { FailureAttribution } from '../../src/endpoints/failureAttribution.js'
import type { FleetView } from '../../src/fleet/fleetView.js'
import { recordFailedTry } from '../../src/gateway/failedTry.js'
import { systemClock } from '../../src/utils/clock.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { runItemUntilDeadline, streamRequest, withEndpoint } from '../fixtures/endpointCalls.js'
import { endpoint, engine as batchEngine } from '../fixtures/fleet/fleetFixtures.js'
import { completeResponse } from '../fixtures/rawEndpoint.js'
import { until } from '../fixtures/until.js'

const client = new PlatformEndpointClient(systemClock, memoryMetrics())
const handler = { onHead: () => {}, onData: async () => undefined }
const scope = (): Scope => new Scope('test')

async function outcomesOf (request: StreamedRequest): Promise<Array<{ kind: string, isUnsendable?: boolean }>> {
  const single = { ...request, wasRefusedThere: true }
  return [await client.call(request, scope()), await client.call(single, scope()), await client.stream(request, scope(), handler), await runItemUntilDeadline(request)]
}

const BAD_ADDRESSES = ['127.0.0.1:70000', '127.0.0.1:-1', '127.0.0.1', '127.0.0.1:x', 'a b:80', '', '[::1:80', '1.2.3.4:80/path?x']

// The client threw where an address was no address: an item's run at such an engine ended the process of its store host.
for (const address of BAD_ADDRESSES) {
  test(`should not reach an engine whose address is "${address}", and not throw`, async t => {
    const bad = endpoint('e1', { address })
    const deadlineMs = systemClock.nowMs() + 300
    for (const outcome of await outcomesOf({ ...streamRequest(bad), deadlineMs })) t.true(['unreached', 'broken'].includes(outcome.kind), outcome.kind)
    t.is(await client.report(bad, deadlineMs, scope()), undefined)
    t.is((await client.orderLoad(bad, { model: 'm', version: 2, mode: LoadMode.Block, holder: 'h1', fencingNumber: 1, expectedOrdersCount: 0 }, deadlineMs, scope())).kind, 'unknown')
    t.not(await client.isListening(bad, deadlineMs, scope()), Listening.Yes)
    const usage = { kind: DutyKind.ReportUsage, windowId: 7, counts: {} } as const
    const called = await new PlatformInfrastructure(address, systemClock).call(usage, { holder: 'h1', fencingNumber: 1 }, () => true, deadlineMs, scope())
    t.not(called.kind, 'done')
  })
}

const UNSENDABLE: Record<string, Partial<StreamedRequest>> = {
  'an attempt id with a line end': { attemptId: 'a1\r\nX-Other: 1' },
  'an attempt id with a null': { attemptId: 'a\u0000' },
  'an account that is not Latin': { account: 'коло' },
  'a header with a control character': { headers: ['X-Custom', 'a\u0001b'] },
  'a header with a line end': { headers: ['X-Custom', 'a\nb'] },
  'a name of a header with a space': { headers: ['X Custom', 'a'] },
  'an empty name of a header': { headers: ['', 'a'] },
  'a host with a line end': { host: 'h\r\nX-Other: 1' },
  'a path with a space': { path: '/open/a b' },
  'a path without a slash': { path: 'open' },
  'a path with a line end': { path: '/open\r\n' }
}

// A request that the HTTP client refused to send counted as one that its engine may have run and broken, and the engine as faulty.
for (const [name, changes] of Object.entries(UNSENDABLE)) {
  test(`should state that nothing ran, and blame no engine, for ${name}`, async t => {
    await withEndpoint(() => {}, async raw => {
      for (const outcome of await outcomesOf({ ...streamRequest(raw.endpoint), ...changes })) t.like(outcome, { kind: 'unreached', isUnsendable: true })
      t.is(raw.requests.length, 0)
    })
  })
}

/** Tries of one request at one engine: enough to eject an engine that is to blame. */
const TRIES_COUNT = 20

// Each run of an item that cannot be sent was held against its engine, and with one engine the next item waited.
test('should hold runs and tries of requests that cannot be sent against no engine, unlike broken ones', async t => {
  await withEndpoint(({ socket }) => { socket.destroy() }, async raw => {
    const isHealthyAfter = async (changes: Partial<StreamedRequest>): Promise<boolean[]> => {
      const request = { ...streamRequest(raw.endpoint), ...changes }
      const ofRuns = new EndpointHealth({ clock: systemClock })
      const ofTries = new EndpointHealth({ clock: systemClock })
      const engine = new Engine(batchEngine('e1', 1), ofRuns, systemClock)
      const pool = { health: () => ofTries } as unknown as EndpointPool
      for (let count = 0; count < TRIES_COUNT; count++) {
        const startedAtMs = systemClock.nowMs()
        recordOutcome(await client.runItem(request, scope(), () => {}), { engine, startedAtMs, failures: new FailureAttribution(() => 'i1'), markRemoved: () => t.fail() })
        const outcome = await client.call(request, scope())
        if (outcome.kind === 'answered') return [t.fail()]
        recordFailedTry('e1', startedAtMs, outcome, { pool, view: undefined as unknown as FleetView })
      }
      return [ofRuns, ofTries].map(({ isBreakerOpen, isHalfOpen }) => !isBreakerOpen && !isHalfOpen)
    }
    for (const [name, changes] of Object.entries(UNSENDABLE)) t.deepEqual(await isHealthyAfter(changes), [true, true], name)
    t.deepEqual(await isHealthyAfter({}), [false, false])
  })
})

const HEAD = 'HTTP/1.1 200 OK\r\nX-Threaddrum-Attempt-Id: a1\r\nX-Threaddrum-Server-Stamp: stamp\r\n'
const whole = (fields: string): string => `${HEAD}${fields}Content-Length: 5\r\n\r\nwhole`

/** Heads that are wrong, or unusual; undefined where the answer may be taken. */
const HEADS: Record<string, { bytes: string, kind?: string }> = {
  'two equal lengths': { bytes: whole('Content-Length: 5\r\n') },
  'two lengths': { bytes: whole('Content-Length: 3\r\n'), kind: 'broken' },
  'a length and chunks': { bytes: whole('Transfer-Encoding: chunked\r\n'), kind: 'broken' },
  'a negative length': { bytes: `${HEAD}Content-Length: -5\r\n\r\nwhole`, kind: 'broken' },
  'a length that is no number': { bytes: `${HEAD}Content-Length: five\r\n\r\nwhole`, kind: 'broken' },
  'a length of thirty digits': { bytes: `${HEAD}Content-Length: ${'9'.repeat(30)}\r\n\r\nwhole`, kind: 'broken' },
  'a length in two values': { bytes: `${HEAD}Content-Length: 5, 5\r\n\r\nwhole`, kind: 'broken' },
  'an empty length': { bytes: `${HEAD}Content-Length: \r\n\r\nwhole`, kind: 'broken' },
  'an unknown transfer encoding': { bytes: `${HEAD}Transfer-Encoding: gzip\r\n\r\nwhole` },
  'chunks, then gzip': { bytes: `${HEAD}Transfer-Encoding: chunked, gzip\r\n\r\nwhole` },
  'an upgrade': { bytes: `${HEAD.replace('200 OK', '101 Switching Protocols')}Connection: upgrade\r\nUpgrade: websocket\r\n\r\nwhole`, kind: 'broken' },
  'an upgrade beside 200': { bytes: whole('Connection: upgrade\r\nUpgrade: websocket\r\n') },
  'a keep-alive time of -1': { bytes: whole('Keep-Alive: timeout=-1\r\n'), kind: 'answered' },
  'a keep-alive time of 0': { bytes: whole('Keep-Alive: timeout=0\r\n'), kind: 'answered' },
  'a keep-alive time without end': { bytes: whole(`Keep-Alive: timeout=${'9'.repeat(40)}\r\n`), kind: 'answered' },
  'a keep-alive time that is none': { bytes: whole('Keep-Alive: timeout=NaN, max=\r\n'), kind: 'answered' },
  'two keep-alive times': { bytes: whole('Keep-Alive: timeout=1\r\nKeep-Alive: timeout=2\r\n'), kind: 'answered' },
  trailers: { bytes: `${HEAD}Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n`, kind: 'answered' },
  'a length among the trailers': { bytes: `${HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nContent-Length: 9\r\n\r\n` },
  'an empty chunk extension': { bytes: `${HEAD}Transfer-Encoding: chunked\r\n\r\n5;\r\nwhole\r\n0\r\n\r\n` },
  'a chunk of a negative size': { bytes: `${HEAD}Transfer-Encoding: chunked\r\n\r\n-5\r\nwhole\r\n0\r\n\r\n`, kind: 'broken' },
  'a chunk of a huge size': { bytes: `${HEAD}Transfer-Encoding: chunked\r\n\r\n${'f'.repeat(20)}\r\nwhole`, kind: 'broken' },
  'bytes behind a whole answer': { bytes: `${whole('')}more`, kind: 'answered' },
  'an answer behind a whole answer': { bytes: whole('') + completeResponse('a1', 'other'), kind: 'answered' },
  'no version': { bytes: 'HTTP/9.9 200 OK\r\n\r\n', kind: 'broken' },
  'HTTP/1.0': { bytes: whole('').replace('1.1', '1.0'), kind: 'answered' },
  'a null in a field': { bytes: whole('X-Custom: a\u0000b\r\n') },
  'a name with a space': { bytes: whole('X Custom: a\r\n'), kind: 'broken' },
  'a folded field': { bytes: whole('X-Custom: a\r\n b\r\n') },
  '600 fields': { bytes: whole('X-Custom: a\r\n'.repeat(600)) }
}

for (const [name, { bytes, kind }] of Object.entries(HEADS)) {
  test(`should survive a head with ${name}, settle by the deadline, and serve the next request`, async t => {
    let closedCount = 0
    await withEndpoint(({ socket, attemptId }, number) => {
      socket.once('close', () => { closedCount++ })
      socket.write(number > 4 ? completeResponse(attemptId) : bytes)
    }, async raw => {
      const outcomes = await outcomesOf({ ...streamRequest(raw.endpoint), deadlineMs: systemClock.nowMs() + 400 })
      for (const outcome of outcomes.slice(0, 2)) t.true(kind === undefined || outcome.kind === kind, `${outcome.kind}, ${JSON.stringify(outcome)}`)
      await until(async () => (await client.call({ ...streamRequest(raw.endpoint), attemptId: 'a2' }, scope())).kind === 'answered')
      t.true(closedCount <= raw.connectionsCount())
    })
  })
}
