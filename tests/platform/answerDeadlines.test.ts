/**
 * The deadline of an exchange binds, whatever its engine sends and whatever the HTTP
 * client makes of it: the exchange settles, its connection closes, and its place is free.
 */
import test from 'ava'
import { PlatformEndpointClient } from '../../platform/endpointClient.js'
import type { EndpointRequest } from '../../src/endpoints/endpointClient.js'
import type { FleetEndpoint } from '../../src/protocol/fleet.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { systemClock, type Clock } from '../../src/utils/clock.js'
import { serve } from '../fixtures/callerFixture.js'
import { HOST, route, routing } from '../fixtures/fleet/fleetFixtures.js'
import { RouteKind } from '../../src/protocol/routing.js'
import { request } from 'undici'
import { headWithoutLength, streamHead, withEndpoint } from '../fixtures/endpointCalls.js'
import { completeResponse } from '../fixtures/rawEndpoint.js'
import { until } from '../fixtures/until.js'

/** Connections of one process to one endpoint. */
const CONNECTIONS_COUNT = 32
const TIME_BUDGET_MS = 5_000

/** A clock whose timers a test fires. */
class HeldClock implements Clock {
  private _aheadMs = 0
  private readonly _timers = new Set<{ atMs: number, callback: () => void }>()

  nowMs (): number { return systemClock.nowMs() + this._aheadMs }
  leaseNowMs (): number { return this.nowMs() }
  wallMs (): number { return systemClock.wallMs() }

  callAt (atMs: number, callback: () => void): () => void {
    const timer = { atMs, callback }
    this._timers.add(timer)
    return () => { this._timers.delete(timer) }
  }

  get timersCount (): number { return this._timers.size }

  pass (ms: number): void {
    this._aheadMs += ms
    for (const timer of [...this._timers]) {
      if (timer.atMs > this.nowMs() || !this._timers.delete(timer)) continue
      timer.callback()
    }
  }
}

const INFORMATIONAL = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'

/** What an engine may send without coming to the end of an answer. */
const ENDLESS: Record<string, (attemptId: string) => string> = {
  nothing: () => '',
  'an informational answer': () => INFORMATIONAL,
  'part of a head': attemptId => completeResponse(attemptId).slice(0, 40),
  'a head without its body': attemptId => completeResponse(attemptId).slice(0, -5),
  'a body without its end': attemptId => `${headWithoutLength(attemptId)}id: 1\ndata: a\n\n`,
  'the extension of a chunk': () => `${streamHead(1).replace('i1', 'a1')}5;extension=`
}

const handler = { onHead: () => {}, onData: async () => undefined }

function requestTo (endpoint: FleetEndpoint, clock: Clock, changes: Partial<EndpointRequest> = {}): EndpointRequest & { afterEventId: undefined } {
  return { endpoint, method: 'POST', path: '/open/7', host: 'h', headers: [], body: Buffer.from('x'), attemptId: 'a1', deadlineMs: clock.nowMs() + TIME_BUDGET_MS, afterEventId: undefined, ...changes }
}

const USES: Record<string, (client: PlatformEndpointClient, endpoint: FleetEndpoint, clock: Clock) => Promise<{ kind: string }>> = {
  'a request': async (client, endpoint, clock) => await client.call(requestTo(endpoint, clock), new Scope('test')),
  'a request over its own connection': async (client, endpoint, clock) => await client.call(requestTo(endpoint, clock, { wasRefusedThere: true }), new Scope('test')),
  'a stream': async (client, endpoint, clock) => await client.stream(requestTo(endpoint, clock), new Scope('test'), handler),
  'a stream whose caller takes nothing': async (client, endpoint, clock) => await client.stream(requestTo(endpoint, clock), new Scope('test'), { ...handler, onData: async () => await new Promise(() => {}) })
}

// An exchange ended only if its caller closed its scope: one that nobody closed was open for ever, with its connection.
for (const [use, run] of Object.entries(USES)) {
  test(`should end ${use} at its deadline, and close its connection, whatever its engine sends`, async t => {
    for (const [name, bytesOf] of Object.entries(ENDLESS)) {
      let closedCount = 0
      await withEndpoint(({ socket, attemptId }) => {
        socket.once('close', () => { closedCount++ })
        socket.write(bytesOf(attemptId))
      }, async raw => {
        const clock = new HeldClock()
        const client = new PlatformEndpointClient(clock, memoryMetrics())
        const outcome = run(client, raw.endpoint, clock)
        await until(() => raw.requests.length === 1)
        clock.pass(TIME_BUDGET_MS)
        t.like(await outcome, { kind: 'broken', isOutOfTime: true }, name)
        await until(() => closedCount === 1)
        t.is(clock.timersCount, 0, name)
      })
    }
  })
}

// Runs were cut at the time from which an item may be given up; their steps came later, or not at all. What bounds a run is that its events stop.
test('should let the run of an item go on past its deadline, and close its connection when the run is ended, whatever its engine sends', async t => {
  for (const [name, bytesOf] of Object.entries(ENDLESS)) {
    let closedCount = 0
    await withEndpoint(({ socket, attemptId }) => {
      socket.once('close', () => { closedCount++ })
      socket.write(bytesOf(attemptId))
    }, async raw => {
      const clock = new HeldClock()
      const scope = new Scope('run')
      const outcome = new PlatformEndpointClient(clock, memoryMetrics()).runItem(requestTo(raw.endpoint, clock), scope, () => {})
      await until(() => raw.requests.length === 1)
      clock.pass(2 * TIME_BUDGET_MS)
      t.is(await Promise.race([outcome, new Promise(resolve => setImmediate(resolve, 'runs'))]), 'runs' as never, name)
      t.is(closedCount, 0, name)
      scope.close('no event in time')
      await t.throwsAsync(outcome, { message: /no event in time/ }, name)
      await until(() => closedCount === 1)
    })
  }
})

// Requests that waited within the HTTP client for one of its connections were no engine's, and nobody's.
test('should end requests that wait for a connection at their deadline, and serve the ones behind them', async t => {
  let isSilent = true
  await withEndpoint(({ socket, attemptId }) => { socket.write(isSilent ? INFORMATIONAL : completeResponse(attemptId)) }, async raw => {
    const clock = new HeldClock()
    const client = new PlatformEndpointClient(clock, memoryMetrics())
    const held = Array.from({ length: CONNECTIONS_COUNT }, () => client.call(requestTo(raw.endpoint, clock), new Scope('test')))
    const waiting = Array.from({ length: CONNECTIONS_COUNT }, () => client.call(requestTo(raw.endpoint, clock), new Scope('test')))
    await until(() => raw.requests.length === CONNECTIONS_COUNT)
    const later = client.call(requestTo(raw.endpoint, clock, { deadlineMs: clock.nowMs() + 2 * TIME_BUDGET_MS }), new Scope('test'))
    isSilent = false
    clock.pass(TIME_BUDGET_MS)
    const kinds = (await Promise.all([...held, ...waiting])).map(({ kind }) => kind)
    t.deepEqual([...new Set(kinds)], ['broken'])
    t.is((await later).kind, 'answered')
    t.is(raw.requests.length, CONNECTIONS_COUNT + 1)
  })
})

test('should take a bounded number of informational answers before an answer, and then close the connection', async t => {
  for (const [count, kind] of [[1, 'answered'], [1_000, 'broken']] as const) {
    await withEndpoint(({ socket, attemptId }) => { socket.write(INFORMATIONAL.repeat(count) + completeResponse(attemptId)) }, async raw => {
      t.is((await new PlatformEndpointClient(systemClock, memoryMetrics()).call(requestTo(raw.endpoint, systemClock), new Scope('test'))).kind, kind)
    })
  }
})

/** Only a stream whose head was passed on can be cut off: any other request is told its status. */
const WITH_HEAD = new Set(['a head without its body', 'a body without its end', 'the extension of a chunk'])

// A caller whose connection ends without an answer learns nothing.
for (const kind of [RouteKind.Idempotent, RouteKind.AtMostOnce, RouteKind.Stream]) {
  test(`should answer the caller of a ${kind} request at its deadline, whatever its engine sends`, async t => {
    for (const [name, bytesOf] of Object.entries(ENDLESS)) {
      const { url, view } = await serve(t)
      let closedCount = 0
      await withEndpoint(({ socket, attemptId }) => {
        socket.once('close', () => { closedCount++ })
        socket.write(bytesOf(attemptId))
      }, async raw => {
        const routes = [route({ kind, timeoutMs: 200, services: [{ service: raw.endpoint.service, weight: 1 }] })]
        view.merge('control-1', { routing: routing(1, routes), endpoints: [raw.endpoint] })
        const ending = request(url, { method: 'POST', headers: { host: HOST, 'x-threaddrum-attempt-id': 'a1' } }).then(async ({ statusCode, body }) => {
          await body.text()
          return String(statusCode)
        }).catch(() => 'cut off')
        const isCutOffAllowed = kind === RouteKind.Stream && WITH_HEAD.has(name)
        t.true((isCutOffAllowed ? ['504', 'cut off'] : ['504']).includes(await ending), name)
        await until(() => closedCount === 1)
      })
    }
  })
}
