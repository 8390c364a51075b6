/**
 * Writes the log to a stream such as standard output, within a budget, so that
 * logging never blocks the process. What the pipe does not accept is buffered in
 * memory up to a limit; beyond the limit, lines are dropped.
 */
import type { Writable } from 'node:stream'
import type { Clock } from './clock.js'
import { LogBudget, type DropReason } from './logBudget.js'
import { writeLogsTo } from './logger.js'

/** The leading store host wrote 415 lines in the busiest second of a day of high load; see docs/OPERATIONS.md. */
const LINES_PER_SECOND = 500
/** Covers the burst of lines after a start or a change of leader. */
const BURST_COUNT = 2_000
const RESERVED_COUNT = 250
/** Memory that a stalled reader may cost; the smallest hosts have 200 MB. */
const MAX_PENDING_BYTES = 512 * 1024

export interface LogOutputOptions {
  stream: Writable
  clock: Clock
  onDropped: (reason: DropReason) => void
}

export class LogOutput {
  readonly budget: LogBudget
  private readonly _stream: Writable
  private _isBroken = false

  constructor ({ stream, clock, onDropped }: LogOutputOptions) {
    this._stream = stream
    this.budget = new LogBudget({
      clock,
      pendingBytes: () => (this._isBroken ? Number.POSITIVE_INFINITY : stream.writableLength),
      linesPerSecond: LINES_PER_SECOND,
      burstCount: BURST_COUNT,
      reservedCount: RESERVED_COUNT,
      maxPendingBytes: MAX_PENDING_BYTES,
      onDropped
    })
    // The reader has closed the stream: all further lines are dropped and counted.
    stream.on('error', () => { this._isBroken = true })
  }

  /** Makes this stream the log destination of this process. */
  install (): void {
    writeLogsTo(line => this._stream.write(line))
  }

  /** Waits until all pending lines were written, at most until the deadline. */
  async flush (clock: Clock, deadlineMs: number): Promise<void> {
    if (this._isBroken) return
    await new Promise<void>(resolve => {
      const cancel = clock.callAt(deadlineMs, resolve)
      this._stream.write('', () => {
        cancel()
        resolve()
      })
    })
  }
}
