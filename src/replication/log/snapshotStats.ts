/**
 * Size and duration of the latest snapshot from each source.
 */
import type { Clock } from '../../utils/clock.js'

export enum SnapshotSource {
  Taken = 'taken',
  Installed = 'installed',
  Loaded = 'loaded'
}

export interface SnapshotStat {
  bytesCount: number
  tookMs: number
}

export class SnapshotStats {
  private readonly _clock: Clock
  private readonly _latest = new Map<SnapshotSource, SnapshotStat>()
  /** The leader's snapshot that is being received. */
  private _arriving: { lastIndex: number, sinceMs: number } | undefined

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Statistics of the latest snapshot by source; sources without a snapshot are absent. */
  get latest (): ReadonlyMap<SnapshotSource, SnapshotStat> {
    return this._latest
  }

  /** Records the arrival of a chunk of the leader's snapshot. */
  recordChunkArrived (lastIndex: number): void {
    if (this._arriving?.lastIndex === lastIndex) return
    this._arriving = { lastIndex, sinceMs: this._clock.nowMs() }
  }

  /** Records that the leader's snapshot is installed; returns the milliseconds since its first chunk arrived. */
  recordInstalled (bytesCount: number): number {
    const sinceMs = this._arriving?.sinceMs ?? this._clock.nowMs()
    this._arriving = undefined
    return this._record(SnapshotSource.Installed, bytesCount, this._clock.nowMs() - sinceMs)
  }

  recordTaken (bytesCount: number, startedAtMs: number): number {
    return this._record(SnapshotSource.Taken, bytesCount, this._clock.nowMs() - startedAtMs)
  }

  recordLoaded (bytesCount: number, tookMs: number): void {
    this._record(SnapshotSource.Loaded, bytesCount, tookMs)
  }

  private _record (source: SnapshotSource, bytesCount: number, tookMs: number): number {
    this._latest.set(source, { bytesCount, tookMs })
    return tookMs
  }
}
