/**
 * Watches how near this process is to the memory that its host allows it.
 * Gauges tell it each second; the log says once when a level is passed and once when it is
 * left again, so that the last lines of a process that the host has ended
 * show whether memory was the cause.
 */
import type { Clock } from './clock.js'
import { everySecond } from './everySecond.js'
import type { LogFields, Logger } from './logger.js'
import { MemoryEvent } from './memoryEvents.js'
import { MetricName } from './metricNames.js'
import type { Metrics } from './metrics.js'
import type { Scope } from './scope.js'

export interface MemoryUse {
  /** Pages of the process that are in memory. */
  residentBytes: number
  /** Objects of the program. */
  heapBytes: number
  /** Buffers outside of the heap. */
  externalBytes: number
}

/** One read. */
export type MemoryReader = () => MemoryUse

export interface MemoryWatchParts {
  clock: Clock
  logger: Logger
  metrics: Metrics
  read: MemoryReader
  /** What the host allows this process; without it there are gauges only. */
  limitBytes: number | undefined
}

/** The rest is needed as room for a copy of what the process holds, while it takes or loads a snapshot. */
const HIGH_PERCENT = 70
/** Below it garbage that waits for its collection explains what is resident; above it something grows. */
const VERY_HIGH_PERCENT = 85
/** A few large messages or one piece of a snapshot may now pass the limit: the last line before the end. */
const NEARLY_FULL_PERCENT = 95
export const MEMORY_LEVELS_PERCENT = [HIGH_PERCENT, VERY_HIGH_PERCENT, NEARLY_FULL_PERCENT]
/** A collection of garbage moves the resident memory by a few percent of the limit; a level is left only below that. */
export const LEAVING_MARGIN_PERCENT = 5

const BYTES_PER_MEGABYTE = 1024 * 1024

/**
 * Memory of this process. A read took 13 us of processor time, that of the
 * resident pages alone 11 us (process.memoryUsage() and
 * process.memoryUsage.rss(), 2,000 of each, one run, 550 MB resident).
 */
export const processMemory: MemoryReader = () => {
  const { rss, heapUsed, external } = process.memoryUsage()
  return { residentBytes: rss, heapBytes: heapUsed, externalBytes: external }
}

export function megabytesToBytes (megabytes: number): number {
  return megabytes * BYTES_PER_MEGABYTE
}

export class MemoryWatch {
  private readonly _parts: MemoryWatchParts
  /** Levels that are passed at present. */
  private readonly _passed = new Set<number>()

  constructor (parts: MemoryWatchParts) {
    this._parts = parts
  }

  async run (scope: Scope): Promise<void> {
    await everySecond(this._parts.clock, scope, () => this._readOnce())
  }

  private _readOnce (): void {
    const { metrics, limitBytes, read } = this._parts
    const use = read()
    metrics.gauge(MetricName.MemoryResidentBytes, use.residentBytes)
    metrics.gauge(MetricName.MemoryHeapBytes, use.heapBytes)
    metrics.gauge(MetricName.MemoryExternalBytes, use.externalBytes)
    if (limitBytes === undefined) return
    metrics.gauge(MetricName.MemoryLimitBytes, limitBytes)
    for (const levelPercent of MEMORY_LEVELS_PERCENT) this._compare(levelPercent, use, limitBytes)
  }

  private _compare (levelPercent: number, use: MemoryUse, limitBytes: number): void {
    const usedPercent = 100 * use.residentBytes / limitBytes
    const fields: LogFields = { levelPercent, limitBytes, ...use }
    if (!this._passed.has(levelPercent) && usedPercent >= levelPercent) {
      this._passed.add(levelPercent)
      this._parts.logger.event(MemoryEvent.LevelPassed, fields)
    } else if (this._passed.has(levelPercent) && usedPercent < levelPercent - LEAVING_MARGIN_PERCENT) {
      this._passed.delete(levelPercent)
      this._parts.logger.event(MemoryEvent.LevelLeft, fields)
    }
  }
}
