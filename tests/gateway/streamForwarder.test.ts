import test from 'ava'
import { EndpointPool } from '../../src/endpoints/endpointPool.js'
import type { StreamHead } from '../../src/endpoints/endpointClient.js'
import { StreamForwarder, type StreamForwardOutcome } from '../../src/gateway/streamForwarder.js'
import { Executed } from '../../src/protocol/refusals.js'
import { RouteKind, type RoutingRoute } from '../../src/protocol/routing.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { DATA_CENTRE, endpoint, HOST, route, viewOf } from '../fixtures/fleet/fleetFixtures.js'
import { ScriptedEndpoints, type StreamScript } from '../fixtures/fleet/scriptedEndpoints.js'
import { quarantineOf } from '../fixtures/fleet/quarantineFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const plain = route({ kind: RouteKind.Stream, isResumable: false })
const resumable = route({ kind: RouteKind.Stream, isResumable: true })
const broken = { kind: 'broken', reason: 'reset' } as const
const ended = { kind: 'ended' } as const

function event (id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`
}

function script (chunks: string[], ending: StreamScript['ending'], gapMs = 10): StreamScript {
  return { chunks, gapMs, ending }
}

class World {
  readonly clock = new VirtualClock()
  readonly endpoints = new ScriptedEndpoints(this.clock)
  readonly heads: StreamHead[] = []
  readonly caller = new Scope('caller')
  text = ''

  async forward (target: RoutingRoute, afterEventId?: number, waitMs = 1_500): Promise<StreamForwardOutcome> {
    const view = viewOf([endpoint('e1'), endpoint('e2'), endpoint('e3')])
    const random = seededRandom(5)
    const { clock, endpoints: client } = this
    const pool = new EndpointPool({ view, clock, random, dataCentre: DATA_CENTRE, logger: silentLogger, metrics: memoryMetrics() })
    const forwarder = new StreamForwarder({ view, pool, client, quarantine: quarantineOf(view, clock, client), random, logger: silentLogger, metrics: memoryMetrics() })
    const request = { route: target, method: 'POST', path: '/open/7', host: HOST, headers: [], body: new Uint8Array(), attemptId: 'a1', afterEventId }
    const sink = {
      head: (head: StreamHead): void => { this.heads.push(head) },
      write: async (bytes: Uint8Array): Promise<void> => { this.text += Buffer.from(bytes).toString() }
    }
    return await forwarder.forward({ ...request, progress: new Progress(clock, this.caller, clock.nowMs() + waitMs) }, sink)
  }
}

test('should pass on every chunk as it arrives, before the next one is produced', async t => {
  const world = new World()
  world.endpoints.onStream = () => script(['id: 1\nda', 'ta: piece 1\n\n', event(2)], ended, 50)
  const outcome = world.forward(plain)
  await world.clock.advance(60)
  t.is(world.text, 'id: 1\nda')
  t.is((await world.clock.advanceUntil(outcome)).kind, 'ended')
  t.is(world.text, event(1) + event(2))
})

test('should abort, without another try, when a stream that cannot be resumed breaks in the middle', async t => {
  const world = new World()
  world.endpoints.onStream = () => script([event(1)], broken)
  const outcome = await world.clock.advanceUntil(world.forward(plain))
  t.is(outcome.kind, 'brokenOff')
  t.is(world.endpoints.streams.length, 1)
})

test('should report that a stream may have run when it breaks before its head', async t => {
  const world = new World()
  world.endpoints.onStream = () => ({ ...script([], ended), refuses: broken })
  const outcome = await world.clock.advanceUntil(world.forward(plain))
  t.like(outcome, { kind: 'refused', executed: Executed.Unknown })
  t.is(world.endpoints.streams.length, 1)
})

test('should try another endpoint when one says that it did not run the stream', async t => {
  const world = new World()
  world.endpoints.onStream = () => world.endpoints.streams.length === 1
    ? { ...script([], ended), refuses: { kind: 'notExecuted', status: 503, load: undefined } }
    : script([event(1)], ended)
  t.is((await world.clock.advanceUntil(world.forward(plain))).kind, 'ended')
  t.is(world.text, event(1))
})

// A late copy of a refusal carries the id of the stream that comes back, and was taken for its second refusal while it ran.
test('should send a stream back to an endpoint that refused it over a connection of its own only', async t => {
  for (const target of [plain, resumable]) {
    const world = new World()
    world.endpoints.onStream = () => world.endpoints.streams.length < 5
      ? { ...script([], ended), refuses: { kind: 'notExecuted', status: 503, load: undefined } }
      : script([event(1)], ended)
    t.is((await world.clock.advanceUntil(world.forward(target))).kind, 'ended')
    const { streams } = world.endpoints
    const isBack = streams.map(({ endpoint: { endpointId } }, position) => streams.slice(0, position).some(earlier => earlier.endpoint.endpointId === endpointId))
    t.true(isBack.includes(true))
    t.deepEqual(streams.map(({ wasRefusedThere }) => wasRefusedThere), isBack)
  }
})

test('should resume at another endpoint after the last complete event, with the head of the first one', async t => {
  const world = new World()
  world.endpoints.onStream = ({ afterEventId }) => afterEventId === undefined
    ? script([event(1) + event(2), 'id: 3\ndata: pie'], broken)
    : script([event(3), event(4)], ended)
  t.is((await world.clock.advanceUntil(world.forward(resumable))).kind, 'ended')
  t.is(world.text, event(1) + event(2) + event(3) + event(4))
  t.deepEqual(world.endpoints.streams.map(({ afterEventId }) => afterEventId), [undefined, 2])
  t.not(world.endpoints.streams[0]?.endpoint.endpointId, world.endpoints.streams[1]?.endpoint.endpointId)
  t.deepEqual(world.heads.map(({ headers }) => headers[1]), [world.endpoints.streams[0]?.endpoint.endpointId])
})

test('should treat a stream as broken that ends within an event, or continues with another one than the next', async t => {
  for (const wrong of [script([event(1), 'id: 2\ndata: '], ended), script([event(1), event(3)], ended)]) {
    const world = new World()
    world.endpoints.onStream = ({ afterEventId }) => afterEventId === undefined ? wrong : script([event(2)], ended)
    t.is((await world.clock.advanceUntil(world.forward(resumable))).kind, 'ended')
    t.is(world.text, event(1) + event(2))
  }
})

test('should start after the last event that the caller has received', async t => {
  const world = new World()
  world.endpoints.onStream = () => script([event(6)], ended)
  t.is((await world.clock.advanceUntil(world.forward(resumable, 5))).kind, 'ended')
  t.deepEqual(world.endpoints.streams.map(({ afterEventId }) => afterEventId), [5])
})

test('should use no more endpoints than the route allows', async t => {
  const world = new World()
  world.endpoints.onStream = ({ afterEventId }) => script([event((afterEventId ?? 0) + 1)], broken)
  t.is((await world.clock.advanceUntil(world.forward(resumable))).kind, 'brokenOff')
  t.is(world.endpoints.streams.length, resumable.maxAttemptsCount)
})

test('should end at the time limit of the route, and cancel the call when the caller disconnects', async t => {
  const late = new World()
  late.endpoints.onStream = () => script([event(1), event(2)], ended, 1_000)
  t.is((await late.clock.advanceUntil(late.forward(plain))).kind, 'brokenOff')
  t.is(late.text, event(1))
  const abandoned = new World()
  abandoned.endpoints.onStream = () => script([event(1), event(2)], ended, 500)
  const outcome = abandoned.forward(plain)
  const failed = t.throwsAsync(outcome, { message: /caller/ })
  await abandoned.clock.advance(600)
  abandoned.caller.close('the caller disconnected')
  await abandoned.clock.advance(1_000)
  await failed
  t.is(abandoned.text, event(1))
})

// What had arrived of an event was held without a bound, and joined anew with each piece.
test('should continue at another endpoint when an event of a resumable stream does not end', async t => {
  const world = new World()
  const piece = 'x'.repeat(256 * 1024)
  world.endpoints.onStream = ({ afterEventId }) => afterEventId === undefined
    ? script([event(1), 'id: 2\ndata: ', ...Array<string>(40).fill(piece)], ended)
    : script([event(2)], ended)
  const startedAtMs = world.clock.nowMs()
  t.like(await world.clock.advanceUntil(world.forward(resumable)), { kind: 'ended' })
  t.deepEqual(world.endpoints.streams.map(({ afterEventId }) => afterEventId), [undefined, 1])
  t.is(world.text, event(1) + event(2))
  t.true(world.clock.nowMs() - startedAtMs < 150, 'it did not wait for the rest of the 40 pieces, 10 ms apart')
})
