/**
 * Puts the output of an item into the replicated state as it grows, without
 * holding the run up, so that a later leader goes on behind it.
 */
import { BatchCommandKind, type BatchCommandResult } from '../protocol/batches.js'
import type { Replica } from '../replication/log/replica.js'
import type { Clock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { ItemOutput } from './itemOutput.js'

/** So many events are put into the replicated state together: under a second of a run, which a new leader would have to repeat. */
const KEEP_EVENTS_COUNT = 16
/** Of a run that has made this many already, fewer at a time: a step ends with its longest samples, and waits for what a dead leader lost of them, 0.1 s on average instead of 0.3 s at 40 ms an event (worked out). */
const LONG_RUN_EVENTS_COUNT = 64
const KEEP_LONG_EVENTS_COUNT = 6
const COMMIT_TIMEOUT_MS = 2_000

export interface OutputKeeperParts {
  clock: Clock
  replica: Replica
  batchId: string
  itemId: string
  output: ItemOutput
  /** Told when events were not kept, or may not have been. */
  onNotKept: (afterEventId: number, outcome: string) => void
}

export class OutputKeeper {
  private readonly _parts: OutputKeeperParts
  private _keeping: Promise<void> | undefined

  constructor (parts: OutputKeeperParts) {
    this._parts = parts
  }

  /** Events were added: keeps them once there are enough. */
  outputGrew (scope: Scope): void {
    if (this._keeping || this._parts.output.freshCount < this._eventsAtATime()) return
    this._keeping = this._keepFresh(scope).catch(error => {
      if (!(error instanceof ScopeClosedError)) throw error
    }).finally(() => { this._keeping = undefined })
  }

  /** Waits for what is being kept. */
  async settled (scope: Scope): Promise<void> {
    if (this._keeping) await scope.race(this._keeping)
  }

  /** Keeps all that there is. */
  async keepAll (progress: Progress): Promise<void> {
    if (this._keeping) await progress.race(this._keeping)
    if (this._parts.output.freshCount > 0) await this._keepFresh(progress.scope)
  }

  private _eventsAtATime (): number {
    return this._parts.output.lastEventId < LONG_RUN_EVENTS_COUNT ? KEEP_EVENTS_COUNT : KEEP_LONG_EVENTS_COUNT
  }

  private async _keepFresh (scope: Scope): Promise<void> {
    const { clock, replica, output, batchId, itemId, onNotKept } = this._parts
    const { keptCount: afterEventId, lastEventId, generation } = output
    const command = { kind: BatchCommandKind.Progress, batchId, itemId, afterEventId, parts: output.freshParts() }
    const outcome = await replica.propose(command, new Progress(clock, scope, clock.nowMs() + COMMIT_TIMEOUT_MS))
    const answer = outcome.kind === 'committed' ? (outcome.result as BatchCommandResult).kind : outcome.kind
    if (output.generation !== generation) return
    if (answer === 'kept') return output.markKept(lastEventId)
    onNotKept(afterEventId, answer)
    // Whether it was kept is not known, or it was not: the next part brings everything.
    output.distrustKept()
  }
}
