/**
 * Writes the output of an item to the replicated state as it grows, without blocking
 * the run, so that a later leader can continue from it.
 */
import { BatchCommandKind, type BatchCommandResult } from '../protocol/batches.js'
import type { Replica } from '../replication/log/replica.js'
import type { Clock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { ItemOutput } from './itemOutput.js'
import { eventsPerPartCount } from './outputBuffer.js'

/**
 * Longest wait for the commit of an item's entry. An entry stays in the log of a leader
 * for as long as it leads, so that proposing it again would only add to what is to be
 * committed; the item ends with the leadership.
 */
export const ITEM_COMMIT_TIMEOUT_MS = 600_000

export interface OutputReplicatorOptions {
  clock: Clock
  replica: Replica
  batchId: string
  itemId: string
  output: ItemOutput
  /** Called when events were not written, or when the outcome of their write is unknown; with the last event id before these events. */
  onNotReplicated: (afterEventId: number, outcome: string) => void
}

export class OutputReplicator {
  private readonly _options: OutputReplicatorOptions
  private _replicating: Promise<void> | undefined

  constructor (options: OutputReplicatorOptions) {
    this._options = options
  }

  /** Called after parts were added; starts a write once they are worth one. The few last events of a run are written with its result instead. */
  replicateIfEnough (scope: Scope): void {
    const { unreplicatedCount, lastEventId } = this._options.output
    if (this._replicating || unreplicatedCount < eventsPerPartCount(lastEventId)) return
    this._replicating = this._write(scope).catch(error => {
      if (!(error instanceof ScopeClosedError)) throw error
    }).finally(() => { this._replicating = undefined })
  }

  /** Waits for a write in progress. */
  async whenIdle (scope: Scope): Promise<void> {
    if (this._replicating) await scope.race(this._replicating)
  }

  /** Writes all events that are not in the replicated state yet. */
  async replicateAll (progress: Progress): Promise<void> {
    if (this._replicating) await progress.race(this._replicating)
    if (this._options.output.unreplicatedCount > 0) await this._write(progress.scope)
  }

  private async _write (scope: Scope): Promise<void> {
    const { clock, replica, output, batchId, itemId, onNotReplicated } = this._options
    const { replicatedCount: afterEventId, replicatedDigest: afterDigest, lastEventId, generation } = output
    const command = { kind: BatchCommandKind.Progress, batchId, itemId, afterEventId, afterDigest, parts: output.unreplicatedParts() }
    const outcome = await replica.propose(command, new Progress(clock, scope, clock.nowMs() + ITEM_COMMIT_TIMEOUT_MS))
    const answer = outcome.kind === 'committed' ? (outcome.result as BatchCommandResult).kind : outcome.kind
    if (output.generation !== generation) return
    if (answer === 'kept') return output.markReplicated(lastEventId)
    onNotReplicated(afterEventId, answer)
    // The write failed or its outcome is unknown, so the next write sends all events again.
    output.resetReplicated()
  }
}
