/**
 * Bounds what a process writes to its log, by lines a second and by bytes that
 * whoever reads it has not taken yet, so that neither a burst of requests nor a
 * reader that has stopped costs a request. What is left out is counted.
 */
import type { Clock } from './clock.js'
import { LogLevel } from './eventCatalogue.js'

export enum LeftOutReason {
  /** More lines than the budget allows. */
  OverBudget = 'over_budget',
  /** Whoever reads the log has stopped, or is too slow. */
  ReaderStalled = 'reader_stalled'
}

export interface LogBudgetOptions {
  clock: Clock
  /** Bytes that were written and not taken yet. */
  pendingBytes: () => number
  linesPerSecond: number
  /** Lines that may come at once after a quiet time. */
  burstCount: number
  /** Of the burst, lines that are kept for warnings and errors. */
  reservedCount: number
  maxPendingBytes: number
  onLeftOut: (reason: LeftOutReason) => void
}

export type LeftOutCounts = Record<'overBudgetCount' | 'readerStalledCount', number>

/** A count of lines that were left out is told no more often than this. */
const REPORT_INTERVAL_MS = 1_000
const MS_PER_S = 1_000

export class LogBudget {
  private readonly _options: LogBudgetOptions
  private _availableCount: number
  private _refilledAtMs: number
  private _reportedAtMs = Number.NEGATIVE_INFINITY
  private _leftOut: LeftOutCounts = { overBudgetCount: 0, readerStalledCount: 0 }

  constructor (options: LogBudgetOptions) {
    this._options = options
    this._availableCount = options.burstCount
    this._refilledAtMs = options.clock.nowMs()
  }

  /** Whether a line may be written; one that may not is counted. */
  admits (level: LogLevel): boolean {
    const { pendingBytes, maxPendingBytes, reservedCount } = this._options
    if (pendingBytes() > maxPendingBytes) {
      this._leftOut.readerStalledCount++
      this._options.onLeftOut(LeftOutReason.ReaderStalled)
      return false
    }
    this._refill()
    const floorCount = isUrgent(level) ? 0 : reservedCount
    if (this._availableCount - 1 < floorCount) {
      this._leftOut.overBudgetCount++
      this._options.onLeftOut(LeftOutReason.OverBudget)
      return false
    }
    this._availableCount--
    return true
  }

  /** What was left out since the last report, when a report is due. */
  takeReport (): LeftOutCounts | undefined {
    const nowMs = this._options.clock.nowMs()
    const leftOut = this._leftOut
    const isNews = leftOut.overBudgetCount + leftOut.readerStalledCount > 0
    if (!isNews || nowMs - this._reportedAtMs < REPORT_INTERVAL_MS) return undefined
    this._reportedAtMs = nowMs
    this._leftOut = { overBudgetCount: 0, readerStalledCount: 0 }
    return leftOut
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
