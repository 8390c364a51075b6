import test from 'ava'
import { BatchState } from '../../src/batches/batchState.js'
import { textOf, toPart } from '../../src/batches/outputParts.js'
import { BatchCommandKind, ResultState, type BatchCommand, type BatchSubmission, type ItemResult } from '../../src/protocol/batches.js'
import type { NamedWeights } from '../../src/protocol/routingCommands.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'

const KEEP_MS = 60_000

function submit (batch: BatchSubmission): BatchCommand {
  return { kind: BatchCommandKind.Submit, submission: batch, keepMs: KEEP_MS }
}

function result (itemId: string, text: string, changes: Partial<ItemResult> = {}): ItemResult {
  return { itemId, state: ResultState.Completed, parts: [toPart(text.split('\n'), [1])], versions: [1], score: 'receipt', ...changes }
}

function finish (batchId: string, itemResult: ItemResult, afterEventId = 0): BatchCommand {
  return { kind: BatchCommandKind.Finish, batchId, afterEventId, result: itemResult }
}

function applyAll (state: BatchState, commands: BatchCommand[], atMs = 0) {
  return commands.map((command, position) => state.apply(command, { index: position + 1, atMs }))
}

test('should accept a batch once that is submitted twice', t => {
  const state = new BatchState()
  applyAll(state, [submit(submission('b1', ['i1'])), finish('b1', result('i1', 'one')), submit(submission('b1', ['i1']))])
  t.is(state.get('b1')?.results.length, 1)
})

test('should give an item one position, and keep it and its content for good', t => {
  const state = new BatchState()
  const [, first, , again] = applyAll(state, [
    submit(submission('b1', ['i1', 'i2'])), finish('b1', result('i2', 'one')), finish('b1', result('i1', 'two')), finish('b1', result('i2', 'other'))
  ])
  t.deepEqual(first, { kind: 'listed', position: 0 })
  t.deepEqual(again, { kind: 'closed' })
  t.deepEqual(state.get('b1')?.results.map(({ itemId, parts }) => [itemId, textOf(parts)]), [['i2', 'one'], ['i1', 'two']])
})

test('should list nothing of another batch, and nothing after the end', t => {
  const state = new BatchState()
  const outcomes = applyAll(state, [
    submit(submission('b1', ['i1'])), finish('b1', result('foreign', 'x')), { kind: BatchCommandKind.End, batchId: 'b1' }, finish('b1', result('i1', 'late'))
  ])
  t.deepEqual(outcomes.map(({ kind }) => kind), ['accepted', 'closed', 'ended', 'closed'])
  t.is(state.get('b1')?.results.length, 0)
  t.is(state.get('b1')?.openItem('i1'), undefined)
})

test('should assemble a result from the stored output and the events that follow it', t => {
  const state = new BatchState()
  const progress = (afterEventId: number, data: string[]): BatchCommand => (
    { kind: BatchCommandKind.Progress, batchId: 'b1', itemId: 'i1', afterEventId, parts: [toPart(data, [1])] }
  )
  const outcomes = applyAll(state, [
    submit(submission('b1', ['i1'])), progress(0, ['a', 'b']), progress(2, ['c']), progress(2, ['wrong']), finish('b1', result('i1', 'd'), 2), finish('b1', result('i1', 'd'), 3)
  ])
  t.deepEqual(outcomes.map(({ kind }) => kind), ['accepted', 'kept', 'kept', 'mismatch', 'mismatch', 'listed'])
  t.is(textOf(state.get('b1')?.results[0]?.parts ?? []), 'a\nb\nc\nd')
  t.deepEqual(state.unfinishedParts('i1'), [])
})

test('should keep the output and the result of an item for a later batch with the same item', t => {
  const state = new BatchState()
  const progress: BatchCommand = { kind: BatchCommandKind.Progress, batchId: 'b1', itemId: 'i1', afterEventId: 0, parts: [toPart(['a'], [1])] }
  applyAll(state, [submit(submission('b1', ['i1', 'i2'])), progress, finish('b1', result('i2', 'x')), { kind: BatchCommandKind.End, batchId: 'b1' }, submit(submission('b2', ['i1', 'i2']))])
  t.is(textOf(state.unfinishedParts('i1')), 'a')
  const item = state.get('b2')?.openItem('i2')
  t.is(item && textOf(state.completedResult(item)?.parts ?? []), 'x')
})

// Guards against an item that gets the output of another account's item with the same id.
test('should not give an account the output of an item of another account, nor let it read or end batches of that account', t => {
  const state = new BatchState()
  const own = submission('b1', ['i1', 'i2'], { account: 'learners' })
  const progress: BatchCommand = { kind: BatchCommandKind.Progress, batchId: 'b1', itemId: 'i1', afterEventId: 0, parts: [toPart(['a'], [1])] }
  const outcomes = applyAll(state, [
    submit(own),
    progress,
    finish('b1', result('i2', 'x')),
    { kind: BatchCommandKind.End, batchId: 'b1', account: 'trainers' },
    { kind: BatchCommandKind.End, batchId: 'b1' },
    submit({ ...own, account: 'trainers' }),
    { kind: BatchCommandKind.End, batchId: 'b1', account: 'learners' }
  ])
  t.deepEqual(outcomes.map(({ kind }) => kind), ['accepted', 'kept', 'listed', 'unknownBatch', 'unknownBatch', 'foreign', 'ended'])
  const [, item] = own.items
  t.deepEqual([state.unfinishedParts('i1', 'trainers'), state.unfinishedParts('i1')], [[], []])
  t.is(item && state.completedResult(item, 'trainers'), undefined)
  t.is(textOf(state.unfinishedParts('i1', 'learners')), 'a')
  t.is(item && textOf(state.completedResult(item, 'learners')?.parts ?? []), 'x')
  t.is(state.get('b1')?.isAccessibleBy('trainers'), false)
})

test('should keep accounts, their stored outputs and orders for engines across a snapshot', t => {
  const state = new BatchState()
  const order = { service: 'engines', dataCentre: 'north', isReclaimable: true, desiredCount: 4 }
  const progress: BatchCommand = { kind: BatchCommandKind.Progress, batchId: 'b1', itemId: 'i1', afterEventId: 0, parts: [toPart(['a'], [1])] }
  applyAll(state, [submit(submission('b1', ['i1'], { account: 'learners' })), progress, { kind: BatchCommandKind.ClaimSupply, holder: 's1' }, { kind: BatchCommandKind.OrderSupply, ...order }])
  const restored = new BatchState()
  restored.restore(structuredClone([...state.snapshot()]))
  t.is(restored.get('b1')?.submission.account, 'learners')
  t.is(textOf(restored.unfinishedParts('i1', 'learners')), 'a')
  t.is(restored.supply.holder, 's1')
  t.is(restored.supply.orderOf(order), 4)
})

test('should not reuse a score that another reward call gave', t => {
  const state = new BatchState()
  applyAll(state, [submit(submission('b1', ['i1'])), finish('b1', result('i1', 'x')), submit(submission('b2', ['i1'], { rewardSuffix: 'new' }))])
  const item = state.get('b2')?.openItem('i1')
  t.truthy(item)
  t.is(item && state.completedResult(item), undefined)
})

test('should remove batches when their retention time is over, and not before', t => {
  const state = new BatchState()
  applyAll(state, [submit(submission('b1', ['i1'])), { kind: BatchCommandKind.End, batchId: 'b1' }], 0)
  applyAll(state, [submit(submission('b2', ['i2']))], KEEP_MS)
  t.truthy(state.get('b1'))
  applyAll(state, [submit(submission('b3', ['i3']))], KEEP_MS + 1)
  t.is(state.get('b1'), undefined)
})

test('should be the same after a snapshot was restored', t => {
  const state = new BatchState()
  const progress: BatchCommand = { kind: BatchCommandKind.Progress, batchId: 'b1', itemId: 'i2', afterEventId: 0, parts: [toPart(['a'], [1])] }
  applyAll(state, [submit(submission('b1', ['i1', 'i2'])), finish('b1', result('i1', 'x')), progress])
  const copy = new BatchState()
  copy.restore([...state.snapshot()])
  t.deepEqual([...copy.snapshot()], [...state.snapshot()])
  t.truthy(copy.get('b1')?.isListed('i1'))
  t.is(textOf(copy.unfinishedParts('i2')), 'a')
})

test('should hold only the result and the id of the reward call of a listed item', t => {
  const state = new BatchState()
  applyAll(state, [submit(submission('b1', ['i1', 'i2'])), finish('b1', result('i1', 'x'))])
  const held = JSON.stringify([...state.snapshot()])
  t.false(held.includes('/hints/i1'))
  t.false(held.includes('/open/i1'))
  t.true(held.includes('/hints/i2'))
  t.true(held.includes('reward of i1'))
  t.is(state.get('b1')?.submission.itemsCount, 2)
  const copy = new BatchState()
  copy.restore(structuredClone([...state.snapshot()]))
  applyAll(copy, [submit(submission('b2', ['i1']))])
  const item = copy.get('b2')?.openItem('i1')
  t.is(item && textOf(copy.completedResult(item)?.parts ?? []), 'x')
})

test('should hold no items of an ended batch, but its results and the number of its items', t => {
  const state = new BatchState()
  applyAll(state, [submit(submission('b1', ['i1', 'i2', 'i3'])), finish('b1', result('i1', 'x')), { kind: BatchCommandKind.End, batchId: 'b1' }])
  const held = JSON.stringify([...state.snapshot()])
  t.false(held.includes('/hints/i2'))
  t.false(held.includes('reward of i2'))
  t.is(state.get('b1')?.submission.itemsCount, 3)
  t.is(state.get('b1')?.results.length, 1)
  t.true(state.get('b1')?.isListed('i1'))
  t.deepEqual(state.get('b1')?.openItems(), [])
})

test('should reuse the results that it holds for equal ones in a received snapshot', t => {
  const state = new BatchState()
  applyAll(state, [submit(submission('b1', ['i1', 'i2', 'i3'])), finish('b1', result('i1', 'x'))])
  const ahead = new BatchState()
  ahead.restore(structuredClone([...state.snapshot()]))
  applyAll(ahead, [finish('b1', result('i2', 'y'))])
  const held = state.get('b1')?.results[0]
  const pieces = structuredClone([...ahead.snapshot()]).map(piece => state.reuse(piece))
  state.restore(pieces)
  t.is(state.get('b1')?.results[0], held)
  t.deepEqual([...state.snapshot()], [...ahead.snapshot()])
})

test('should keep the newest published version of each model, and notify of it again after a snapshot', t => {
  const named: string[] = []
  const listener = { onOrder: () => {}, onNamed: ({ model, version }: NamedWeights) => named.push(`${model}@${version}`) }
  const state = new BatchState(listener)
  const name = (model: string, version: number): BatchCommand => ({ kind: BatchCommandKind.NameWeights, model, version })
  t.deepEqual(applyAll(state, [name('m', 2), name('m', 3), name('other', 7), name('m', 2)]).map(({ kind }) => kind), ['named', 'named', 'named', 'named'])
  t.deepEqual(named, ['m@2', 'm@3', 'other@7', 'm@3'])
  named.length = 0
  const copy = new BatchState(listener)
  copy.restore([...state.snapshot()])
  t.deepEqual(named, ['m@3', 'other@7'])
  t.deepEqual([...copy.snapshot()], [...state.snapshot()])
})
