/**
 * Counts the requests that this host forwarded and an endpoint started, by client
 * account and time window. Reports contain totals since the start of the process,
 * so that a duplicate report changes nothing, and the next report makes up for a lost one.
 */
import type { UsageReport } from '../protocol/usage.js'
import type { Clock } from '../utils/clock.js'
import { windowOf } from './usageWindows.js'

/** Windows that are kept to be reported to a control host which this host has just started to follow. */
const RETAINED_WINDOWS_COUNT = 24

export interface UsageCounterOptions {
  clock: Clock
  windowMs: number
  /** Converts a time of this host's monotonic clock to the time of day of the fleet. */
  wallAt: (nowMs: number) => number
  /** New with every start of the process. */
  incarnation: string
}

/** A request that was received and has not ended yet. */
export interface OpenRequest {
  /** Records that an endpoint has started the request, which was sent to the endpoint at `sentAtMs`. */
  began: (sentAtMs: number) => void
  /** Records that the request has ended. */
  ended: () => void
}

interface CountedWindow {
  counts: Map<string, number>
  revision: number
}

export class UsageCounter {
  private readonly _options: UsageCounterOptions
  private readonly _windows = new Map<number, CountedWindow>()
  /** Arrival times of the open requests. */
  private readonly _openSinceMs = new Set<{ sinceMs: number }>()
  private _revision = 0

  constructor (options: UsageCounterOptions) {
    this._options = options
  }

  /** Records that a request of an account has arrived. */
  open (account: string): OpenRequest {
    const entry = { sinceMs: this._options.clock.nowMs() }
    this._openSinceMs.add(entry)
    return {
      began: sentAtMs => this._count(account, this._windowAt(sentAtMs)),
      ended: () => { this._openSinceMs.delete(entry) }
    }
  }

  /** Returns the counts that have changed since a revision, and the revision that includes these changes. */
  reportSince (revision: number): { revision: number, report: UsageReport } {
    const windows = [...this._windows].filter(([, window]) => window.revision > revision)
    return {
      revision: this._revision,
      report: {
        incarnation: this._options.incarnation,
        settledBefore: this._settledBefore(),
        windows: windows.map(([windowId, { counts }]) => ({ windowId, counts: Object.fromEntries(counts) }))
      }
    }
  }

  /** Id of the first window that may still get counts from this host. */
  private _settledBefore (): number {
    let settledBefore = this._windowAt(this._options.clock.nowMs())
    for (const { sinceMs } of this._openSinceMs) settledBefore = Math.min(settledBefore, this._windowAt(sinceMs))
    return settledBefore
  }

  private _windowAt (nowMs: number): number {
    return windowOf(this._options.wallAt(nowMs), this._options.windowMs)
  }

  private _count (account: string, windowId: number): void {
    const window = this._windows.get(windowId) ?? { counts: new Map<string, number>(), revision: 0 }
    window.counts.set(account, (window.counts.get(account) ?? 0) + 1)
    window.revision = ++this._revision
    this._windows.set(windowId, window)
    const oldest = Math.min(...this._windows.keys())
    if (this._windows.size > RETAINED_WINDOWS_COUNT) this._windows.delete(oldest)
  }
}
