import test from 'ava'
import { FakeStore, SILENT } from '../fixtures/fleet/fakeStore.js'

const DEADLINE_MS = 1_500
const refused = { kind: 'refused', reason: 'another entry took its place' } as const
const unknown = { kind: 'unknown', reason: 'not committed in time' } as const

test('should not say that a batch was refused when an earlier call was lost and may still commit', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [SILENT, refused], true)
  await store.addHost('10.0.0.2', [refused])
  const reply = await store.submit(DEADLINE_MS)
  t.is(reply.kind, 'unknown')
  t.true(store.askedHosts.length > 1, 'it was asked again')
  store.close()
})

test('should not say that a batch was refused when the leader could not tell of an earlier call', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [unknown, refused], true)
  const reply = await store.submit(DEADLINE_MS)
  t.is(reply.kind, 'unknown')
  store.close()
})

test('should ask again after a refusal, and say that the batch was taken when it was', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [refused, { kind: 'notLeader', leaderAddress: '10.0.0.2:1' }], true)
  await store.addHost('10.0.0.2', [{ kind: 'accepted' }])
  t.deepEqual(await store.submit(DEADLINE_MS), { kind: 'accepted' })
  store.close()
})

test('should ask again after a lost call, and say that the batch was taken when it was', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [SILENT, { kind: 'accepted' }], true)
  t.deepEqual(await store.submit(DEADLINE_MS), { kind: 'accepted' })
  store.close()
})

test('should say that a batch was refused when every call was', async t => {
  const store = new FakeStore()
  await store.addHost('10.0.0.1', [refused], true)
  t.deepEqual(await store.submit(DEADLINE_MS), refused)
  store.close()
})

test('should say that a batch was refused when no host of the store is known', async t => {
  const store = new FakeStore()
  t.is((await store.submit(DEADLINE_MS)).kind, 'refused')
  t.deepEqual(store.askedHosts, [])
  store.close()
})
