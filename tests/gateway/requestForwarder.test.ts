import test from 'ava'
import { EndpointPool } from '../../src/endpoints/endpointPool.js'
import type { ForwardOutcome } from '../../src/gateway/forwardRequest.js'
import { RequestForwarder } from '../../src/gateway/requestForwarder.js'
import type { FleetView } from '../../src/fleet/fleetView.js'
import { Executed } from '../../src/protocol/refusals.js'
import { RouteKind, type RoutingRoute } from '../../src/protocol/routing.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { DATA_CENTRE, endpoint, HOST, route, viewOf } from '../fixtures/fleet/fleetFixtures.js'
import { quarantineOf } from '../fixtures/fleet/quarantineFixtures.js'
import { answered, ScriptedEndpoints } from '../fixtures/fleet/scriptedEndpoints.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

interface World {
  clock: VirtualClock
  view: FleetView
  endpoints: ScriptedEndpoints
  forward: (target?: RoutingRoute, waitMs?: number, scope?: Scope, isPersistent?: boolean) => Promise<ForwardOutcome>
}

function world (endpointsCount = 3): World {
  const clock = new VirtualClock()
  const random = seededRandom(5)
  const view = viewOf(Array.from({ length: endpointsCount }, (_value, position) => endpoint(`e${position}`)))
  const endpoints = new ScriptedEndpoints(clock)
  const pool = new EndpointPool({ view, clock, random, dataCentre: DATA_CENTRE, logger: silentLogger, metrics: memoryMetrics() })
  const forwarder = new RequestForwarder({ view, pool, client: endpoints, quarantine: quarantineOf(view, clock, endpoints), random, logger: silentLogger, metrics: memoryMetrics() })
  const forward = (target = route(), waitMs = 1_500, scope = new Scope('caller'), isPersistent = false): Promise<ForwardOutcome> => forwarder.forward({
    route: target,
    method: 'POST',
    path: '/open/7',
    host: HOST,
    headers: [],
    body: new Uint8Array(),
    attemptId: 'a1',
    isPersistent,
    progress: new Progress(clock, scope, clock.nowMs() + waitMs)
  })
  return { clock, view, endpoints, forward }
}

test('should try another endpoint when the answer of the first is broken', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 5, outcome: endpoints.calls.length === 1 ? { kind: 'broken', reason: 'reset' } : answered() })
  const outcome = await clock.advanceUntil(forward())
  t.is(outcome.kind, 'answered')
  t.is(new Set(endpoints.calls.map(call => call.endpoint.endpointId)).size, 2)
})

test('should never send a request that may run once to a second endpoint after it may have run', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 5, outcome: { kind: 'broken', reason: 'reset' } })
  const outcome = await clock.advanceUntil(forward(route({ kind: RouteKind.AtMostOnce })))
  t.is(endpoints.calls.length, 1)
  t.like(outcome, { kind: 'refused', executed: Executed.Unknown })
})

test('should not hedge a request that may run once', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 900, outcome: answered() })
  t.is((await clock.advanceUntil(forward(route({ kind: RouteKind.AtMostOnce })))).kind, 'answered')
  t.is(endpoints.calls.length, 1)
})

test('should start a second try beside one that takes unusually long, and answer with the faster', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: endpoints.calls.length === 1 ? 1_400 : 20, outcome: answered(200, `try ${endpoints.calls.length}`) })
  const outcome = await clock.advanceUntil(forward())
  t.is(outcome.kind === 'answered' && Buffer.from(outcome.body).toString(), 'try 2')
  t.true(clock.nowMs() < 200, `${clock.nowMs()} ms`)
})

// Guards against a slow endpoint that gets every request twice because its service has no other.
test('should not start a second try at an endpoint that has the first', async t => {
  const { clock, endpoints, forward } = world(1)
  endpoints.onCall = () => ({ afterMs: 900, outcome: answered() })
  t.is((await clock.advanceUntil(forward())).kind, 'answered')
  t.is(endpoints.calls.length, 1)
})

test('should try no more endpoints than the route allows', async t => {
  const { clock, endpoints, forward } = world(5)
  endpoints.onCall = () => ({ afterMs: 5, outcome: answered(500) })
  const outcome = await clock.advanceUntil(forward(route({ maxAttemptsCount: 2 })))
  t.is(endpoints.calls.length, 2)
  t.like(outcome, { kind: 'answered', status: 500, failedAnswersCount: 2 })
})

test('should refuse a request as not run, within a quarter of the objective, when every endpoint is full', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 1, outcome: { kind: 'notExecuted', status: 503, load: undefined } })
  const outcome = await clock.advanceUntil(forward())
  t.like(outcome, { kind: 'refused', executed: Executed.No })
  t.true(clock.nowMs() <= 70, `${clock.nowMs()} ms`)
})

// A late copy of a refusal carries the id of the request that comes back, and was taken for its second refusal while it ran.
test('should send a request that may run once back to an endpoint that refused it over a connection of its own only', async t => {
  for (const kind of [RouteKind.AtMostOnce, RouteKind.Idempotent]) {
    const { clock, endpoints, forward } = world(1)
    endpoints.onCall = () => ({ afterMs: 5, outcome: endpoints.calls.length < 3 ? { kind: 'notExecuted', status: 503, load: undefined } : answered() })
    t.is((await clock.advanceUntil(forward(route({ kind }), 1_500, new Scope('caller'), true))).kind, 'answered')
    const isOnce = kind === RouteKind.AtMostOnce
    t.deepEqual(endpoints.calls.map(({ wasRefusedThere }) => wasRefusedThere), [false, isOnce, isOnce])
  }
})

// The soak's endpoints repeat refusals: a request that may run more than once ran, and its caller was told that it had not.
test('should send every request whose caller waits back to an endpoint that refused it over a connection of its own only', async t => {
  const { clock, endpoints, forward } = world(1)
  endpoints.onCall = () => ({ afterMs: 5, outcome: endpoints.calls.length < 2 ? { kind: 'notExecuted', status: 503, load: undefined } : answered() })
  t.is((await clock.advanceUntil(forward(route({ kind: RouteKind.Idempotent })))).kind, 'answered')
  t.deepEqual(endpoints.calls.map(({ wasRefusedThere }) => wasRefusedThere), [false, true])
})

test('should stop using an endpoint whose address another one has taken over', async t => {
  const { clock, view, endpoints, forward } = world(2)
  endpoints.onCall = () => ({ afterMs: 1, outcome: endpoints.calls.length === 1 ? { kind: 'misdirected' } : answered() })
  t.is((await clock.advanceUntil(forward())).kind, 'answered')
  t.is(view.ready().length, 1)
})

test('should report that a request may have run when its deadline passes', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 10_000, outcome: answered() })
  const outcome = await clock.advanceUntil(forward(route(), 300))
  t.like(outcome, { kind: 'refused', executed: Executed.Unknown })
  t.is(clock.nowMs(), 300)
})

test('should send endpoints the deadline of the caller, also in later tries', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 50, outcome: endpoints.calls.length === 1 ? { kind: 'broken', reason: 'reset' } : answered() })
  await clock.advanceUntil(forward(route(), 800))
  t.deepEqual(endpoints.calls.map(({ deadlineMs }) => deadlineMs), [800, 800])
})

test('should cancel every try when the caller disconnects', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 1_000, outcome: answered() })
  const scope = new Scope('caller')
  const forwarded = forward(route(), 1_500, scope)
  await clock.advance(20)
  scope.close('the caller disconnected')
  await t.throwsAsync(clock.advanceUntil(forwarded))
  const callsCount = endpoints.calls.length
  await clock.advance(2_000)
  t.is(endpoints.calls.length, callsCount)
})

test('should refuse at once, with a retry delay, when no endpoint of the service is known', async t => {
  const { clock, forward } = world(0)
  const outcome = await clock.advanceUntil(forward())
  t.is(clock.nowMs(), 0)
  t.like(outcome, { kind: 'refused', executed: Executed.No, retryAfterMs: 500 })
})

test('should start few hedged tries when a service that was fast stops answering', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 20, outcome: answered() })
  for (let count = 0; count < 100; count++) await clock.advanceUntil(forward())
  const callsCount = endpoints.calls.length
  endpoints.onCall = () => ({ afterMs: 10_000, outcome: answered() })
  for (let count = 0; count < 200; count++) await clock.advanceUntil(forward(route(), 300))
  // The budget: a tenth of 300 first tries, ten initially, and one every two seconds of the minute that this takes.
  const secondTriesCount = endpoints.calls.length - callsCount - 200
  t.true(secondTriesCount <= 30 + 10 + 32, `${secondTriesCount} second tries`)
})

test('should measure how long the requests of a service take before it counts one as late', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 300, outcome: answered() })
  for (let count = 0; count < 40; count++) await clock.advanceUntil(forward())
  const callsCount = endpoints.calls.length
  for (let count = 0; count < 20; count++) await clock.advanceUntil(forward())
  t.is(endpoints.calls.length - callsCount, 20)
})

test('should not retry endpoints that refuse connections in a tight loop, and use the first one that is back', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = () => ({ afterMs: 1, outcome: clock.nowMs() < 900 ? { kind: 'unreached', reason: 'ECONNREFUSED', isRefused: true } : answered() })
  const outcome = await clock.advanceUntil(forward())
  t.is(outcome.kind, 'answered')
  t.true(clock.nowMs() < 1_000, `${clock.nowMs()} ms`)
  // Each of the three endpoints is tried at most once in 50 ms.
  t.true(endpoints.calls.length <= 3 * 900 / 50 + 3, `${endpoints.calls.length} tries`)
})

// Guards against an endpoint that fails at once counting as a fast one: its errors were recorded like answers, and it attracted all requests.
test('should not send most requests to an endpoint because it fails them fast', async t => {
  const { clock, endpoints, forward } = world()
  endpoints.onCall = ({ endpoint: { endpointId } }) => (endpointId === 'e0' ? { afterMs: 1, outcome: answered(500) } : { afterMs: 40, outcome: answered() })
  const outcomes: ForwardOutcome[] = []
  for (let round = 0; round < 60; round++) {
    const forwarded = Promise.all([forward(), forward(), forward()])
    outcomes.push(...await clock.advanceUntil(forwarded))
  }
  const failedCount = endpoints.calls.filter(({ endpoint: { endpointId } }) => endpointId === 'e0').length
  t.true(failedCount <= 20, `${failedCount} of 180 requests went to the endpoint that fails`)
  t.true(outcomes.every(outcome => outcome.kind === 'answered' && outcome.status === 200))
})

// Guards against counting each request that one reset interrupted as a failure of its own, which ejected the endpoint for eight seconds.
test('should use an endpoint again soon after many requests lost their connections at one instant', async t => {
  const { clock, endpoints, forward } = world()
  let isReset = true
  endpoints.onCall = ({ endpoint: { endpointId } }) => (
    { afterMs: 20, outcome: isReset && endpointId === 'e0' ? { kind: 'broken', reason: 'reset', isConnectionLost: true } : answered() }
  )
  const countSentToFirst = async (): Promise<number> => {
    const before = endpoints.calls.length
    await clock.advanceUntil(Promise.all(Array.from({ length: 30 }, () => forward())))
    return endpoints.calls.slice(before).filter(({ endpoint: { endpointId } }) => endpointId === 'e0').length
  }
  t.true(await countSentToFirst() >= 5)
  isReset = false
  await clock.advance(300)
  await countSentToFirst()
  t.true(await countSentToFirst() >= 5)
})
