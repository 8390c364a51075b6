/**
 * Where the log goes: a stream such as standard output, within a budget, so
 * that the log never holds the process up. A pipe takes what it has room for;
 * the rest waits in memory up to a bound, and then lines are left out.
 */
import type { Writable } from 'node:stream'
import type { Clock } from './clock.js'
import { LogBudget, type LeftOutReason } from './logBudget.js'
import { writeLogsTo } from './logger.js'

/** A store host that leads wrote 415 lines in the busiest second of a day of high load; see docs/OPERATIONS.md. */
const LINES_PER_SECOND = 500
/** What comes at once after a start or a change of leader. */
const BURST_COUNT = 2_000
const RESERVED_COUNT = 250
/** A stalled reader costs this much memory, of the 200 MB that the smallest hosts have. */
const MAX_PENDING_BYTES = 512 * 1024

export interface LogOutputOptions {
  stream: Writable
  clock: Clock
  onLeftOut: (reason: LeftOutReason) => void
}

export class LogOutput {
  readonly budget: LogBudget
  private readonly _stream: Writable
  private _isBroken = false

  constructor ({ stream, clock, onLeftOut }: LogOutputOptions) {
    this._stream = stream
    this.budget = new LogBudget({
      clock,
      pendingBytes: () => (this._isBroken ? Number.POSITIVE_INFINITY : stream.writableLength),
      linesPerSecond: LINES_PER_SECOND,
      burstCount: BURST_COUNT,
      reservedCount: RESERVED_COUNT,
      maxPendingBytes: MAX_PENDING_BYTES,
      onLeftOut
    })
    // Nobody reads any more: lines are left out and counted from here on.
    stream.on('error', () => { this._isBroken = true })
  }

  /** Directs the logs of this process here. */
  use (): void {
    writeLogsTo(line => this._stream.write(line))
  }

  /** Waits until everything was taken, or a reader that stalls has had its time. */
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
