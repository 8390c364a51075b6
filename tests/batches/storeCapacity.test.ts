import test from 'ava'
import { BatchClient } from '../../src/batches/batchClient.js'
import { BatchService } from '../../src/batches/batchService.js'
import { HostRole } from '../../src/protocol/fleet.js'
import { MemoryNetwork } from '../../src/transport/memoryTransport.js'
import { RpcHandlers, RpcPeer } from '../../src/transport/rpcPeer.js'
import type { SubmitBatchReply } from '../../src/transport/batchMethods.js'
import { silentLogger } from '../../src/utils/logger.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { submission, type SubmissionChanges } from '../fixtures/fleet/batchFixtures.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const KEEP_MS = 60_000
/** Fits two batches of one item with 150 expected tokens each, but not three. */
const CAPACITY_BYTES = 22_000
const DEADLINE_MS = 1_500

interface ServedStore {
  world: StoreWorld
  submit: (batchId: string, changes?: SubmissionChanges) => Promise<SubmitBatchReply>
  submitTogether: (batchIds: string[]) => Promise<SubmitBatchReply[]>
  close: () => void
}

async function startServedStore (stateCapacityBytes: number | undefined): Promise<ServedStore> {
  const world = await new StoreWorld({ engines: [engine('e1', 1)] }).start()
  world.endpoints.onRun = () => ({ eventsCount: 1_000, gapMs: 1_000, version: 1 })
  const { clock, replica, state, view } = world
  const scope = new Scope('served store')
  const network = new MemoryNetwork(clock)
  const handlers = new RpcHandlers()
  const onFatal = (error: unknown): void => { throw error }
  new BatchService({ replica, state, clock, logger: silentLogger, scope, keepMs: KEEP_MS, stateCapacityBytes }).serve(handlers)
  await network.host('10.0.0.1').listen('10.0.0.1:1', scope, connection => { createPeer(connection, handlers) })
  const store = { replicaId: 'r1', peerAddress: '10.0.0.1:1', clusterId: 'store', term: 1, isLeader: true, memberIds: ['r1'] }
  view.merge('control', { hosts: [{ hostId: 'h1', hostName: 'h1', dataCentre: 'south', role: HostRole.Store, isServing: true, store }] })
  const client = new BatchClient(view, 'north', network.host('10.0.0.9'), scope, onFatal)
  const send = async (batchId: string, changes: SubmissionChanges = {}): Promise<SubmitBatchReply> => (
    await client.submit(submission(batchId, [`i of ${batchId}`], changes), new Progress(clock, scope, clock.nowMs() + DEADLINE_MS))
  )
  return {
    world,
    submit: (batchId, changes) => clock.advanceUntil(send(batchId, changes)),
    submitTogether: batchIds => clock.advanceUntil(Promise.all(batchIds.map(batchId => send(batchId)))),
    close: () => {
      scope.close('test over')
      world.close()
    }
  }
}

function createPeer (connection: ConstructorParameters<typeof RpcPeer>[0], handlers: RpcHandlers): RpcPeer {
  return new RpcPeer(connection, handlers, error => { throw error })
}

test('should refuse a batch at once and with a reason if the store is full, and accept it once another has ended', async t => {
  const { world, submit, close } = await startServedStore(CAPACITY_BYTES)
  t.is((await submit('b1')).kind, 'accepted')
  t.is((await submit('b2')).kind, 'accepted')
  const startedAtMs = world.clock.nowMs()
  const refused = await submit('b3')
  t.is(refused.kind, 'refused')
  t.regex('reason' in refused ? refused.reason : '', /the batch store is full: 0\.0 of 0\.0 MB are held or reserved/)
  t.true(world.clock.nowMs() - startedAtMs < DEADLINE_MS, 'the client did not retry until its deadline')
  t.is(world.state.get('b3'), undefined)
  await world.end('b1')
  t.is((await submit('b3')).kind, 'accepted')
  t.truthy(world.state.get('b2')?.openItem('i of b2'))
  close()
})

test('should confirm a batch that was accepted before, even if the store is full', async t => {
  const { submit, close } = await startServedStore(CAPACITY_BYTES)
  await submit('b1')
  await submit('b2')
  t.is((await submit('b3')).kind, 'refused')
  t.is((await submit('b1')).kind, 'accepted')
  close()
})

test('should accept batches again once old ones are outdated, without a command in between', async t => {
  const { world, submit, close } = await startServedStore(CAPACITY_BYTES)
  await submit('b1')
  await submit('b2')
  world.stopDispatching()
  await world.clock.advance(2 * KEEP_MS - 1_000)
  t.is((await submit('b3')).kind, 'refused')
  await world.clock.advance(2_000)
  t.is((await submit('b3')).kind, 'accepted')
  close()
})

test('should reserve capacity for concurrent submissions', async t => {
  const { submitTogether, close } = await startServedStore(CAPACITY_BYTES)
  const replies = await submitTogether(['b1', 'b2', 'b3'])
  t.deepEqual(replies.map(({ kind }) => kind), ['accepted', 'accepted', 'refused'])
  close()
})

test('should reserve capacity for the expected output of open items', async t => {
  const { world, submit, close } = await startServedStore(CAPACITY_BYTES)
  t.is((await submit('b1', { expectedTokensCount: 450 })).kind, 'accepted')
  t.true(world.state.heldBytes < CAPACITY_BYTES / 2)
  t.is((await submit('b2')).kind, 'refused')
  close()
})

test('should refuse nothing without a capacity limit', async t => {
  const { submit, close } = await startServedStore(undefined)
  for (const batchId of ['b1', 'b2', 'b3', 'b4']) t.is((await submit(batchId)).kind, 'accepted')
  close()
})
