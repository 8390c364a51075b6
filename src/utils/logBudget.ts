/**
 * Limits what a process writes to its log, in lines per second and in bytes that
 * the log's reader has not consumed yet, so that neither a burst of requests nor a
 * stalled reader makes a request fail. Dropped lines are counted.
 */
import type { Clock } from './clock.js'
import { LogLevel } from './eventCatalogue.js'

export enum DropReason {
  /** The rate limit was exceeded. */
  OverBudget = 'over_budget',
  /** The reader of the log has stopped or is too slow. */
  ReaderStalled = 'reader_stalled'
}

export interface LogBudgetOptions {
  clock: Clock
  /** Bytes that were written and that the reader has not consumed yet. */
  pendingBytes: () => number
  linesPerSecond: number
  /** Maximum number of lines in a burst. */
  burstCount: number
  /** Part of the burst that is reserved for warnings and errors. */
  reservedCount: number
  maxPendingBytes: number
  onDropped: (reason: DropReason) => void
}

export type DroppedCounts = Record<'overBudgetCount' | 'readerStalledCount', number>

/** Minimum time between two reports of dropped lines. */
const REPORT_INTERVAL_MS = 1_000
const MS_PER_S = 1_000

export class LogBudget {
  private readonly _options: LogBudgetOptions
  private _availableCount: number
  private _refilledAtMs: number
  private _reportedAtMs = Number.NEGATIVE_INFINITY
  private _dropped: DroppedCounts = { overBudgetCount: 0, readerStalledCount: 0 }

  constructor (options: LogBudgetOptions) {
    this._options = options
    this._availableCount = options.burstCount
    this._refilledAtMs = options.clock.nowMs()
  }

  /** Whether a line may be written; counts the line as dropped if not. */
  admits (level: LogLevel): boolean {
    const { pendingBytes, maxPendingBytes, reservedCount } = this._options
    if (pendingBytes() > maxPendingBytes) {
      this._dropped.readerStalledCount++
      this._options.onDropped(DropReason.ReaderStalled)
      return false
    }
    this._refill()
    const floorCount = isUrgent(level) ? 0 : reservedCount
    if (this._availableCount - 1 < floorCount) {
      this._dropped.overBudgetCount++
      this._options.onDropped(DropReason.OverBudget)
      return false
    }
    this._availableCount--
    return true
  }

  /** Counts of lines dropped since the last report; undefined when no report is due. */
  takeReport (): DroppedCounts | undefined {
    const nowMs = this._options.clock.nowMs()
    const dropped = this._dropped
    const hasDropped = dropped.overBudgetCount + dropped.readerStalledCount > 0
    if (!hasDropped || nowMs - this._reportedAtMs < REPORT_INTERVAL_MS) return undefined
    this._reportedAtMs = nowMs
    this._dropped = { overBudgetCount: 0, readerStalledCount: 0 }
    return dropped
  }

  private _refill (): void {
    const { clock, linesPerSecond, burstCount } = this._options
    const nowMs = clock.nowMs()
    const refilledCount = (nowMs - this._refilledAtMs) * linesPerSecond / MS_PER_S
    this._availableCount = Math.min(burstCount, this._availableCount + refilledCount)
    this._refilledAtMs = nowMs
  }
}

function isUrgent (level: LogLevel): boolean {
  return level === LogLevel.Warn || level === LogLevel.Error
}
