import test from 'ava'
import { POOL, SchedulingFixture, settledOf } from '../fixtures/schedulingFixture.js'

const NAMES = ['a', 'b', 'c', 'd']

function poolOf (names: string[], maxConcurrentCount = 8): SchedulingFixture {
  const fixture = new SchedulingFixture()
  for (const name of names) fixture.announce(name, { maxConcurrentCount })
  return fixture
}

/** Lets `failuresCount` attempts on one endpoint fail. */
async function failAt (fixture: SchedulingFixture, endpointId: string, failuresCount: number): Promise<void> {
  const excludedEndpointIds = fixture.directory.available(POOL).map(({ announcement }) => announcement.endpointId).filter(name => name !== endpointId)
  for (let failed = 0; failed < failuresCount; failed++) (await fixture.assigned({ excludedEndpointIds })).finish({ kind: 'failed' })
}

async function chosenOf (fixture: SchedulingFixture, count: number): Promise<Set<string>> {
  const chosen = new Set<string>()
  for (let index = 0; index < count; index++) {
    const assignment = await fixture.assigned()
    chosen.add(assignment.endpoint.announcement.endpointId)
    assignment.finish({ kind: 'cancelled' })
  }
  return chosen
}

test('should eject an endpoint that fails three times in a row, and reinstate it later', async t => {
  const fixture = poolOf(NAMES)
  await failAt(fixture, 'a', 3)
  t.false((await chosenOf(fixture, 60)).has('a'))
  t.is(fixture.metrics.snapshot()['endpoints.ejected{pool=engines}'], 1)
  await fixture.clock.advance(5001)
  t.true((await chosenOf(fixture, 60)).has('a'))
})

test('should eject an endpoint for longer each time', async t => {
  const fixture = poolOf(NAMES)
  await failAt(fixture, 'a', 3)
  await fixture.clock.advance(5001)
  await failAt(fixture, 'a', 1)
  await fixture.clock.advance(5001)
  t.false((await chosenOf(fixture, 60)).has('a'))
  await fixture.clock.advance(5001)
  t.true((await chosenOf(fixture, 60)).has('a'))
})

test('should begin a slow start on a reinstated endpoint', async t => {
  const fixture = poolOf(['a', 'b'])
  await failAt(fixture, 'a', 3)
  await fixture.clock.advance(5001)
  const held = await Promise.all(Array.from({ length: 9 }, () => fixture.assigned({ priorityClass: 'bronze' })))
  const onReinstated = held.filter(({ endpoint }) => endpoint.announcement.endpointId === 'a')
  t.is(onReinstated.length, 1)
  onReinstated[0]?.finish({ kind: 'succeeded', tokensCount: 10, durationMs: 100 })
  const more = await Promise.all([1, 2].map(() => fixture.assigned({ priorityClass: 'bronze' })))
  t.true(more.every(({ endpoint }) => endpoint.announcement.endpointId === 'a'))
})

test('should begin a slow start on a restarted endpoint', async t => {
  const fixture = poolOf(['a', 'b'])
  await chosenOf(fixture, 1)
  fixture.announce('a', { incarnation: 2, maxConcurrentCount: 8 })
  const held = await Promise.all(Array.from({ length: 9 }, () => fixture.assigned({ priorityClass: 'bronze' })))
  t.is(held.filter(({ endpoint }) => endpoint.announcement.endpointId === 'a').length, 1)
})

test('should avoid an endpoint with a much longer time per token, as long as the others are not loaded', async t => {
  const fixture = poolOf(NAMES)
  for (const name of NAMES) {
    const excludedEndpointIds = NAMES.filter(other => other !== name)
    const durationMs = name === 'a' ? 500 : 100
    for (let index = 0; index < 5; index++) (await fixture.assigned({ excludedEndpointIds })).finish({ kind: 'succeeded', tokensCount: 10, durationMs })
  }
  t.false((await chosenOf(fixture, 60)).has('a'))
  const held = await Promise.all(Array.from({ length: 20 }, () => fixture.assigned()))
  t.true(held.some(({ endpoint }) => endpoint.announcement.endpointId === 'a'))
})

test('should avoid an endpoint that reports a low speed, before any attempt on it ends', async t => {
  const fixture = poolOf(NAMES)
  await chosenOf(fixture, 1)
  for (const name of NAMES) {
    await fixture.clock.advance(1)
    const load = { runningCount: 4, waitingCount: 0, kvUsedPercent: 0, tokensPerSecond: name === 'a' ? 80 : 400, ageMs: 0 }
    fixture.announce(name, { maxConcurrentCount: 8, load })
  }
  t.false((await chosenOf(fixture, 60)).has('a'))
})

test('should not send a slow endpoint requests that it could not finish in time', async t => {
  const fixture = poolOf(NAMES, 1)
  for (const name of NAMES) {
    const excludedEndpointIds = NAMES.filter(other => other !== name)
    const durationMs = name === 'a' ? 500 : 100
    for (let index = 0; index < 5; index++) (await fixture.assigned({ excludedEndpointIds })).finish({ kind: 'succeeded', tokensCount: 10, durationMs })
  }
  const held = await Promise.all(Array.from({ length: 3 }, () => fixture.assigned({ priorityClass: 'bronze' }, 450)))
  t.false(held.some(({ endpoint }) => endpoint.announcement.endpointId === 'a'))
  t.deepEqual(await settledOf([fixture.assign({ priorityClass: 'bronze' }, 450)]), [])
  t.is((await fixture.assigned({ priorityClass: 'bronze' }, 600)).endpoint.announcement.endpointId, 'a')
})

test('should not count queueing at the engine as slowness', async t => {
  const fixture = poolOf(NAMES)
  for (let index = 0; index < 100; index++) {
    const assignment = await fixture.assigned()
    const firstTokenMs = assignment.endpoint.announcement.endpointId === 'a' ? 900 : 10
    assignment.finish({ kind: 'succeeded', tokensCount: 10, durationMs: firstTokenMs + 100, firstTokenMs })
  }
  t.true((await chosenOf(fixture, 60)).has('a'))
})

test('should always keep half of the endpoints in use, whatever fails', async t => {
  for (const count of [1, 2, 3, 5]) {
    const names = Array.from({ length: count }, (_, index) => `e${index}`)
    const fixture = poolOf(names)
    for (const name of names) await failAt(fixture, name, 3)
    const chosen = await chosenOf(fixture, 100)
    t.is(chosen.size, Math.ceil(count / 2), `${count} endpoints`)
  }
})

test('should send nothing more to an endpoint that refused, until it reports again', async t => {
  const fixture = poolOf(['a'])
  const first = await fixture.assigned()
  first.finish({ kind: 'refused' })
  const second = fixture.assigned()
  let isAssigned = false
  second.then(() => { isAssigned = true }).catch(() => {})
  await fixture.clock.advance(1000)
  t.false(isAssigned)
  fixture.announce('a', { maxConcurrentCount: 8 })
  await fixture.clock.advanceUntil(second)
  t.true(isAssigned)
})
