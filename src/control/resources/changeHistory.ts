/**
 * The revision of the configuration and its latest changes. Resources and
 * registered hosts share this revision sequence, so one number orders everything
 * that an entry host follows. The history is bounded: a follower whose revision it
 * no longer covers needs a full listing.
 */
import type { ConfigurationChange } from '../../protocol/configuration.js'
import type { ResourceEvent } from '../../protocol/resourceCommands.js'
import { invariant } from '../../utils/errors.js'

/** Number of past changes from which a watch can resume; about two days at 1,600 changes a day. */
export const MAX_HISTORY_COUNT = 4096

export type ChangesSince =
  | { kind: 'changes', changes: ConfigurationChange[] }
  /** The history starts after the requested revision. */
  | { kind: 'compacted', currentRevision: number }

export interface ChangeHistorySnapshot {
  revision: number
  changes: ConfigurationChange[]
}

export class ChangeHistory {
  private _revision = 0
  private _changes: ConfigurationChange[] = []
  private readonly _maxCount: number

  constructor (maxCount = MAX_HISTORY_COUNT) {
    this._maxCount = maxCount
  }

  /** Revision of the latest change; 0 before the first one. */
  get revision (): number {
    return this._revision
  }

  get nextRevision (): number {
    return this._revision + 1
  }

  record (change: ConfigurationChange): void {
    invariant(change.revision === this.nextRevision, `change ${change.revision} after revision ${this._revision}`)
    this._revision = change.revision
    this._changes.push(change)
    // Trims many changes at once, so that the array is seldom copied.
    if (this._changes.length > this._maxCount * 1.25) this._changes = this._changes.slice(-this._maxCount)
  }

  /** The changes with a revision above the given one, oldest first. */
  since (revision: number): ChangesSince {
    const missingCount = this._revision - revision
    if (missingCount <= 0) return { kind: 'changes', changes: [] }
    if (missingCount > this._changes.length) return { kind: 'compacted', currentRevision: this._revision }
    return { kind: 'changes', changes: this._changes.slice(-missingCount) }
  }

  snapshot (): ChangeHistorySnapshot {
    return { revision: this._revision, changes: [...this._changes] }
  }

  restore (snapshot: ChangeHistorySnapshot): void {
    this._revision = snapshot.revision
    this._changes = [...snapshot.changes]
  }
}

export function isResourceEvent (change: ConfigurationChange): change is ResourceEvent {
  return change.kind === 'put' || change.kind === 'deleted'
}
