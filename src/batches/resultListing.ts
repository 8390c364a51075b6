/**
 * Writes the result of an item to the replicated state, and with it the events of its
 * output that are not there yet.
 */
import { BatchCommandKind, ResultState, type BatchCommandResult, type ItemResult } from '../protocol/batches.js'
import type { Replica } from '../replication/log/replica.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { Batch } from './batch.js'
import type { ItemOutput } from './itemOutput.js'
import { ITEM_COMMIT_TIMEOUT_MS, type OutputReplicator } from './outputReplicator.js'

const RETRY_PAUSE_MS = 30

export interface ResultListingOptions {
  clock: Clock
  replica: Replica
  batch: Batch
  output: ItemOutput
  outputReplicator: OutputReplicator
  /** Called with the answer to each proposal. */
  onAnswer: (result: ItemResult, answer: string) => void
}

export class ResultListing {
  private readonly _options: ResultListingOptions

  constructor (options: ResultListingOptions) {
    this._options = options
  }

  /** Proposes a result until it is listed, or the batch has ended; returns whether this proposal listed it. */
  async list (result: ItemResult, scope: Scope): Promise<boolean> {
    const { clock, batch, output, outputReplicator, onAnswer } = this._options
    while (!batch.isListed(result.itemId)) {
      await outputReplicator.whenIdle(scope)
      const answer = await this._propose(result, scope)
      onAnswer(result, answer)
      if (answer === 'listed') return true
      if (answer === 'closed') return false
      output.resetReplicated()
      await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
    }
    return false
  }

  private async _propose (result: ItemResult, scope: Scope): Promise<string> {
    const { clock, replica, batch: { batchId } } = this._options
    const command = { kind: BatchCommandKind.Finish, batchId, ...this._commandFields(result) }
    const outcome = await replica.propose(command, new Progress(clock, scope, clock.nowMs() + ITEM_COMMIT_TIMEOUT_MS))
    return outcome.kind === 'committed' ? (outcome.result as BatchCommandResult).kind : outcome.kind
  }

  private _commandFields (result: ItemResult): { afterEventId: number, afterDigest?: string, result: ItemResult } {
    const { output } = this._options
    const isOwnOutput = result.state === ResultState.Completed && result.parts.length === 0
    if (!isOwnOutput) return { afterEventId: 0, result }
    return { afterEventId: output.replicatedCount, afterDigest: output.replicatedDigest, result: { ...result, parts: output.unreplicatedParts() } }
  }
}
