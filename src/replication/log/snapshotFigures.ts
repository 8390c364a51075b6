/**
 * How large the last snapshot of each source was, and how long it took.
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

export class SnapshotFigures {
  private readonly _clock: Clock
  private readonly _latest = new Map<SnapshotSource, SnapshotStat>()
  /** The leader's snapshot that is on its way. */
  private _arriving: { lastIndex: number, sinceMs: number } | undefined

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** The last snapshot of each source that there was one of. */
  get latest (): ReadonlyMap<SnapshotSource, SnapshotStat> {
    return this._latest
  }

  /** A piece of the leader's snapshot has come. */
  noteArriving (lastIndex: number): void {
    if (this._arriving?.lastIndex === lastIndex) return
    this._arriving = { lastIndex, sinceMs: this._clock.nowMs() }
  }

  /** The leader's snapshot is in force; returns how long it took since its first piece came. */
  noteInstalled (bytesCount: number): number {
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
