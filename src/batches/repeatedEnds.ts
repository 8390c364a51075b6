/**
 * Ends of batches that the store has not confirmed in time. A submitter that has gone
 * on may not ask again, and the batch would go on to occupy engines for results that
 * nobody reads, so this host repeats the end until the store has it. An end may be
 * repeated by any number of hosts.
 */
import type { Clock } from '../utils/clock.js'
import { sleepUntil } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { Supervisor } from '../utils/supervisor.js'
import type { BatchClient, BatchReference } from './batchClient.js'
import { BatchEvent } from './batchEvents.js'

const ATTEMPT_TIMEOUT_MS = 1_500
const PAUSE_MS = 300
/** A store that is down for longer has lost its quorum for good; open batches expire by themselves. */
const GIVE_UP_AFTER_MS = 60_000
/** Ends that are repeated at the same time: many times the batches that trainers have open. */
const MAX_ENDS_COUNT = 256

export interface RepeatedEndsOptions {
  client: Pick<BatchClient, 'end'>
  clock: Clock
  logger: Logger
  supervisor: Supervisor
}

export class RepeatedEnds {
  private readonly _options: RepeatedEndsOptions
  private readonly _batchIds = new Set<string>()

  constructor (options: RepeatedEndsOptions) {
    this._options = options
  }

  /** Repeats an end from now on, unless that is done already. */
  repeat (batch: BatchReference): void {
    const key = `${batch.account ?? ''} ${batch.batchId}`
    if (this._batchIds.has(key) || this._batchIds.size >= MAX_ENDS_COUNT) return
    this._batchIds.add(key)
    const { supervisor } = this._options
    const scope = supervisor.spawn(`end of batch ${batch.batchId}`, scope => this._repeatUntilConfirmed(batch, scope))
    scope.onClose(() => this._batchIds.delete(key))
  }

  private async _repeatUntilConfirmed (batch: BatchReference, scope: Scope): Promise<void> {
    const { client, clock, logger } = this._options
    const startedAtMs = clock.nowMs()
    let outcome = 'unavailable'
    while (outcome === 'unavailable' && clock.nowMs() < startedAtMs + GIVE_UP_AFTER_MS) {
      await sleepUntil(clock, scope, clock.nowMs() + PAUSE_MS)
      const reply = await client.end(batch, new Progress(clock, scope, clock.nowMs() + ATTEMPT_TIMEOUT_MS))
      outcome = reply.kind
    }
    logger.event(BatchEvent.EndRepeated, { batchId: batch.batchId, outcome, tookMs: Math.round(clock.nowMs() - startedAtMs) })
  }
}
