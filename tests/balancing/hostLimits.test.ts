import test from 'ava'
import { capacityOf } from '../../src/balancing/hostCapacity.js'
import { HostGuard, ShortResource, STALLED_AFTER_MS, type GuardedRequest, type HostReading } from '../../src/balancing/hostLimits.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const MEGABYTE = 1024 * 1024
const LIMITS = { processorCores: 0.25, linkMbps: 30, maxDescriptorsCount: 2_400, memoryBytes: 210 * MEGABYTE }
const SECOND_MS = 1_000
const URGENT = 0
const USUAL = 2

class GuardWorld {
  readonly clock = new VirtualClock()
  readonly guard: HostGuard
  brokenOffCount = 0

  constructor (limits = LIMITS) {
    this.guard = new HostGuard({ limits, random: seededRandom(1), nowMs: () => this.clock.nowMs() })
  }

  begin (priority: number, bytes = 0): GuardedRequest | undefined {
    const decision = this.guard.admit(priority, bytes, () => { this.brokenOffCount++ })
    return decision.kind === 'admitted' ? decision.request : undefined
  }

  /** Begins as many as are taken on, at most this many; returns their number. */
  beginMany (count: number, priority: number, bytes = 0): number {
    let takenCount = 0
    for (let number = 0; number < count; number++) if (this.begin(priority, bytes)) takenCount++
    return takenCount
  }

  /** Requests that come and end within a second, and the reading after it. */
  async second (reading: Partial<HostReading>, requests: Array<[priority: number, count: number]>): Promise<number[]> {
    const served = requests.map(([priority, count]) => {
      const taken = Array.from({ length: count }, () => this.begin(priority)).flatMap(request => request ?? [])
      for (const request of taken) request.end()
      return taken.length / count
    })
    await this.clock.advance(SECOND_MS)
    this.guard.read({ nowMs: this.clock.nowMs(), processorCores: 0.1, maxLoopDelayMs: 0, residentBytes: 120 * MEGABYTE, connectionsCount: 100, ...reading })
    return served
  }
}

test('should bound requests in progress and leave the last of them to the urgent', t => {
  const full = new GuardWorld()
  const usualCount = full.beginMany(10_000, USUAL)
  const urgentCount = full.beginMany(10_000, URGENT)
  t.true(usualCount > 0 && urgentCount > 0)
  t.is(usualCount + urgentCount, full.guard.bounds.maxRequestsCount)
})

test('should bound the bytes held, whatever the priority', t => {
  const world = new GuardWorld()
  world.beginMany(1_000, URGENT, MEGABYTE)
  t.true(world.guard.heldBytes <= world.guard.bounds.maxHeldBytes)
  t.true(world.guard.bounds.maxHeldBytes < LIMITS.memoryBytes)
  const decision = world.guard.admit(URGENT, MEGABYTE, () => {})
  t.like(decision, { kind: 'shed', resource: ShortResource.HeldBytes })
  t.true(decision.kind === 'shed' && decision.retryAfterMs > 0)
})

test('should give back all that a request held when it ends, once', t => {
  const world = new GuardWorld()
  const request = world.begin(USUAL, MEGABYTE)
  request?.holdAnswer(3 * MEGABYTE)
  request?.release(MEGABYTE)
  request?.end()
  request?.end()
  t.is(world.guard.heldBytes, 0)
  t.is(world.guard.requestsCount, 0)
})

for (const [name, reading] of [
  ['processor', { processorCores: 0.25, maxLoopDelayMs: 250 }],
  ['processor of a slowed host', { processorCores: 0.08, maxLoopDelayMs: 1_200 }],
  ['memory', { residentBytes: 200 * MEGABYTE }]
] as const) {
  test(`should serve all urgent requests while the ${name} is short, and shed the others first`, async t => {
    const world = new GuardWorld()
    let served: number[] = []
    for (let second = 0; second < 8; second++) {
      served = await world.second(reading, [[URGENT, 40], [1, 40], [USUAL, 40]])
      t.is(served[0], 1)
    }
    t.true((served[1] ?? 0) > (served[2] ?? 1))
    t.is(world.guard.use, 1)
    for (let second = 0; second < 30; second++) served = await world.second({}, [[URGENT, 40], [1, 40], [USUAL, 40]])
    t.deepEqual(served, [1, 1, 1])
  })
}

test('should serve half of the most urgent requests at least, however long the host is short', async t => {
  const world = new GuardWorld()
  let served: number[] = []
  for (let second = 0; second < 120; second++) served = await world.second({ processorCores: 0.25, maxLoopDelayMs: 300 }, [[URGENT, 40], [USUAL, 40]])
  t.true((served[0] ?? 0) >= 0.5)
  t.is(served[1], 0)
})

test('should shed nothing after a single pause, or while the processor is in full use without late timers', async t => {
  const world = new GuardWorld()
  await world.second({ maxLoopDelayMs: 1_500 }, [[USUAL, 10]])
  for (let second = 0; second < 20; second++) t.deepEqual(await world.second({ processorCores: 0.25 }, [[USUAL, 40]]), [1])
})

test('should count what it passes on against its link', async t => {
  const world = new GuardWorld()
  for (let second = 0; second < 4; second++) {
    for (let number = 0; number < 40; number++) {
      const request = world.begin(USUAL)
      request?.holdAnswer(MEGABYTE / 10)
      request?.end()
    }
    await world.second({}, [])
  }
  t.true(world.guard.use >= 0.9, `${world.guard.use}`)
})

test('should break off the answers that have waited longest for their callers, beyond half of the bytes', async t => {
  const world = new GuardWorld()
  const { maxHeldBytes } = world.guard.bounds
  for (let bytes = 0; bytes + MEGABYTE <= maxHeldBytes; bytes += MEGABYTE) {
    const request = world.begin(URGENT)
    request?.holdAnswer(MEGABYTE)
    request?.awaitCaller()
  }
  await world.second({}, [])
  t.is(world.brokenOffCount, 0)
  for (let elapsedMs = SECOND_MS; elapsedMs < STALLED_AFTER_MS; elapsedMs += SECOND_MS) await world.second({}, [])
  t.true(world.brokenOffCount > 0)
  t.true(world.guard.heldBytes <= maxHeldBytes / 2)
  t.true(world.guard.heldBytes > maxHeldBytes / 2 - 2 * MEGABYTE)
})

test('should make room for a ready answer by breaking off those that wait, and never hold more', t => {
  const world = new GuardWorld()
  const requests = Array.from({ length: 400 }, () => world.begin(URGENT)).flatMap(request => request ?? [])
  for (const request of requests) {
    request.holdAnswer(MEGABYTE)
    request.awaitCaller()
    t.true(world.guard.heldBytes <= world.guard.bounds.maxHeldBytes)
  }
  t.true(world.brokenOffCount > 0)
})

test('should bound nothing that no limit is known for', t => {
  const world = new GuardWorld({} as typeof LIMITS)
  t.is(world.beginMany(20_000, USUAL, MEGABYTE), 20_000)
})

test('should derive the capacity of a host from what binds first', t => {
  t.is(capacityOf(LIMITS), 0.25)
  t.true((capacityOf({ ...LIMITS, linkMbps: 1 }) ?? 1) < 0.1)
  t.true((capacityOf({ ...LIMITS, maxDescriptorsCount: 500 }) ?? 1) < 0.1)
  t.true((capacityOf({ ...LIMITS, memoryBytes: 110 * MEGABYTE }) ?? 1) < 0.15)
  t.is(capacityOf({ linkMbps: 30 }), undefined)
})
