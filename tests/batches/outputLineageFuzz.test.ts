/**
 * Several runs of one item write to the replicated state as their leaders do, each with
 * a text of its own behind what it took over: in two open batches, by a leader that has
 * lost its place and reports late, and over snapshots and expired outputs. Whatever the
 * order, a listed text must be the whole text of the run that listed it.
 */
import test from 'ava'
import fc from 'fast-check'
import { BatchState } from '../../src/batches/batchState.js'
import { ItemOutput } from '../../src/batches/itemOutput.js'
import { textOf, toPart } from '../../src/batches/outputParts.js'
import { BatchCommandKind, ResultState, type BatchCommandResult } from '../../src/protocol/batches.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'

const RUNS_COUNT = 1_500
const ITEM_ID = 'i1'
const KEEP_MS = 1_000_000
/** Stored outputs expire after one such step. */
const LONG_STEP_MS = 40_000
const MAX_WRITERS_COUNT = 4

type Step =
  | { kind: 'begin', batch: number }
  | { kind: 'receive', writer: number, count: number }
  | { kind: 'store', writer: number }
  | { kind: 'list', writer: number }
  | { kind: 'restore' }
  | { kind: 'expire' }

const writer = fc.nat({ max: MAX_WRITERS_COUNT - 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('begin' as const), batch: fc.nat({ max: 3 }) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('receive' as const), writer, count: fc.integer({ min: 1, max: 2 }) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('store' as const), writer }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('list' as const), writer }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restore' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('expire' as const) }) }
)

/** The run of an item for one batch by one leader. */
class Writer {
  readonly batchId: string
  private readonly _number: number
  private readonly _output: ItemOutput
  private _text: string[]

  constructor (state: BatchState, number: number, batchId: string) {
    const parts = state.unfinishedParts(ITEM_ID)
    this.batchId = batchId
    this._number = number
    this._output = new ItemOutput(parts)
    this._text = parts.length === 0 ? [] : textOf(parts).split('\n')
  }

  receive (count: number): void {
    const data = Array.from({ length: count }, (_value, position) => `${this._text.length + position + 1} of ${this._number}`)
    this._output.add(this._output.lastEventId, toPart(data, [1]))
    this._text = [...this._text, ...data]
  }

  store (state: BatchState, atMs: number): void {
    const { replicatedCount: afterEventId, replicatedDigest: afterDigest, lastEventId } = this._output
    if (this._output.unreplicatedCount === 0) return
    const command = { kind: BatchCommandKind.Progress, batchId: this.batchId, itemId: ITEM_ID, afterEventId, afterDigest, parts: this._output.unreplicatedParts() } as const
    if (state.apply(command, { index: 1, atMs }).kind === 'kept') this._output.markReplicated(lastEventId)
    else this._output.resetReplicated()
  }

  list (state: BatchState, atMs: number): BatchCommandResult {
    const { replicatedCount: afterEventId, replicatedDigest: afterDigest } = this._output
    const result = { itemId: ITEM_ID, state: ResultState.Completed, parts: this._output.unreplicatedParts(), versions: [1] }
    const answer = state.apply({ kind: BatchCommandKind.Finish, batchId: this.batchId, afterEventId, afterDigest, result }, { index: 1, atMs })
    if (answer.kind === 'mismatch') this._output.resetReplicated()
    return answer
  }

  /** What is wrong with the text that this run has listed. */
  faultOf (state: BatchState): string | undefined {
    const listed = textOf(state.get(this.batchId)?.results[0]?.parts ?? [])
    return listed === this._text.join('\n') ? undefined : `run ${this._number} listed ${listed} in place of ${this._text.join('\n')}`
  }
}

/** One state with the runs that write to it. */
class Lineages {
  private _state = new BatchState()
  private _atMs = 0
  private readonly _writers: Writer[] = []

  constructor () {
    for (const batch of [0, 1, 2, 3]) this._submit(`b${batch}`)
  }

  /** Describes the wrong text that a step has listed; undefined for none. */
  take (step: Step): string | undefined {
    switch (step.kind) {
      case 'begin':
        if (this._writers.length < MAX_WRITERS_COUNT) this._writers.push(new Writer(this._state, this._writers.length, `b${step.batch}`))
        return undefined
      case 'receive':
        this._writers[step.writer]?.receive(step.count)
        return undefined
      case 'store':
        this._writers[step.writer]?.store(this._state, this._atMs)
        return undefined
      case 'list':
        return this._list(this._writers[step.writer])
      case 'expire':
        this._atMs += LONG_STEP_MS
        this._submit('later')
        return undefined
      case 'restore':
        this._restore()
        return undefined
    }
  }

  private _list (writer: Writer | undefined): string | undefined {
    return writer?.list(this._state, this._atMs).kind === 'listed' ? writer.faultOf(this._state) : undefined
  }

  private _restore (): void {
    const pieces = structuredClone([...this._state.snapshot()])
    this._state = new BatchState()
    this._state.restore(pieces)
  }

  private _submit (batchId: string): void {
    this._state.apply({ kind: BatchCommandKind.Submit, submission: submission(batchId, [ITEM_ID]), keepMs: KEEP_MS }, { index: 1, atMs: this._atMs })
  }
}

// Parts were appended where a count of events met, so that the text of a result was joined from two runs.
test('should list the whole text of one run only, whichever runs store their events meanwhile', t => {
  fc.assert(fc.property(fc.array(step, { minLength: 10, maxLength: 60, size: 'max' }), steps => {
    const lineages = new Lineages()
    for (const taken of steps) {
      const fault = lineages.take(taken)
      if (fault !== undefined) throw new Error(fault)
    }
  }), { numRuns: RUNS_COUNT, seed: 20_261_204 })
  t.pass()
})

// Replicas of two builds must apply an entry alike, so entries without a digest are compared by their count.
test('should apply the entries that a leader without digests has written', t => {
  const state = new BatchState()
  const apply = (afterEventId: number, text: string): string => (
    state.apply({ kind: BatchCommandKind.Progress, batchId: 'b1', itemId: ITEM_ID, afterEventId, parts: [toPart([text], [1])] }, { index: 1, atMs: 0 }).kind
  )
  state.apply({ kind: BatchCommandKind.Submit, submission: submission('b1', [ITEM_ID]), keepMs: KEEP_MS }, { index: 1, atMs: 0 })
  t.deepEqual([apply(0, 'a'), apply(1, 'b'), apply(1, 'c')], ['kept', 'kept', 'mismatch'])
  t.is(textOf(state.unfinishedParts(ITEM_ID)), 'a\nb')
})
