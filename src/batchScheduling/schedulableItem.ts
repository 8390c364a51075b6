/**
 * What the scheduling of items needs to know of an item and its batch. Scheduling
 * neither reads the log nor runs items; the code that runs an item implements this
 * interface.
 */
import type { BatchItem, SubmissionHead } from '../protocol/batches.js'
import type { Engine } from './engineFleet.js'
import type { WaitingItem } from './itemOrder.js'
import type { Move } from './movePolicy.js'

/** Times that all items of a batch share, by this host's monotonic clock. */
export interface BatchTimes {
  /** When the results are due; once that time has passed, the last time at which the results are of use. */
  dueAtMs: number
  /** From this time on, an item may be abandoned. */
  abandonAtMs: number
  /** When the longest open item is expected to end if it starts at once. */
  longestEndsAtMs: number
}

export interface SchedulableBatch {
  readonly batchId: string
  readonly submission: SubmissionHead
  /** Number of groups of its items; undefined if it was stored without it. */
  readonly groupsCount: number | undefined
}

/** An item that is not listed yet: waiting for a slot, running or being scored. */
export interface SchedulableItem extends WaitingItem {
  readonly batch: SchedulableBatch
  readonly item: BatchItem
  readonly times: BatchTimes
  /** The engine on which the item is running; undefined for none. */
  readonly engine: Engine | undefined
  /** Number of events that were generated so far. */
  readonly generatedCount: number
  /** Whether all its output exists, so that the item needs no engine any more. */
  readonly isGenerated: boolean
  /** Whether the item may not use all engines that other items of its batch may use. */
  readonly isRestricted: boolean
  /** Whether the item has failed at an engine, which is then only used if no other engine fits. */
  avoids: (engine: Engine) => boolean
  /** Ends the run at the present engine, so that the item continues at another engine. */
  move: (move: Move) => void
  /** Ends a run that has not begun if its engine was found unreachable since the run was sent there. */
  leaveUnreachable: () => void
}
