/**
 * Items that stand in several open batches of an account at the same time, as when the
 * end of a batch stays unanswered and its submitter sends what was not complete again.
 * Such an item runs for the latest of these batches only; the others wait, and then
 * take over its result, or its output if the latest batch has ended without one.
 */
import type { BatchItem } from '../protocol/batches.js'
import type { Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import type { Scope } from '../utils/scope.js'
import type { Batch } from './batch.js'
import { BatchEvent } from './batchEvents.js'

export interface SharedItemsOptions {
  clock: Clock
  logger: Logger
}

/** The right of one batch to run an item. */
export interface ItemTurn {
  /** @param scope scope of the run; closed when a later batch takes its turn */
  begin: (scope: Scope) => void
  /** The run has ended, for whatever reason. */
  end: () => void
}

interface Claim {
  batch: Batch
  item: BatchItem
  /** Starts the item again for its batch. */
  resume: () => void
  scope?: Scope | undefined
}

export class SharedItems {
  private readonly _options: SharedItemsOptions
  /** The batch that runs an item, by item key. */
  private readonly _running = new Map<string, Claim>()
  /** Batches that wait for the one that runs an item, in the order in which they gave way. */
  private readonly _waiting = new Map<string, Claim[]>()

  constructor (options: SharedItemsOptions) {
    this._options = options
  }

  /** Gives an item to a batch; a run for an earlier batch ends before this returns. */
  take (key: string, claim: Claim): ItemTurn {
    const earlier = this._running.get(key)
    this._running.set(key, claim)
    if (earlier) this._giveWay(key, earlier, claim)
    return {
      begin: scope => { claim.scope = scope },
      end: () => this._end(key, claim)
    }
  }

  private _giveWay (key: string, earlier: Claim, later: Claim): void {
    this._waiting.set(key, [...this._waiting.get(key) ?? [], earlier])
    this._options.logger.event(BatchEvent.ItemShared, { batchId: earlier.batch.batchId, itemId: earlier.item.itemId, laterBatchId: later.batch.batchId })
    earlier.scope?.close('a later batch runs the item')
  }

  private _end (key: string, claim: Claim): void {
    if (this._running.get(key) !== claim) return
    this._running.delete(key)
    const next = this._takeWaiting(key)
    if (!next) return
    // Until then it counts as running, so that a batch that comes meanwhile finds it.
    this._running.set(key, next)
    // The closing scope of the ended run passes on its last events first.
    const { clock } = this._options
    clock.callAt(clock.nowMs(), () => this._resume(key, next))
  }

  private _resume (key: string, claim: Claim): void {
    if (this._running.get(key) !== claim) return
    this._running.delete(key)
    claim.resume()
  }

  /** The latest of the waiting batches that still lacks a result. */
  private _takeWaiting (key: string): Claim | undefined {
    const waiting = (this._waiting.get(key) ?? []).filter(({ batch, item }) => batch.openItem(item.itemId))
    const next = waiting.pop()
    if (waiting.length > 0) this._waiting.set(key, waiting)
    else this._waiting.delete(key)
    return next && { ...next, scope: undefined }
  }
}
