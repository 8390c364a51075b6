/**
 * Counts the requests that began, on the host that passed them on, by client
 * account and window. What it tells are sums since its start, so that a report
 * which comes twice changes nothing and one that is lost is made up by the next.
 */
import type { UsageReport } from '../protocol/usage.js'
import type { Clock } from '../utils/clock.js'
import { windowOf } from './usageWindows.js'

/** Windows that are told again to a control host which has just begun to hear this host. */
const RETAINED_WINDOWS_COUNT = 24

export interface UsageCounterOptions {
  clock: Clock
  windowMs: number
  /** True time at an instant of this host's monotonic clock. */
  wallAt: (nowMs: number) => number
  /** New with every start of the process. */
  incarnation: string
}

/** A request that is not answered yet. */
export interface OpenRequest {
  /** An endpoint has begun it, after it was sent there at this instant. */
  began: (sentAtMs: number) => void
  /** Nothing comes of it any more. */
  ended: () => void
}

interface CountedWindow {
  counts: Map<string, number>
  revision: number
}

export class UsageCounter {
  private readonly _options: UsageCounterOptions
  private readonly _windows = new Map<number, CountedWindow>()
  /** Instants at which requests came that are not answered. */
  private readonly _openSinceMs = new Set<{ sinceMs: number }>()
  private _revision = 0

  constructor (options: UsageCounterOptions) {
    this._options = options
  }

  /** A request of an account has come. */
  open (account: string): OpenRequest {
    const entry = { sinceMs: this._options.clock.nowMs() }
    this._openSinceMs.add(entry)
    return {
      began: sentAtMs => this._count(account, this._windowAt(sentAtMs)),
      ended: () => { this._openSinceMs.delete(entry) }
    }
  }

  /** What has changed since a revision, and the revision that this brings a reader to. */
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

  /** No window before this one gets any further counts here. */
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
