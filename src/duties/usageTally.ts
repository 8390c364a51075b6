/**
 * The use that hosts have told this control host of, by their starts. Every
 * control host is told the same, so whoever leads next knows it too.
 */
import type { UsageReport } from '../protocol/usage.js'

interface ReportedUsage {
  settledBefore: number
  /** By window, then by client account. */
  windows: Map<number, Record<string, number>>
}

export class UsageTally {
  /** By host, then by the start of its process. */
  private readonly _reported = new Map<string, Map<string, ReportedUsage>>()
  private _discardedBefore = Number.NEGATIVE_INFINITY

  learn (hostId: string, { incarnation, settledBefore, windows }: UsageReport): void {
    const starts = this._reported.get(hostId) ?? new Map<string, ReportedUsage>()
    const reported = starts.get(incarnation) ?? { settledBefore, windows: new Map<number, Record<string, number>>() }
    reported.settledBefore = settledBefore
    for (const { windowId, counts } of windows) {
      if (windowId >= this._discardedBefore) reported.windows.set(windowId, counts)
    }
    // The start that was heard last is the one that runs.
    starts.delete(incarnation)
    starts.set(incarnation, reported)
    this._reported.set(hostId, starts)
  }

  /** Whether none of these hosts will tell more of a window. */
  isSettled (windowId: number, hostIds: readonly string[]): boolean {
    return hostIds.every(hostId => {
      const latest = [...this._reported.get(hostId)?.values() ?? []].at(-1)
      return latest !== undefined && latest.settledBefore > windowId
    })
  }

  /** Requests that began in a window, by client account, as far as hosts have told. */
  countsOf (windowId: number): Record<string, number> {
    const sums = new Map<string, number>()
    for (const starts of this._reported.values()) {
      for (const { windows } of starts.values()) {
        for (const [account, count] of Object.entries(windows.get(windowId) ?? {})) sums.set(account, (sums.get(account) ?? 0) + count)
      }
    }
    return Object.fromEntries(sums)
  }

  /** Windows before this one are closed: what is told of them comes late. */
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
