import test from 'ava'
import { EndpointHealth, FailureReason } from '../../src/endpoints/endpointHealth.js'
import { FailureAttribution } from '../../src/endpoints/failureAttribution.js'
import { FIRST_EJECTION_MS, MAX_EJECTION_MS, PROBE_TIMEOUT_MS } from '../../src/endpoints/circuitBreaker.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

interface World {
  clock: VirtualClock
  health: EndpointHealth
  /** The duration of each ejection. */
  ejectionsMs: number[]
}

function world (isWidespread = false): World {
  const clock = new VirtualClock()
  const ejectionsMs: number[] = []
  const health = new EndpointHealth({ clock, onEjected: (_reason, forMs) => ejectionsMs.push(forMs), isWidespread: () => isWidespread })
  return { clock, health, ejectionsMs }
}

/** Starts a call now and fails it 1 ms later. */
async function fail ({ clock, health }: World): Promise<void> {
  const beganAtMs = clock.nowMs()
  await clock.advance(1)
  health.failed(FailureReason.Broken, beganAtMs)
}

test('should count failures of requests that were in flight at the same time as one', async t => {
  const { clock, health, ejectionsMs } = world()
  await clock.advance(1_000)
  for (let beganAtMs = 0; beganAtMs < 800; beganAtMs += 100) health.failed(FailureReason.Broken, beganAtMs)
  t.deepEqual(ejectionsMs, [FIRST_EJECTION_MS])
})

test('should eject an endpoint for twice as long after each failed probe, up to a bound', async t => {
  const all = world()
  for (let round = 0; round < 7; round++) {
    await fail(all)
    t.true(all.health.isSuspect)
    await all.clock.advance(all.ejectionsMs.at(-1) ?? 0)
    t.false(all.health.isSuspect)
  }
  t.deepEqual(all.ejectionsMs, [100, 200, 400, 800, 1_600, MAX_EJECTION_MS, MAX_EJECTION_MS])
})

test('should let one request at a time probe an endpoint that failed, until it responds', async t => {
  const all = world()
  await fail(all)
  await all.clock.advance(FIRST_EJECTION_MS)
  t.true(all.health.isAvailable)
  t.true(all.health.isHalfOpen)
  all.health.began()
  t.false(all.health.isAvailable)
  await all.clock.advance(PROBE_TIMEOUT_MS)
  t.true(all.health.isAvailable, 'a probe without an outcome does not block others permanently')
  all.health.began()
  all.health.responded()
  t.true(all.health.isAvailable)
  t.false(all.health.isHalfOpen)
})

// A run that had stalled for 900 ms passed on its last events as it ended, which reinstated an engine that another run had just found unreachable.
test('should not count as an answer what the endpoint sent before it failed', async t => {
  const all = world()
  const { clock, health } = all
  await clock.advance(1)
  const sentAtMs = clock.nowMs()
  await fail(all)
  health.responded(sentAtMs)
  t.true(health.isSuspect)
  health.responded(clock.nowMs())
  t.false(health.isSuspect)
})

test('should not take back a failure for a request that the endpoint accepted before it', async t => {
  const { clock, health } = world()
  await clock.advance(1)
  const acceptedAtMs = clock.nowMs()
  await clock.advance(1)
  health.failedRequest('r1', clock.nowMs())
  health.accepted(acceptedAtMs)
  health.failedRequest('r2', clock.nowMs())
  t.true(health.isSuspect, 'two requests in a row')
  health.accepted(acceptedAtMs)
  t.true(health.isFailing)
  health.accepted(clock.nowMs())
  t.false(health.isFailing)
})

test('should be tried again after the shortest ejection when most endpoints of the service fail', async t => {
  const all = world(true)
  for (let round = 0; round < 5; round++) {
    await fail(all)
    await all.clock.advance(FIRST_EJECTION_MS)
    t.true(all.health.isAvailable, `failure ${round + 1}`)
  }
})

test('should eject an endpoint that fails different requests in a row, but not for a single one', async t => {
  const { clock, health, ejectionsMs } = world()
  const fails = async (subject: string): Promise<void> => {
    const beganAtMs = clock.nowMs()
    await clock.advance(1)
    health.failedRequest(subject, beganAtMs)
  }
  await fails('a')
  await fails('a')
  t.deepEqual(ejectionsMs, [])
  health.accepted()
  await fails('b')
  t.deepEqual(ejectionsMs, [], 'a request was accepted between them')
  await fails('c')
  t.deepEqual(ejectionsMs, [FIRST_EJECTION_MS])
  health.responded()
  t.true(health.isSuspect, 'a reachable endpoint may still fail requests')
})

test('should take back one failure with each accepted request', async t => {
  const { clock, health } = world()
  for (let round = 0; round < 4; round++) {
    const beganAtMs = clock.nowMs()
    await clock.advance(1)
    health.failedRequest(`r${round}`, beganAtMs)
    await clock.advance(MAX_EJECTION_MS)
  }
  health.accepted()
  health.accepted()
  t.true(health.isHalfOpen)
  health.accepted()
  t.false(health.isHalfOpen)
})

test('should not count an error of an endpoint when another one fails the same request', async t => {
  const first = world()
  const second = world()
  for (const subject of ['a', 'b', 'c']) {
    const attribution = new FailureAttribution(() => subject)
    for (const [endpointId, { clock, health }] of [['first', first], ['second', second]] as const) {
      const beganAtMs = clock.nowMs()
      await clock.advance(1)
      attribution.note(endpointId, health, beganAtMs, 500)
    }
    t.is(attribution.failuresCount, 2)
    t.is(attribution.endpointsCount, 2)
  }
  t.deepEqual([...first.ejectionsMs, ...second.ejectionsMs], [])
})
