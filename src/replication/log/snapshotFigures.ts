/**
 * How large the last snapshot of each source was, and how long it took.
 */
import type { Clock } from '../../utils/clock.js'

export enum SnapshotSource {
  Taken = 'taken',
  Installed = 'installed',
  Loaded = 'loaded'
}

export interface SnapshotFigure {
  bytesCount: number
  tookMs: number
}

export class SnapshotFigures {
  private readonly _clock: Clock
  private readonly _latest = new Map<SnapshotSource, SnapshotFigure>()
  /** The leader's snapshot that is on its way. */
  private _arriving: { lastIndex: number, sinceMs: number } | undefined

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** The last snapshot of each source that there was one of. */
  get latest (): ReadonlyMap<SnapshotSource, SnapshotFigure> {
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
    return this._note(SnapshotSource.Installed, bytesCount, this._clock.nowMs() - sinceMs)
  }

  noteTaken (bytesCount: number, begunAtMs: number): number {
    return this._note(SnapshotSource.Taken, bytesCount, this._clock.nowMs() - begunAtMs)
  }

  noteLoaded (bytesCount: number, tookMs: number): void {
    this._note(SnapshotSource.Loaded, bytesCount, tookMs)
  }

  private _note (source: SnapshotSource, bytesCount: number, tookMs: number): number {
    this._latest.set(source, { bytesCount, tookMs })
    return tookMs
  }
}
