/**
 * The part of the replicated state that holds the usage to be reported. Windows
 * are closed in order and only once; once closed, the content of a window never
 * changes, whichever host reports it and however often.
 */
import { UsageCommandKind, type UsageCommand, type UsageResult } from '../protocol/usage.js'
import type { StatePart } from '../replication/replicatedState.js'
import type { UsageWindow } from './usageWindows.js'

interface UsageLedgerSnapshot {
  holder: string | undefined
  nextWindowId: number | undefined
  unreported: UsageWindow[]
}

export class UsageLedger implements StatePart<UsageCommand, UsageResult> {
  /** The host that claimed the duty last; undefined before the first claim. */
  holder: string | undefined
  /** The window to be closed next; undefined until a window has been closed. */
  nextWindowId: number | undefined
  private _unreported: UsageWindow[] = []

  /** Closed windows without a confirmed report, the oldest first. */
  get unreported (): readonly UsageWindow[] {
    return this._unreported
  }

  apply (command: UsageCommand): UsageResult {
    switch (command.kind) {
      case UsageCommandKind.Claim:
        this.holder = command.holder
        break
      case UsageCommandKind.Close:
        this._close({ windowId: command.windowId, counts: command.counts })
        break
      case UsageCommandKind.Reported:
        this._unreported = this._unreported.filter(({ windowId }) => windowId !== command.windowId)
        break
    }
    return { kind: 'usageHeld' }
  }

  snapshot (): UsageLedgerSnapshot {
    return { holder: this.holder, nextWindowId: this.nextWindowId, unreported: this._unreported }
  }

  restore (snapshot: unknown): void {
    const { holder, nextWindowId, unreported } = snapshot as UsageLedgerSnapshot
    this.holder = holder ?? undefined
    this.nextWindowId = nextWindowId ?? undefined
    this._unreported = unreported
  }

  /** Closes a window; a window that is already closed stays unchanged. */
  private _close (window: UsageWindow): void {
    if (this.nextWindowId !== undefined && window.windowId < this.nextWindowId) return
    this.nextWindowId = window.windowId + 1
    this._unreported = [...this._unreported, window]
  }
}
