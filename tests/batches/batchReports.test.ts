import test from 'ava'
import { setBatchGauges, reportExpired, UnknownBatchReporter } from '../../src/batches/batchReports.js'
import { BatchEvent } from '../../src/batches/batchEvents.js'
import { BatchService } from '../../src/batches/batchService.js'
import { BatchState } from '../../src/batches/batchState.js'
import { toPart } from '../../src/batches/outputParts.js'
import { BatchCommandKind, type BatchCommand, type BatchSubmission } from '../../src/protocol/batches.js'
import { endBatchMethod, readItemMethod, readResultsMethod } from '../../src/transport/batchMethods.js'
import { RpcHandlers } from '../../src/transport/rpcPeer.js'
import type { LogFields, Logger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { StoreWorld } from '../fixtures/fleet/storeWorld.js'

const KEEP_MS = 60_000
const CALL_MS = 5_000

interface LogRecorder {
  logger: Logger
  events: Array<{ number: number, fields: LogFields }>
}

function recorder (): LogRecorder {
  const events: LogRecorder['events'] = []
  const logger: Logger = { event: (number, fields = {}) => { events.push({ number, fields }) }, child: () => logger }
  return { logger, events }
}

function submit (batch: BatchSubmission): BatchCommand {
  return { kind: BatchCommandKind.Submit, submission: batch, keepMs: KEEP_MS }
}

function applyAll (state: BatchState, commands: BatchCommand[], atMs: number): void {
  commands.forEach((command, position) => state.apply(command, { index: position + 1, atMs }))
}

test('should set gauges for the batches and unfinished outputs that are held', t => {
  const state = new BatchState()
  const metrics = memoryMetrics()
  const progress: BatchCommand = { kind: BatchCommandKind.Progress, batchId: 'b2', itemId: 'i2', afterEventId: 0, parts: [toPart(['a'], [1])] }
  applyAll(state, [submit(submission('b1', ['i1'])), submit(submission('b2', ['i2'])), progress, { kind: BatchCommandKind.End, batchId: 'b1' }], 0)
  setBatchGauges(state, metrics)
  t.deepEqual(metrics.snapshot(), { 'batches.open': 1, 'batches.held': 2, 'outputs.unfinished': 1 })
})

test('should log an expired batch, with the times that decided its removal', t => {
  const { logger, events } = recorder()
  const state = new BatchState({ onOrder: () => {}, onNamed: () => {}, onBatchExpired: (batch, decidedAtMs) => reportExpired(logger, batch, decidedAtMs) })
  applyAll(state, [submit(submission('b1', ['i1'])), submit(submission('b2', ['i2'])), { kind: BatchCommandKind.End, batchId: 'b1' }], 1_000)
  applyAll(state, [submit(submission('b3', ['i3']))], KEEP_MS + 1_000)
  t.deepEqual(events, [])
  applyAll(state, [submit(submission('b4', ['i4']))], KEEP_MS + 1_001)
  applyAll(state, [submit(submission('b5', ['i5']))], KEEP_MS + 1_002)
  t.deepEqual(events, [{
    number: BatchEvent.BatchExpired,
    fields: { batchId: 'b1', acceptedAtMs: 1_000, decidedAtMs: KEEP_MS + 1_001, keptMs: KEEP_MS, isEnded: true, listedCount: 0 }
  }])
})

test('should log a requested batch that is not held once, whichever call requests it', async t => {
  const world = await new StoreWorld({ engines: [] }).start()
  const { logger, events } = recorder()
  const handlers = new RpcHandlers()
  const { clock, replica, state } = world
  new BatchService({ replica, state, clock, logger, scope: new Scope('test'), keepMs: KEEP_MS }).serve(handlers)
  const call = async (name: string, request: unknown): Promise<unknown> => (
    await clock.advanceUntil(Promise.resolve(handlers.find(name)?.handler(request, CALL_MS)))
  )
  await world.submit(submission('held', ['i1']))
  await call(readResultsMethod.name, { batchId: 'held', fromPosition: 0, waitMs: 0 })
  t.deepEqual(events, [])
  for (let attempt = 0; attempt < 3; attempt++) {
    t.deepEqual(await call(readResultsMethod.name, { batchId: 'lost', fromPosition: 0, waitMs: 0 }), { kind: 'unknownBatch' })
  }
  t.deepEqual(await call(readItemMethod.name, { batchId: 'lost-item', itemId: 'i1' }), { kind: 'absent' })
  t.deepEqual(await call(endBatchMethod.name, { batchId: 'lost-end' }), { kind: 'unknownBatch' })
  const unknown = events.map(({ number, fields }) => ({ number, batchId: fields.batchId, call: fields.call }))
  t.deepEqual(unknown, [
    { number: BatchEvent.BatchUnknown, batchId: 'lost', call: 'readResults' },
    { number: BatchEvent.BatchUnknown, batchId: 'lost-item', call: 'readItem' },
    { number: BatchEvent.BatchUnknown, batchId: 'lost-end', call: 'end' }
  ])
  t.like(events[0]?.fields, { isLeader: true, leaderHostId: 'h1' })
  t.is(events.at(-1)?.fields.appliedIndex, replica.appliedIndex)
  world.close()
})

test('should limit the number of unknown batches that it remembers as logged', async t => {
  const world = await new StoreWorld({ engines: [] }).start()
  const { logger, events } = recorder()
  const unknown = new UnknownBatchReporter(world.replica, logger)
  for (let number = 0; number < 2_000; number++) unknown.report(`b${number}`, 'readResults')
  unknown.report('b1999', 'readResults')
  t.is(events.length, 2_000)
  unknown.report('b0', 'readResults')
  t.is(events.length, 2_001)
  world.close()
})
