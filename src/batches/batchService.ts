/**
 * The calls of the batch store for entry hosts. The leader accepts changes. Every
 * replica answers reads after the leader has confirmed the index up to which the
 * log was committed when the read began. Results therefore cross data centres only once,
 * by replication, however often they are read.
 */
import { BatchCommandKind, type BatchCommandResult, type BatchSubmission, type ItemResult } from '../protocol/batches.js'
import type { NamedWeights } from '../protocol/routingCommands.js'
import { ReadMode, type Replica } from '../replication/log/replica.js'
import {
  batchReadIndexMethod, endBatchMethod, nameWeightsMethod, readItemMethod, readResultsMethod, submitBatchMethod, submitPartMethod,
  type BatchReadIndexReply, type EndBatchReply, type NameWeightsReply, type ReadItemReply, type ReadResultsReply, type SubmitBatchReply, type SubmitPartReply
} from '../transport/batchMethods.js'
import type { RpcHandlers } from '../transport/rpcPeer.js'
import type { Clock } from '../utils/clock.js'
import type { LogFields, Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { Batch } from './batch.js'
import type { BatchReference, NotLeader } from './batchClient.js'
import { BatchEvent } from './batchEvents.js'
import { UnknownBatchReporter } from './batchReports.js'
import type { BatchState } from './batchState.js'
import { textLengthBytes } from './outputParts.js'
import type { StagedSubmission, SubmissionPart } from './stagedSubmissions.js'
import { StoreCapacity } from './storeCapacity.js'

/** Limit for the text bytes of one page of results, so that the page with all its fields stays under a megabyte. */
const MAX_RESULT_BYTES = 900_000
/** Upper bound for the time that a handler waits on behalf of a caller. */
const MAX_WAIT_MS = 10_000
/** A read that waits for results ends this long before the deadline of its caller. */
const WAIT_MARGIN_MS = 100

export interface BatchServiceOptions {
  replica: Replica
  state: BatchState
  clock: Clock
  logger: Logger
  scope: Scope
  /** Time for which results can be read, counted from the acceptance of their batch. */
  keepMs: number
  /** Limit for the estimated memory of the state; without it, no submission is refused for lack of space. */
  stateCapacityBytes?: number | undefined
  /** Whether parts of submissions may give way to others; they may not if undefined. */
  mayDropParts?: () => boolean
}

export class BatchService {
  private readonly _options: BatchServiceOptions
  private readonly _capacity: StoreCapacity
  private readonly _unknownBatches: UnknownBatchReporter

  constructor (options: BatchServiceOptions) {
    this._options = options
    this._capacity = new StoreCapacity(options.state, options.clock, options.stateCapacityBytes)
    this._unknownBatches = new UnknownBatchReporter(options.replica, options.logger)
  }

  serve (handlers: RpcHandlers): void {
    handlers.on(submitBatchMethod, ({ submission, stagedItemsCount }, remainingMs) => this._submit(submission, stagedItemsCount, this._progress(remainingMs)))
    handlers.on(submitPartMethod, ({ totalBytes, ...part }, remainingMs) => this._submitPart(part, totalBytes, this._progress(remainingMs)))
    handlers.on(readResultsMethod, (request, remainingMs) => (
      this._readResults(request, request.fromPosition, request.waitMs, this._progress(remainingMs))
    ))
    handlers.on(readItemMethod, (request, remainingMs) => this._readItem(request, request.itemId, this._progress(remainingMs)))
    handlers.on(batchReadIndexMethod, (_request, remainingMs) => this._readIndex(this._progress(remainingMs)))
    handlers.on(nameWeightsMethod, (weights, remainingMs) => this._nameWeights(weights, this._progress(remainingMs)))
    handlers.on(endBatchMethod, (request, remainingMs) => this._end(request, this._progress(remainingMs)))
  }

  private async _submit (submission: BatchSubmission, stagedItemsCount: number | undefined, progress: Progress): Promise<SubmitBatchReply> {
    const { replica, logger, keepMs, state } = this._options
    if (!replica.leadership) return this._notLeader()
    const { batchId, step, model, minVersion } = submission
    const staged = stagedItemsCount === undefined ? [] : state.staged.get(submission)?.items ?? []
    const reserve = (): string | undefined => stagedItemsCount === undefined ? this._capacity.reserve(submission) : this._capacity.reserveOutput(submission, staged)
    const fullReason = await this._reserved(reserve, batchId, progress)
    if (fullReason !== undefined) return this._refuseAsFull(submission, fullReason)
    const command = { kind: BatchCommandKind.Submit, submission, keepMs, ...(stagedItemsCount === undefined ? {} : { stagedItemsCount }) }
    const outcome = await replica.propose(command, progress)
    if (outcome.kind !== 'unknown') this._capacity.release(batchId)
    if (outcome.kind === 'committed') return this._acceptedUnless(outcome.result as BatchCommandResult, submission, { index: outcome.index, itemsCount: staged.length + submission.items.length, stagedItemsCount: stagedItemsCount ?? 0 })
    logger.event(BatchEvent.BatchRefused, { batchId, step, model, minVersion, outcome: outcome.kind, reason: outcome.reason })
    return outcome.kind === 'notCommitted' ? { kind: 'refused', reason: outcome.reason } : outcome
  }

  private _acceptedUnless ({ kind }: BatchCommandResult, { batchId, step, model, minVersion }: BatchSubmission, fields: LogFields): SubmitBatchReply {
    if (kind === 'foreign') return { kind: 'refused', reason: 'the batch id is already in use', isFinal: true }
    if (kind === 'incomplete') return { kind: 'refused', reason: 'parts of the submission are missing', isFinal: true }
    this._options.logger.event(BatchEvent.BatchAccepted, { batchId, step, model, minVersion, ...fields })
    return { kind: 'accepted' }
  }

  private async _submitPart (part: SubmissionPart, totalBytes: number, progress: Progress): Promise<SubmitPartReply> {
    const { replica } = this._options
    if (!replica.leadership) return this._notLeader()
    if (this._isHeld(part)) return { kind: 'staged' }
    const fullReason = await this._reserved(() => this._capacity.reserveParts(part, totalBytes), part.batchId, progress)
    if (fullReason !== undefined) return this._refuseAsFull(part, fullReason)
    if (part.items.length === 0) return { kind: 'staged' }
    if (!(await replica.whenLogHasSpareRoom(progress))) return { kind: 'refused', reason: 'the log has no room until the next snapshot is written' }
    const outcome = await replica.propose({ kind: BatchCommandKind.SubmitPart, ...part }, progress)
    switch (outcome.kind) {
      case 'committed':
        return (outcome.result as BatchCommandResult).kind === 'staged' ? { kind: 'staged' } : { kind: 'incomplete' }
      case 'notCommitted':
        return { kind: 'refused', reason: outcome.reason }
      case 'unknown':
        return outcome
    }
  }

  /** Reserves capacity, with parts that stand still giving way; returns the reason if there is none. */
  private async _reserved (reserve: () => string | undefined, batchId: string, progress: Progress): Promise<string | undefined> {
    for (;;) {
      const fullReason = reserve()
      const still = fullReason === undefined ? undefined : this._capacity.longestStillParts(batchId)
      if (!still || !await this._dropParts(still, progress)) return fullReason
    }
  }

  private async _dropParts ({ batchId, account, grownAtMs, items }: StagedSubmission, progress: Progress): Promise<boolean> {
    const { replica, logger, mayDropParts } = this._options
    if (mayDropParts?.() !== true) return false
    const outcome = await replica.propose({ kind: BatchCommandKind.DropParts, batchId, account, grownAtMs }, progress)
    if (outcome.kind !== 'committed') return false
    this._capacity.release(batchId)
    logger.event(BatchEvent.PartsDropped, { batchId, itemsCount: items.length, index: outcome.index })
    return true
  }

  /** Whether the items of a part were taken before, with it or with the whole batch. */
  private _isHeld (part: SubmissionPart): boolean {
    const { state } = this._options
    const isAccepted = state.get(part.batchId)?.isAccessibleBy(part.account) === true
    return isAccepted || (part.items.length > 0 && state.staged.holds(part))
  }

  private _refuseAsFull ({ batchId }: { batchId: string }, reason: string): { kind: 'refused', reason: string, isFinal: true } {
    this._options.logger.event(BatchEvent.BatchRefused, { batchId, outcome: 'full', reason })
    return { kind: 'refused', reason, isFinal: true }
  }

  private async _readResults (reference: BatchReference, fromPosition: number, waitMs: number, progress: Progress): Promise<ReadResultsReply> {
    const { clock, replica } = this._options
    const waiting = progress.withDeadline(Math.min(clock.nowMs() + waitMs, progress.deadlineMs - WAIT_MARGIN_MS))
    const failure = await this._confirmCurrent(progress)
    if (failure) return failure
    for (;;) {
      const batch = this._batchOf(reference)
      if (!batch) return this._unknownBatch(reference.batchId, 'readResults')
      // The list only grows, so the state cannot become stale after the confirmation.
      if (batch.results.length > fromPosition || batch.isEnded || waiting.isPastDeadline()) return pageOf(batch, fromPosition)
      await replica.applied.wait(progress.scope, waiting)
    }
  }

  private async _readItem (reference: BatchReference, itemId: string, progress: Progress): Promise<ReadItemReply> {
    const failure = await this._confirmCurrent(progress)
    if (failure) return failure
    const batch = this._batchOf(reference)
    if (!batch) this._unknownBatches.report(reference.batchId, 'readItem')
    const item = batch?.openItem(itemId)
    return item ? { kind: 'body', body: item.body } : { kind: 'absent' }
  }

  private async _end ({ batchId, account }: BatchReference, progress: Progress): Promise<EndBatchReply> {
    const { replica, logger } = this._options
    if (!replica.leadership) return this._notLeader()
    const outcome = await replica.propose({ kind: BatchCommandKind.End, batchId, account }, progress)
    if (outcome.kind !== 'committed') return { kind: 'unavailable', reason: outcome.reason }
    if ((outcome.result as BatchCommandResult).kind !== 'ended') return this._unknownBatch(batchId, 'end')
    logger.event(BatchEvent.BatchEnded, { batchId, index: outcome.index })
    return { kind: 'ended' }
  }

  private async _nameWeights (weights: NamedWeights, progress: Progress): Promise<NameWeightsReply> {
    const { replica } = this._options
    if (!replica.leadership) return this._notLeader()
    const outcome = await replica.propose({ kind: BatchCommandKind.NameWeights, ...weights }, progress)
    return outcome.kind === 'committed' ? { kind: 'committed' } : { kind: 'unavailable', reason: outcome.reason }
  }

  private async _readIndex (progress: Progress): Promise<BatchReadIndexReply> {
    const read = await this._options.replica.read(ReadMode.Lease, progress)
    switch (read.kind) {
      case 'confirmed':
        return { kind: 'confirmed', index: this._options.replica.appliedIndex }
      case 'notLeader':
        return this._notLeader()
      case 'unavailable':
        return read
    }
  }

  /** Waits until the state of this replica is current; returns the reply to send when that fails. */
  private async _confirmCurrent (progress: Progress): Promise<NotLeader | { kind: 'unavailable', reason: string } | undefined> {
    const { replica } = this._options
    const reply = replica.leadership ? await this._readIndex(progress) : await this._requestReadIndex(progress)
    if (reply.kind !== 'confirmed') return reply
    const applied = await progress.race(replica.whenApplied(reply.index))
    return applied.kind === 'done' ? undefined : { kind: 'unavailable', reason: 'this replica did not catch up with the leader in time' }
  }

  private async _requestReadIndex (progress: Progress): Promise<BatchReadIndexReply> {
    const { replica } = this._options
    const { leader } = replica.core
    if (!leader) return this._notLeader()
    const outcome = await replica.links.to(leader).call(batchReadIndexMethod, {}, progress)
    return outcome.kind === 'replied' ? outcome.body : { kind: 'unavailable', reason: `the leader did not answer: ${outcome.reason}` }
  }

  /** The referenced batch; undefined when it does not exist or the account may not access it. */
  private _batchOf ({ batchId, account }: BatchReference): Batch | undefined {
    const batch = this._options.state.get(batchId)
    return batch?.isAccessibleBy(account) === true ? batch : undefined
  }

  private _unknownBatch (batchId: string, call: string): { kind: 'unknownBatch' } {
    this._unknownBatches.report(batchId, call)
    return { kind: 'unknownBatch' }
  }

  private _notLeader (): NotLeader {
    return { kind: 'notLeader', leaderAddress: this._options.replica.core.leader?.peerAddress }
  }

  private _progress (remainingMs: number): Progress {
    const { clock, scope } = this._options
    return new Progress(clock, scope, clock.nowMs() + Math.min(remainingMs, MAX_WAIT_MS))
  }
}

/** A page of results from a position on, with at least one result if any result follows. */
function pageOf (batch: Batch, fromPosition: number): ReadResultsReply {
  const results: ItemResult[] = []
  let lengthBytes = 0
  for (const result of batch.results.slice(fromPosition)) {
    lengthBytes += textLengthBytes(result.parts)
    if (results.length > 0 && lengthBytes > MAX_RESULT_BYTES) break
    results.push(result)
  }
  return { kind: 'results', totalCount: batch.submission.itemsCount, nextPosition: fromPosition + results.length, results, isEnded: batch.isEnded }
}
