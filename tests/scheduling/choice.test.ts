import test from 'ava'
import { EndpointKind } from '../../src/protocol/resources.js'
import { SchedulingFixture, settledOf } from '../fixtures/schedulingFixture.js'

const PROMPT = 'A prompt that many requests share from its start on. '.repeat(30)

/** The endpoints of `count` requests, each of which is finished before the next one. */
async function endpointsOf (fixture: SchedulingFixture, count: number, affinityText?: string): Promise<string[]> {
  const chosen: string[] = []
  for (let index = 0; index < count; index++) {
    const assignment = await fixture.assigned({ affinityText })
    chosen.push(assignment.endpoint.announcement.endpointId)
    assignment.finish({ kind: 'cancelled' })
  }
  return chosen
}

/** Sends requests with other prompts, so that the shared prefix has a small share of the traffic. */
async function sendOthers (fixture: SchedulingFixture): Promise<void> {
  for (let index = 0; index < 100; index++) await endpointsOf(fixture, 1, `${index} is the start of another prompt. `.repeat(30))
}

test('should correct an old load report by the requests that this host started since', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one', { maxConcurrentCount: 8, load: { runningCount: 0, waitingCount: 0, kvUsedPercent: 0, tokensPerSecond: 0, ageMs: 0 } })
  fixture.announce('two', { maxConcurrentCount: 8, load: { runningCount: 1, waitingCount: 0, kvUsedPercent: 0, tokensPerSecond: 0, ageMs: 0 } })
  const counts: Record<string, number> = { one: 0, two: 0 }
  for (let index = 0; index < 9; index++) {
    const { endpoint } = await fixture.assigned()
    counts[endpoint.announcement.endpointId]! += 1
  }
  t.deepEqual(counts, { one: 5, two: 4 })
})

test('should not count its own requests twice when a load report includes them', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one')
  await fixture.assigned()
  await fixture.assigned()
  await fixture.clock.advance(100)
  fixture.announce('one', { load: { runningCount: 3, waitingCount: 0, kvUsedPercent: 0, tokensPerSecond: 0, ageMs: 50 } })
  await fixture.assigned({ requestId: 'third' })
  const decision = fixture.scheduler.explain('third')[1]
  t.like(decision, { candidates: [{ estimatedCount: 3, ownCount: 2, reportAgeMs: 50 }] })
})

test('should send the requests of one prefix to one endpoint, and to others when it is loaded', async t => {
  const fixture = new SchedulingFixture()
  for (const name of ['a', 'b', 'c', 'd']) fixture.announce(name, { maxConcurrentCount: 4 })
  await sendOthers(fixture)
  const chosen = await endpointsOf(fixture, 5, PROMPT)
  t.is(new Set(chosen).size, 1)
  const [homeId] = chosen
  const assignments = []
  for (let index = 0; index < 8; index++) assignments.push(fixture.assigned({ affinityText: PROMPT, priorityClass: 'bronze' }))
  const endpoints = await Promise.all(assignments.map(async assignment => (await fixture.clock.advanceUntil(assignment)).endpoint.announcement.endpointId))
  t.is(endpoints.filter(name => name === homeId).length, 4)
})

test('should send a prefix to the same endpoints from every host', async t => {
  const homes = []
  for (const seed of [1, 2, 3]) {
    const fixture = new SchedulingFixture({ seed, hostsCount: 3 })
    for (const name of ['a', 'b', 'c', 'd', 'e']) fixture.announce(name, { maxConcurrentCount: 12 })
    await sendOthers(fixture)
    homes.push((await endpointsOf(fixture, 3, PROMPT)).at(-1))
  }
  t.is(new Set(homes).size, 1)
})

test('should not choose engines with older weights or engines that were already tried', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('old', { weightVersion: 1 })
  fixture.announce('new', { weightVersion: 2 })
  fixture.announce('tried', { weightVersion: 2 })
  for (let index = 0; index < 4; index++) {
    const { endpoint } = await fixture.assigned({ minWeightVersion: 2, excludedEndpointIds: ['tried'] })
    t.is(endpoint.announcement.endpointId, 'new')
  }
})

test('should run idle-only work only on idle endpoints, and only when nothing else is queued', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one', { maxConcurrentCount: 8 })
  const first = await fixture.assigned({ onlyWhenIdle: true })
  await fixture.assigned({ onlyWhenIdle: true })
  const third = fixture.assigned({ onlyWhenIdle: true })
  t.deepEqual(await settledOf([third]), [])
  first.finish({ kind: 'cancelled' })
  t.is((await third).endpoint.announcement.endpointId, 'one')
})

test('should not exceed the capacity of an endpoint by more than one request per host, however many hosts share it', async t => {
  for (const hostsCount of [3, 12]) {
    const hosts = Array.from({ length: hostsCount }, (_, seed) => new SchedulingFixture({ hostsCount, seed }))
    let heldCount = 0
    for (const host of hosts) {
      host.announce('one', { maxConcurrentCount: 16 })
      for (let index = 0; index < 16; index++) host.assigned({ priorityClass: 'bronze' }).then(() => { heldCount += 1 }).catch(() => {})
      await host.clock.advance(1)
    }
    t.true(heldCount <= 16 + hostsCount, `${heldCount} requests of ${hostsCount} hosts`)
    t.true(heldCount >= 16 - hostsCount, `${heldCount} requests of ${hostsCount} hosts`)
  }
})

test('should leave a full endpoint to hosts below their equal share', async t => {
  const fixture = new SchedulingFixture({ hostsCount: 2 })
  const load = (runningCount: number, waitingCount: number) => ({ runningCount, waitingCount, kvUsedPercent: 0, tokensPerSecond: 0, ageMs: 0 })
  fixture.announce('one', { maxConcurrentCount: 16, load: load(0, 0) })
  const held = []
  for (let index = 0; index < 8; index++) held.push(await fixture.assigned({ priorityClass: 'bronze' }))
  await fixture.clock.advance(10)
  fixture.announce('one', { maxConcurrentCount: 16, load: load(8, 0) })
  for (let index = 0; index < 8; index++) held.push(await fixture.assigned({ priorityClass: 'bronze' }))
  await fixture.clock.advance(10)
  fixture.announce('one', { maxConcurrentCount: 16, load: load(16, 8) })
  await fixture.clock.advance(10)
  for (const assignment of held.slice(0, 5)) assignment.finish({ kind: 'cancelled' })
  await fixture.assigned({ requestId: 'after', priorityClass: 'gold' })
  const decision = fixture.scheduler.explain('after')[1]
  t.true(decision?.kind === 'assigned' && decision.candidates[0]!.ownLimitCount <= 11)
  fixture.announce('one', { maxConcurrentCount: 16, load: load(16, 16) })
  for (const assignment of held.slice(5, 12)) assignment.finish({ kind: 'cancelled' })
  t.deepEqual(await settledOf([fixture.assigned({ priorityClass: 'bronze' })]), [])
})

test('should let every host send at least one request to an endpoint that is mostly free', async t => {
  for (let seed = 0; seed < 20; seed++) {
    const fixture = new SchedulingFixture({ hostsCount: 12, seed })
    fixture.announce('one', { maxConcurrentCount: 2, endpointKind: EndpointKind.Service })
    t.is((await settledOf([1, 2].map(() => fixture.assign({ priorityClass: 'bronze' })))).length, 1)
  }
})

test('should let only the best-paid class exceed its limit, by a bounded count, and only at engines', async t => {
  const fixture = new SchedulingFixture()
  fixture.announce('one', { maxConcurrentCount: 2 })
  const counts = { gold: 0, bronze: 0 }
  for (const priorityClass of ['bronze', 'gold'] as const) {
    for (let index = 0; index < 6; index++) fixture.assigned({ priorityClass }).then(() => { counts[priorityClass] += 1 }).catch(() => {})
    await fixture.clock.advance(1)
  }
  t.deepEqual(counts, { bronze: 2, gold: 4 })
})
