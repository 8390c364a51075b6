import test from 'ava'
import { FakeStore, NO_REPLY } from '../fixtures/fleet/fakeStore.js'

const DEADLINE_MS = 1_500
const refused = { kind: 'refused', reason: 'another entry took its place' } as const
const full = { kind: 'refused', reason: 'the batch store is full', isFinal: true } as const
const unknown = { kind: 'unknown', reason: 'not committed in time' } as const

test('should not report a batch as refused when an earlier call was lost and may still commit', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [NO_REPLY, refused], true)
  await store.addHost('10.0.0.2', [refused])
  const reply = await store.submit(DEADLINE_MS)
  t.is(reply.kind, 'unknown')
  t.true(store.submissionTargets.length > 1, 'the call was retried')
  store.close()
})

test('should not report a batch as refused when the outcome of an earlier call is unknown', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [unknown, refused], true)
  const reply = await store.submit(DEADLINE_MS)
  t.is(reply.kind, 'unknown')
  store.close()
})

test('should retry after a refusal, and report the batch as accepted when it was', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [refused, { kind: 'notLeader', leaderAddress: '10.0.0.2:1' }], true)
  await store.addHost('10.0.0.2', [{ kind: 'accepted' }])
  t.deepEqual(await store.submit(DEADLINE_MS), { kind: 'accepted' })
  store.close()
})

test('should not retry after a final refusal, and return its reason', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [full, { kind: 'accepted' }], true)
  t.like(await store.submit(DEADLINE_MS), { kind: 'refused', reason: full.reason })
  t.deepEqual(store.submissionTargets, ['10.0.0.1'])
  store.close()
})

test('should not retry after a final refusal that follows a lost call, nor report the batch as refused', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [NO_REPLY, full, { kind: 'accepted' }], true)
  t.is((await store.submit(DEADLINE_MS)).kind, 'unknown')
  t.is(store.submissionTargets.length, 2)
  store.close()
})

test('should retry after a lost call, and report the batch as accepted when it was', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [NO_REPLY, { kind: 'accepted' }], true)
  t.deepEqual(await store.submit(DEADLINE_MS), { kind: 'accepted' })
  store.close()
})

test('should report a batch as refused when every call was refused', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [refused], true)
  t.deepEqual(await store.submit(DEADLINE_MS), refused)
  store.close()
})

test('should report a batch as refused when no host of the store is known', async t => {
  const store = new FakeStore()
  t.is((await store.submit(DEADLINE_MS)).kind, 'refused')
  t.deepEqual(store.submissionTargets, [])
  store.close()
})

test('should soon read from the leader after a nearby replica has died, and not use that replica for a while', async t => {
  const store = new FakeStore()
  const nearby = await store.addReadReplica('10.0.0.1', 'north')
  const leader = await store.addReadReplica('10.0.0.2', 'south')
  t.is((await store.read(1_000, 2_000)).kind, 'results')
  t.is(leader.readsCount, 0)
  nearby.isSilent = true
  const first = await store.read(1_000, 2_000)
  t.is(first.kind, 'results')
  t.true(first.tookMs <= 1_300, `${first.tookMs} ms`)
  const readsCount = nearby.readsCount
  const second = await store.read(1_000, 2_000)
  t.is(second.kind, 'results')
  t.true(second.tookMs <= 1_020, `${second.tookMs} ms`)
  t.is(nearby.readsCount, readsCount)
  store.close()
})

test('should wait for results as long as its caller does, and no longer', async t => {
  const store = new FakeStore()
  await store.addReadReplica('10.0.0.1', 'north')
  const { kind, tookMs } = await store.read(1_000, 2_000)
  t.is(kind, 'results')
  t.true(tookMs >= 1_000 && tookMs <= 1_020, `${tookMs} ms`)
  store.close()
})

test('should not read from a store host without a replica, and use the replicas in other data centres in turn', async t => {
  const store = new FakeStore()
  const first = await store.addReadReplica('10.0.0.1', 'east')
  const second = await store.addReadReplica('10.0.0.2', 'south')
  const outsider = await store.addReadReplica('10.0.0.3', 'north')
  for (let read = 0; read < 4; read++) t.is((await store.read(100, 2_000)).kind, 'results')
  t.is(outsider.readsCount, 0)
  t.deepEqual([first.readsCount, second.readsCount], [2, 2])
  store.close()
})
