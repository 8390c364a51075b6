/**
 * Applies random commands to the state of the batch store and compares it with a
 * simple model: listed results never change or disappear, a body can be read until
 * its item is listed or its batch has ended, a replica restored from a snapshot
 * equals one that applied all commands, no command changes an earlier snapshot, and
 * the accounted bytes equal a recount.
 */
import { isDeepStrictEqual } from 'node:util'
import test from 'ava'
import fc from 'fast-check'
import { BatchState } from '../../src/batches/batchState.js'
import { BATCH_OVERHEAD_BYTES, ITEM_OVERHEAD_BYTES, PART_OVERHEAD_BYTES, RESULT_OVERHEAD_BYTES } from '../../src/batches/heldBytes.js'
import { textOf, toPart } from '../../src/batches/outputParts.js'
import { BatchCommandKind, ResultState, type BatchCommand, type BatchCommandResult } from '../../src/protocol/batches.js'
import type { SnapshotPieces } from '../../src/replication/replicatedState.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'

const RUNS_COUNT = 600
/** Often enough that every kind of command follows a snapshot. */
const SNAPSHOT_EVERY_STEPS = 7
const KEEP_MS = 1_000_000
/** Unfinished outputs expire after one such step, batches after several. */
const LONG_STEP_MS = 40_000
const ITEM_IDS = ['i0', 'i1', 'i2', 'i3']

type Step =
  | { kind: 'submit', batch: number, items: number[] }
  | { kind: 'progress', batch: number, item: number, afterEventId: number, count: number }
  | { kind: 'finish', batch: number, item: number, afterEventId: number, count: number }
  | { kind: 'end', batch: number }
  | { kind: 'restart' }

const batch = fc.nat({ max: 2 })
const item = fc.nat({ max: ITEM_IDS.length - 1 })
const afterEventId = fc.nat({ max: 6 })
const count = fc.integer({ min: 1, max: 3 })

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('submit' as const), batch, items: fc.uniqueArray(item, { minLength: 1 }) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('progress' as const), batch, item, afterEventId, count }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('finish' as const), batch, item, afterEventId, count }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('end' as const), batch }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart' as const) }) }
)

function batchIdOf (number: number): string {
  return `b${number}`
}

function itemIdOf (number: number): string {
  return ITEM_IDS[number] ?? ''
}

/** Event data that names its item and its position in the output. */
function dataOf (itemId: string, from: number, eventsCount: number): string[] {
  return Array.from({ length: eventsCount }, (_value, position) => `${itemId}.${from + position + 1}`)
}

function commandOf (taken: Exclude<Step, { kind: 'restart' }>): BatchCommand {
  const batchId = batchIdOf(taken.batch)
  switch (taken.kind) {
    case 'submit':
      return { kind: BatchCommandKind.Submit, submission: submission(batchId, taken.items.map(itemIdOf)), keepMs: KEEP_MS }
    case 'end':
      return { kind: BatchCommandKind.End, batchId }
    case 'progress': {
      const itemId = itemIdOf(taken.item)
      return { kind: BatchCommandKind.Progress, batchId, itemId, afterEventId: taken.afterEventId, parts: [toPart(dataOf(itemId, taken.afterEventId, taken.count), [1])] }
    }
    case 'finish': {
      const itemId = itemIdOf(taken.item)
      const parts = [toPart(dataOf(itemId, taken.afterEventId, taken.count), [1])]
      return { kind: BatchCommandKind.Finish, batchId, afterEventId: taken.afterEventId, result: { itemId, state: ResultState.Completed, parts, versions: [1], score: 's' } }
    }
  }
}

function restarted (state: BatchState): BatchState {
  const copy = new BatchState()
  copy.restore(structuredClone([...state.snapshot()]))
  return copy
}

/** The lists of results as seen by earlier reads. */
class ResultReaders {
  private readonly _seen = new Map<string, string[]>()

  /** Describes the first contradiction to an earlier read; undefined for none. */
  read (state: BatchState): string | undefined {
    for (const batchId of [0, 1, 2].map(batchIdOf)) {
      const list = (state.get(batchId)?.results ?? []).map(({ itemId, parts }) => `${itemId}=${textOf(parts)}`)
      const seen = this._seen.get(batchId) ?? []
      if (seen.some((entry, position) => list[position] !== entry)) return `${batchId}: ${seen.join(' ')} became ${list.join(' ')}`
      this._seen.set(batchId, list)
    }
    return undefined
  }

  lists (): string[][] {
    return [...this._seen.values()]
  }
}

/** Items whose bodies must be readable, by batch. */
class OpenBodies {
  private readonly _open = new Map<string, Set<string>>()

  record (command: BatchCommand, { kind }: BatchCommandResult): void {
    if (command.kind === BatchCommandKind.Submit) {
      const { batchId, items } = command.submission
      if (!this._open.has(batchId)) this._open.set(batchId, new Set(items.map(({ itemId }) => itemId)))
    }
    if (command.kind === BatchCommandKind.End) this._open.get(command.batchId)?.clear()
    if (command.kind === BatchCommandKind.Finish && kind === 'listed') this._open.get(command.batchId)?.delete(command.result.itemId)
  }

  /** Describes the first body that differs in a state; undefined for none. */
  read (state: BatchState): string | undefined {
    for (const [batchId, open] of this._open) {
      for (const itemId of ITEM_IDS) {
        const body = state.get(batchId)?.openItem(itemId)?.body
        const text = body && Buffer.from(body).toString()
        if (text !== (open.has(itemId) ? `body of ${itemId}` : undefined)) return `${batchId}: the body of ${itemId} is ${text}`
      }
    }
    return undefined
  }
}

/** Snapshots with copies of their content at the time when they were taken. */
class Snapshots {
  private readonly _taken: { value: SnapshotPieces, copy: unknown[] }[] = []

  take (state: BatchState): void {
    const value = state.snapshot()
    this._taken.push({ value, copy: structuredClone([...value]) })
  }

  haveChanged (): boolean {
    return this._taken.some(({ value, copy }) => !isDeepStrictEqual([...value], copy))
  }
}

/** Bytes and characters of all strings and byte arrays in a value. */
function contentBytesOf (value: unknown): number {
  if (typeof value === 'string' || value instanceof Uint8Array) return value.length
  if (typeof value !== 'object' || value === null) return 0
  return Object.values(value).reduce((sum: number, field) => sum + contentBytesOf(field), 0)
}

function recountOf (state: BatchState): number {
  const batches = [...state.batches()].map(batch => batch.record())
  const unfinished = [...state.snapshot()].flatMap(piece => (piece as { outputs?: Array<{ parts: unknown[] }> }).outputs ?? [])
  const results = [...batches.flatMap(held => held.results), ...unfinished]
  const overheadBytes = batches.length * BATCH_OVERHEAD_BYTES + batches.flatMap(({ openItems }) => openItems).length * ITEM_OVERHEAD_BYTES +
    results.length * RESULT_OVERHEAD_BYTES + results.flatMap(({ parts }) => parts).length * PART_OVERHEAD_BYTES
  return overheadBytes + contentBytesOf(batches) + contentBytesOf(unfinished)
}

test('should count the bytes that it holds, less what was dropped, also after a snapshot', t => {
  fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 60, size: 'max' }), steps => {
    let state = new BatchState()
    for (const [position, taken] of steps.entries()) {
      const context = { index: position + 1, atMs: position * LONG_STEP_MS }
      const before = state.heldBytesAt(context.atMs)
      if (taken.kind === 'restart') state = restarted(state)
      else state.apply(commandOf(taken), context)
      if (taken.kind === 'submit' && state.heldBytes < before) throw new Error(`a submission reduced the accounted bytes from ${before} to ${state.heldBytes}`)
      if (state.heldBytes !== recountOf(state)) throw new Error(`${state.heldBytes} bytes accounted, ${recountOf(state)} recounted`)
    }
  }), { numRuns: RUNS_COUNT, seed: 20_261_202 })
  t.pass()
})

test('should answer the body of an item until it is listed or its batch has ended, and change no snapshot afterwards', t => {
  fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 60, size: 'max' }), steps => {
    let state = new BatchState()
    const bodies = new OpenBodies()
    const snapshots = new Snapshots()
    for (const [position, taken] of steps.entries()) {
      if (position % SNAPSHOT_EVERY_STEPS === 0) snapshots.take(state)
      if (taken.kind === 'restart') {
        state = restarted(state)
      } else {
        const command = commandOf(taken)
        bodies.record(command, state.apply(command, { index: position + 1, atMs: position }))
      }
      const contradiction = bodies.read(state)
      if (contradiction !== undefined) throw new Error(contradiction)
    }
    if (snapshots.haveChanged()) throw new Error('a command changed an earlier snapshot')
  }), { numRuns: RUNS_COUNT, seed: 20_261_202 })
  t.pass()
})

test('should never change or lose what was listed, nor list an item twice or with a gap in its text', t => {
  fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 60, size: 'max' }), steps => {
    let state = new BatchState()
    const uninterrupted = new BatchState()
    const readers = new ResultReaders()
    for (const [position, taken] of steps.entries()) {
      if (taken.kind === 'restart') {
        state = restarted(state)
      } else {
        const context = { index: position + 1, atMs: position }
        const outcomes = [state, uninterrupted].map(replica => replica.apply(commandOf(taken), context))
        if (JSON.stringify(outcomes[0]) !== JSON.stringify(outcomes[1])) throw new Error(`replicas disagree: ${JSON.stringify(outcomes)}`)
      }
      const contradiction = readers.read(state)
      if (contradiction !== undefined) throw new Error(contradiction)
    }
    for (const list of readers.lists()) {
      const ids = list.map(entry => entry.split('=')[0])
      if (new Set(ids).size !== ids.length) throw new Error(`an item is listed twice: ${list.join(' ')}`)
      for (const entry of list) assertNoGap(entry)
    }
  }), { numRuns: RUNS_COUNT, seed: 20_261_202 })
  t.pass()
})

function assertNoGap (entry: string): void {
  const [itemId = '', text = ''] = entry.split('=')
  const events = text.split('\n')
  const expected = dataOf(itemId, 0, events.length)
  if (events.some((event, position) => event !== expected[position])) throw new Error(`output has a gap: ${entry}`)
}
