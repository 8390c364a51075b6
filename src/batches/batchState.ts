/**
 * The replicated state of the batch store: batches with their items and lists of
 * results. The position and content of a result never change.
 */
import {
  BatchCommandKind, ResultState, type BatchCommand, type BatchCommandResult, type BatchItem, type ItemResult, type OutputPart
} from '../protocol/batches.js'
import type { NamedWeights } from '../protocol/routingCommands.js'
import type { ApplyContext, ReplicatedState, SnapshotPieces } from '../replication/replicatedState.js'
import { SupplyLedger, type SupplySnapshot } from '../engineSupply/supplyLedger.js'
import { invariant } from '../utils/errors.js'
import { Batch, withCopiedBodies, type BatchRecord } from './batch.js'
import { heldBytesOfItems, heldBytesOfUnfinished } from './heldBytes.js'
import { digestAfterAll, EMPTY_OUTPUT_DIGEST } from './outputDigest.js'
import { eventsCountOf } from './outputParts.js'
import { slicesOf, StagedSubmissions, type StagedSubmission } from './stagedSubmissions.js'

/** Key of an item across batches; item ids are unique within a client account only. */
export function itemKeyOf (account: string | undefined, itemId: string): string {
  return account === undefined ? itemId : `${account} ${itemId}`
}

interface CompletedItem {
  result: ItemResult
  /** The model of its batch. */
  model: string
  rewardId: string | undefined
}

/** One piece of a snapshot. A batch precedes its results, which follow in order. */
type SnapshotPiece =
  /** The batch without its results. */
  | { kind: 'batch', record: BatchRecord }
  /** Open items of a batch with large bodies, in order; those of other batches are in its record. */
  | { kind: 'items', batchId: string, items: BatchItem[] }
  | { kind: 'staged', staged: StagedSubmission }
  | { kind: 'results', batchId: string, fromPosition: number, results: ItemResult[], rewardIds: (string | undefined)[] }
  | { kind: 'unfinished', outputs: UnfinishedOutput[] }
  | { kind: 'orders', orders: AnnouncedOrder[] }
  | { kind: 'weights', weights: NamedWeights[] }
  | { kind: 'supply', supply: SupplySnapshot }

/** Results or outputs in one piece of a snapshot: at a few kilobytes per result, a piece has half a megabyte at most. */
const PIECE_ITEMS_COUNT = 64
/** Larger items of a batch are in pieces of this size. */
const PIECE_BYTES = 512 * 1024

/** The latest weight load order that a leader announced for an engine. */
interface AnnouncedOrder {
  endpointId: string
  holder: string
  lanesCount?: number | undefined
}

/** Engines whose latest order is kept: many times the engines of any deployment. */
const MAX_ORDERS_COUNT = 4_096

/** Stored output of an item that is not listed yet; a later leader continues the item from this output. */
interface UnfinishedOutput {
  itemId: string
  /** The client account; absent for none. */
  account?: string | undefined
  /** The model of its batch; absent in snapshots that were written without it. */
  model?: string
  parts: OutputPart[]
  keptAtMs: number
}

type SubmitCommand = Extract<BatchCommand, { kind: BatchCommandKind.Submit }>
type PartCommand = Extract<BatchCommand, { kind: BatchCommandKind.SubmitPart }>
type ProgressCommand = Extract<BatchCommand, { kind: BatchCommandKind.Progress }>
type FinishCommand = Extract<BatchCommand, { kind: BatchCommandKind.Finish }>

/** The output that the parts of a command continue. */
type OutputPlace = Pick<ProgressCommand, 'afterEventId' | 'afterDigest'>

/** Unfinished output that has not grown for this long is removed. */
const UNFINISHED_RETENTION_MS = 30_000

/** Notified of changes to the state of this replica, also of changes that come from a snapshot. */
export interface BatchStateListener {
  /** A leader announced a weight load order. */
  onOrder: (endpointId: string, holder: string, lanesCount: number | undefined) => void
  /** A trainer published a version of its weights. */
  onNamed: (weights: NamedWeights) => void
  /** A batch was added. */
  onBatchAdded?: (batch: Batch) => void
  /** A batch expired; `decidedAtMs` is the time of the log entry that removed the batch. */
  onBatchExpired?: (batch: Batch, decidedAtMs: number) => void
}

const noListener: BatchStateListener = { onOrder: () => {}, onNamed: () => {} }

export class BatchState implements ReplicatedState<BatchCommand, BatchCommandResult> {
  /** Engine orders sent to the infrastructure. */
  readonly supply = new SupplyLedger()
  /** Items of submissions that are not complete yet. */
  readonly staged = new StagedSubmissions()
  private readonly _batches = new Map<string, Batch>()
  /** Completed results by item key, for items that are submitted again in a later batch. */
  private readonly _completed = new Map<string, CompletedItem>()

  private readonly _unfinished = new Map<string, UnfinishedOutput>()
  /** Digests of stored outputs, which are computed again after a snapshot was restored. */
  private readonly _digests = new WeakMap<OutputPart[], string>()
  /** Latest order by engine, in the sequence of the announcements. */
  private readonly _orders = new Map<string, { holder: string, lanesCount: number | undefined }>()
  /** The newest published version of each model. */
  private readonly _weights = new Map<string, number>()
  private readonly _listener: BatchStateListener

  constructor (listener = noListener) {
    this._listener = listener
  }

  /** Estimated memory of batches and unfinished outputs in bytes; the same at all replicas that applied the same commands. */
  get heldBytes (): number {
    return this.heldBytesAt(Number.NEGATIVE_INFINITY)
  }

  /** Estimated memory in bytes without the batches and outputs that have expired at an instant; the next submission removes these. */
  heldBytesAt (atMs: number): number {
    let heldBytes = this.staged.heldBytesAt(atMs)
    for (const batch of this._batches.values()) heldBytes += batch.isExpired(atMs) ? 0 : batch.heldBytes
    for (const output of this._unfinished.values()) heldBytes += isOutputExpired(output, atMs) ? 0 : heldBytesOfUnfinished(output.itemId, output.parts, output.model)
    return heldBytes
  }

  get (batchId: string): Batch | undefined {
    return this._batches.get(batchId)
  }

  /**
   * Stored output of an unfinished item, from the last batch of the account that contained the item.
   * @param model the model whose output is asked for; without it, that of any
   */
  unfinishedParts (itemId: string, account?: string, model?: string): OutputPart[] {
    const output = this._unfinished.get(itemKeyOf(account, itemId))
    return output && isOfModel(output, model) ? output.parts : []
  }

  /** Estimated memory of the stored output of an unfinished item in bytes. */
  unfinishedBytes (itemId: string, account?: string): number {
    const output = this._unfinished.get(itemKeyOf(account, itemId))
    return output ? heldBytesOfUnfinished(itemId, output.parts, output.model) : 0
  }

  batches (): IterableIterator<Batch> {
    return this._batches.values()
  }

  /** Open batches that have not expired at an instant. */
  openBatchesAt (atMs: number): Batch[] {
    return this.open().filter(batch => !batch.isExpired(atMs))
  }

  get heldCount (): number {
    return this._batches.size
  }

  get unfinishedCount (): number {
    return this._unfinished.size
  }

  open (): Batch[] {
    return [...this._batches.values()].filter(batch => !batch.isEnded)
  }

  /** Whether an ended batch of the account lacks a result of the item, which thus returns in a later batch. */
  isCarriedOver (itemId: string, account?: string): boolean {
    for (const batch of this._batches.values()) if (batch.submission.account === account && batch.hasUnlisted(itemId)) return true
    return false
  }

  /**
   * The completed result of an item with the same reward call in any batch of the account that is still stored.
   * @param model the model whose result is asked for; without it, that of any
   */
  completedResult ({ itemId, reward }: BatchItem, account?: string, model?: string): ItemResult | undefined {
    const completed = this._completed.get(itemKeyOf(account, itemId))
    if (!completed || !isOfModel(completed, model)) return undefined
    return completed.rewardId === reward?.rewardId ? completed.result : undefined
  }

  apply (command: BatchCommand, { atMs }: ApplyContext): BatchCommandResult {
    switch (command.kind) {
      case BatchCommandKind.Submit:
        return this._submit(command, atMs)
      case BatchCommandKind.SubmitPart:
        return this._stage(command, atMs)
      case BatchCommandKind.DropParts:
        this.staged.drop(command, command.grownAtMs)
        return { kind: 'dropped' }
      case BatchCommandKind.Progress:
        return this._appendOutput(command, atMs)
      case BatchCommandKind.Finish:
        return this._finish(command)
      case BatchCommandKind.End:
        return this._end(command.batchId, command.account)
      case BatchCommandKind.AnnounceOrder:
        return this._announce(command.endpointId, command.holder, command.lanesCount)
      case BatchCommandKind.NameWeights:
        return this._name(command)
      case BatchCommandKind.ClaimSupply:
        this.supply.claim(command.holder)
        return { kind: 'supplyHeld' }
      case BatchCommandKind.OrderSupply:
        this.supply.order(command)
        return { kind: 'supplyHeld' }
    }
  }

  /**
   * Yields one batch after the other, then the other state in lists of small values. The
   * arrays are copied here and their elements are never mutated, so commands that
   * are applied later do not change the pieces.
   */
  snapshot (): SnapshotPieces {
    const batches = [...this._batches.values()].map(batch => batch.record())
    const outputs = [...this._unfinished.values()]
    const orders = [...this._orders].map(([endpointId, order]) => ({ endpointId, ...order }))
    const weights = [...this._weights].map(([model, version]) => ({ model, version }))
    const supply = this.supply.snapshot()
    const staged = this.staged.all()
    return { [Symbol.iterator]: () => piecesOf({ batches, staged, outputs, orders, weights, supply }) }
  }

  /** Replaces received results by equal results that are already stored; results are immutable. */
  reuse (piece: unknown): unknown {
    const received = piece as SnapshotPiece
    if (received.kind !== 'results') return received
    const held = this._batches.get(received.batchId)?.results ?? []
    const results = received.results.map((result, offset) => {
      const existing = held[received.fromPosition + offset]
      return existing?.itemId === result.itemId ? existing : result
    })
    return { ...received, results }
  }

  restore (pieces: readonly unknown[]): void {
    this._batches.clear()
    this._completed.clear()
    this._unfinished.clear()
    this.staged.clear()
    this._orders.clear()
    this._weights.clear()
    this.supply.restore({ holder: undefined, orders: [] })
    for (const piece of pieces) this._restorePiece(piece as SnapshotPiece)
  }

  private _restorePiece (piece: SnapshotPiece): void {
    switch (piece.kind) {
      case 'batch':
        this._add(new Batch(piece.record))
        return
      case 'items':
        for (const item of piece.items) this._batchOfPiece(piece.batchId).restoreItem(item)
        return
      case 'results':
        return this._restoreResults(piece.batchId, piece.results, piece.rewardIds)
      case 'staged':
        this.staged.restore(piece.staged)
        return
      default:
        this._restoreList(piece)
    }
  }

  private _restoreList (piece: Exclude<SnapshotPiece, { kind: 'batch' | 'items' | 'results' | 'staged' }>): void {
    switch (piece.kind) {
      case 'unfinished':
        for (const output of piece.outputs) this._unfinished.set(itemKeyOf(output.account, output.itemId), output)
        return
      case 'orders':
        for (const { endpointId, holder, lanesCount } of piece.orders) this._announce(endpointId, holder, lanesCount)
        return
      case 'weights':
        for (const named of piece.weights) this._name(named)
        return
      case 'supply':
        this.supply.restore(piece.supply)
    }
  }

  private _restoreResults (batchId: string, results: ItemResult[], rewardIds: (string | undefined)[]): void {
    const batch = this._batchOfPiece(batchId)
    for (const [position, result] of results.entries()) this._recordCompleted(batch, result, batch.restore(result, rewardIds[position]))
  }

  private _batchOfPiece (batchId: string): Batch {
    const batch = this._batches.get(batchId)
    invariant(batch, `snapshot holds parts of batch ${batchId} before the batch itself`)
    return batch
  }

  private _submit ({ submission, keepMs, stagedItemsCount = 0 }: SubmitCommand, atMs: number): BatchCommandResult {
    this._removeExpired(atMs)
    const existing = this._batches.get(submission.batchId)
    if (existing?.isAccessibleBy(submission.account) === false) return { kind: 'foreign' }
    if (existing) return { kind: 'accepted' }
    const staged = stagedItemsCount > 0 ? this.staged.get(submission)?.items ?? [] : []
    if (staged.length !== stagedItemsCount) return { kind: 'incomplete' }
    const { model } = submission
    const items = [...staged.map(item => (item.model === '' ? { ...item, model } : item)), ...submission.items]
    this.staged.remove(submission)
    this._add(Batch.accepted({ ...submission, items }, atMs, keepMs))
    return { kind: 'accepted' }
  }

  /** Bodies are copied: a view would keep the whole part in memory. */
  private _stage ({ items, ...part }: PartCommand, atMs: number): BatchCommandResult {
    this._removeExpired(atMs)
    const isHeld = this.staged.add({ ...part, items: items.map(withCopiedBodies) }, atMs)
    return { kind: isHeld ? 'staged' : 'incomplete' }
  }

  private _add (batch: Batch): void {
    this._batches.set(batch.batchId, batch)
    this._listener.onBatchAdded?.(batch)
  }

  private _appendOutput ({ batchId, itemId, parts, ...place }: ProgressCommand, atMs: number): BatchCommandResult {
    const batch = this._batches.get(batchId)
    if (!batch?.openItem(itemId)) return { kind: 'closed' }
    const { account, model } = batch.submission
    const kept = this._continuedParts(itemId, account, place)
    if (!kept) return { kind: 'mismatch' }
    const appended = [...kept, ...parts]
    this._digests.set(appended, digestAfterAll(this._digestOf(kept), parts))
    this._unfinished.set(itemKeyOf(account, itemId), { itemId, account, model, parts: appended, keptAtMs: atMs })
    return { kind: 'kept' }
  }

  private _finish ({ batchId, result: { parts, ...rest }, ...place }: FinishCommand): BatchCommandResult {
    const batch = this._batches.get(batchId)
    if (!batch || batch.isEnded) return { kind: 'closed' }
    const { account } = batch.submission
    const kept = this._continuedParts(rest.itemId, account, place)
    if (!kept) return { kind: 'mismatch' }
    const result = { ...rest, parts: [...kept, ...parts] }
    const position = batch.list(result)
    if (position === undefined) return { kind: 'closed' }
    this._unfinished.delete(itemKeyOf(account, result.itemId))
    this._recordCompleted(batch, result, position)
    return { kind: 'listed', position }
  }

  /** The stored output that a command continues; undefined if the stored output is not exactly that one. */
  private _continuedParts (itemId: string, account: string | undefined, { afterEventId, afterDigest }: OutputPlace): OutputPart[] | undefined {
    if (afterEventId === 0) return []
    const kept = this.unfinishedParts(itemId, account)
    const isSame = afterDigest === undefined ? eventsCountOf(kept) === afterEventId : this._digestOf(kept) === afterDigest
    return isSame ? kept : undefined
  }

  private _digestOf (parts: OutputPart[]): string {
    const digest = this._digests.get(parts) ?? digestAfterAll(EMPTY_OUTPUT_DIGEST, parts)
    this._digests.set(parts, digest)
    return digest
  }

  private _end (batchId: string, account: string | undefined): BatchCommandResult {
    const batch = this._batches.get(batchId)
    if (batch?.isAccessibleBy(account) !== true) return { kind: 'unknownBatch' }
    batch.end()
    return { kind: 'ended' }
  }

  private _announce (endpointId: string, holder: string, lanesCount: number | undefined): BatchCommandResult {
    this._orders.delete(endpointId)
    this._orders.set(endpointId, { holder, lanesCount })
    const [oldest] = this._orders.keys()
    if (this._orders.size > MAX_ORDERS_COUNT && oldest !== undefined) this._orders.delete(oldest)
    this._listener.onOrder(endpointId, holder, lanesCount)
    return { kind: 'announced' }
  }

  /** Publishing an older version has no effect. */
  private _name ({ model, version }: NamedWeights): BatchCommandResult {
    const newest = Math.max(version, this._weights.get(model) ?? 0)
    this._weights.set(model, newest)
    this._listener.onNamed({ model, version: newest })
    return { kind: 'named' }
  }

  private _recordCompleted (batch: Batch, result: ItemResult, position: number): void {
    if (result.state !== ResultState.Completed) return
    this._completed.set(itemKeyOf(batch.submission.account, result.itemId), { result, model: batch.submission.model, rewardId: batch.rewardIdAt(position) })
  }

  private _removeExpired (atMs: number): void {
    this.staged.removeExpired(atMs)
    for (const [key, output] of this._unfinished) {
      if (isOutputExpired(output, atMs)) this._unfinished.delete(key)
    }
    for (const [batchId, batch] of this._batches) {
      if (!batch.isExpired(atMs)) continue
      this._batches.delete(batchId)
      this._listener.onBatchExpired?.(batch, atMs)
      for (const result of batch.results) {
        const key = itemKeyOf(batch.submission.account, result.itemId)
        if (this._completed.get(key)?.result === result) this._completed.delete(key)
      }
    }
  }
}

function isOutputExpired ({ keptAtMs }: UnfinishedOutput, atMs: number): boolean {
  return atMs - keptAtMs > UNFINISHED_RETENTION_MS
}

function isOfModel (stored: { model?: string }, model: string | undefined): boolean {
  return model === undefined || stored.model === undefined || stored.model === model
}

interface SnapshotContent {
  batches: BatchRecord[]
  staged: StagedSubmission[]
  outputs: UnfinishedOutput[]
  orders: AnnouncedOrder[]
  weights: NamedWeights[]
  supply: SupplySnapshot
}

function * piecesOf ({ batches, staged, outputs, orders, weights, supply }: SnapshotContent): Generator<SnapshotPiece> {
  for (const record of batches) yield * piecesOfBatch(record)
  for (const submission of staged) {
    for (const items of slicesOf(submission.items, PIECE_BYTES)) yield { kind: 'staged', staged: { ...submission, items } }
  }
  for (const start of chunkStarts(outputs)) yield { kind: 'unfinished', outputs: outputs.slice(start, start + PIECE_ITEMS_COUNT) }
  yield { kind: 'orders', orders }
  yield { kind: 'weights', weights }
  yield { kind: 'supply', supply }
}

function * piecesOfBatch (record: BatchRecord): Generator<SnapshotPiece> {
  const { submission: { batchId }, openItems, results, rewardIds } = record
  const isLarge = heldBytesOfItems(openItems) > PIECE_BYTES
  yield { kind: 'batch', record: { ...record, openItems: isLarge ? [] : openItems, results: [], rewardIds: [] } }
  for (const items of isLarge ? slicesOf(openItems, PIECE_BYTES) : []) yield { kind: 'items', batchId, items }
  for (const start of chunkStarts(results)) {
    const end = start + PIECE_ITEMS_COUNT
    yield { kind: 'results', batchId, fromPosition: start, results: results.slice(start, end), rewardIds: rewardIds.slice(start, end) }
  }
}

function * chunkStarts (values: readonly unknown[]): Generator<number> {
  for (let start = 0; start < values.length; start += PIECE_ITEMS_COUNT) yield start
}
