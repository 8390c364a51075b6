/**
 * The number of requests that this host had at an endpoint at a past instant. A
 * load report describes the instant at which it was made, so it is corrected by
 * the requests that this host has started and finished since.
 */

/** The oldest entries are dropped above this count, which makes `countAt` inexact for earlier instants. */
const MAX_ENTRIES = 1024

interface HistoryEntry {
  atMs: number
  count: number
}

export class OwnRequestHistory {
  private _count = 0
  private _entries: HistoryEntry[] = [{ atMs: -Infinity, count: 0 }]

  get count (): number {
    return this._count
  }

  started (nowMs: number): void {
    this._set(nowMs, this._count + 1)
  }

  ended (nowMs: number): void {
    this._set(nowMs, this._count - 1)
  }

  /** @param atMs not before the argument of the last `forgetBefore` call */
  countAt (atMs: number): number {
    for (let index = this._entries.length - 1; index >= 0; index--) {
      const entry = this._entries[index] as HistoryEntry
      if (entry.atMs <= atMs) return entry.count
    }
    return this._entries[0]?.count ?? 0
  }

  forgetBefore (atMs: number): void {
    const firstNeededIndex = this._entries.findLastIndex(entry => entry.atMs <= atMs)
    if (firstNeededIndex > 0) this._entries.splice(0, firstNeededIndex)
  }

  private _set (nowMs: number, count: number): void {
    this._count = count
    this._entries.push({ atMs: nowMs, count })
    if (this._entries.length > MAX_ENTRIES) this._entries.shift()
  }
}
