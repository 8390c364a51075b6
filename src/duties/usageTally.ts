/**
 * The usage that hosts have reported to this control host, by incarnation of the
 * host. Hosts report to every control host, so the next leader has the counts too.
 */
import type { UsageReport } from '../protocol/usage.js'

interface ReportedUsage {
  settledBefore: number
  /** Counts by window, then by client account. */
  windows: Map<number, Record<string, number>>
}

export class UsageTally {
  /** Reported counts, by host, then by incarnation. */
  private readonly _reported = new Map<string, Map<string, ReportedUsage>>()
  private _discardedBefore = Number.NEGATIVE_INFINITY

  addReport (hostId: string, { incarnation, settledBefore, windows }: UsageReport): void {
    const starts = this._reported.get(hostId) ?? new Map<string, ReportedUsage>()
    const reported = starts.get(incarnation) ?? { settledBefore, windows: new Map<number, Record<string, number>>() }
    reported.settledBefore = settledBefore
    for (const { windowId, counts } of windows) {
      if (windowId >= this._discardedBefore) reported.windows.set(windowId, counts)
    }
    // Reinserted to be last: the incarnation that reported last is the running incarnation.
    starts.delete(incarnation)
    starts.set(incarnation, reported)
    this._reported.set(hostId, starts)
  }

  /** Whether none of these hosts will report further counts of a window. */
  isSettled (windowId: number, hostIds: readonly string[]): boolean {
    return hostIds.every(hostId => {
      const latest = [...this._reported.get(hostId)?.values() ?? []].at(-1)
      return latest !== undefined && latest.settledBefore > windowId
    })
  }

  /** Requests started in a window, by client account, as reported so far. */
  countsOf (windowId: number): Record<string, number> {
    const sums = new Map<string, number>()
    for (const starts of this._reported.values()) {
      for (const { windows } of starts.values()) {
        for (const [account, count] of Object.entries(windows.get(windowId) ?? {})) sums.set(account, (sums.get(account) ?? 0) + count)
      }
    }
    return Object.fromEntries(sums)
  }

  /** Drops the windows before this one, which are closed; later reports of them are ignored. */
  forgetBefore (windowId: number): void {
    this._discardedBefore = windowId
    for (const [hostId, starts] of this._reported) {
      const [latest] = [...starts.keys()].slice(-1)
      for (const [incarnation, { windows }] of starts) {
        for (const id of windows.keys()) if (id < windowId) windows.delete(id)
        if (windows.size === 0 && incarnation !== latest) starts.delete(incarnation)
      }
      if (starts.size === 0) this._reported.delete(hostId)
    }
  }
}
