/**
 * Monitors how close this process is to the memory limit that its host sets.
 * Gauges are updated every second. One log line is written when a warning level is
 * reached and one line when memory is below that level again, so that the last lines of a
 * process that was killed show whether memory was the cause.
 */
import { getHeapStatistics } from 'node:v8'
import type { Clock } from './clock.js'
import { everySecond } from './everySecond.js'
import type { LogFields, Logger } from './logger.js'
import { MemoryEvent } from './memoryEvents.js'
import { MetricName } from './metricNames.js'
import type { Metrics } from './metrics.js'
import type { Scope } from './scope.js'

export interface MemoryUse {
  /** Resident set size of the process. */
  residentBytes: number
  /** Used JavaScript heap. */
  heapBytes: number
  /** Buffers outside the heap. */
  externalBytes: number
  /** Why the resident size is that of an earlier reading; absent if it is current. */
  staleReason?: string
}

export type MemoryReader = () => MemoryUse

export interface MemoryWatchOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  read: MemoryReader
  /** Memory limit that the host sets; if undefined, only gauges are updated. */
  limitBytes: number | undefined
}

/** Above this level, memory may not suffice for the copy of the state that exists while a snapshot is taken or loaded. */
const HIGH_PERCENT = 70
/** Below this level, uncollected garbage explains the resident memory; above this level, something grows. */
const VERY_HIGH_PERCENT = 85
/** A few large messages or one snapshot chunk may now exceed the limit: possibly the last log line of the process. */
const NEARLY_FULL_PERCENT = 95
export const MEMORY_LEVELS_PERCENT = [HIGH_PERCENT, VERY_HIGH_PERCENT, NEARLY_FULL_PERCENT]
/** Hysteresis: garbage collection changes the resident memory by a few percent of the limit, so a level is cleared only this far below it. */
export const CLEARING_MARGIN_PERCENT = 5

const BYTES_PER_MEGABYTE = 1024 * 1024

/**
 * Reads the memory of this process. With 550 MB resident, a read takes 13 us of
 * processor time; process.memoryUsage.rss() alone would take 11 us (2,000 calls
 * of each, one run).
 */
export const processMemory: MemoryReader = () => {
  try {
    const { rss, heapUsed, external } = process.memoryUsage()
    lastResidentBytes = rss
    return { residentBytes: rss, heapBytes: heapUsed, externalBytes: external }
  } catch (error) {
    // Reading the resident size opens a file, for which a process at its limit of descriptors has none left.
    const { used_heap_size: heapBytes, external_memory: externalBytes } = getHeapStatistics()
    return { residentBytes: Math.max(lastResidentBytes, heapBytes + externalBytes), heapBytes, externalBytes, staleReason: (error as Error).message }
  }
}

let lastResidentBytes = 0

export function megabytesToBytes (megabytes: number): number {
  return megabytes * BYTES_PER_MEGABYTE
}

export class MemoryWatch {
  private readonly _options: MemoryWatchOptions
  /** Levels that were reached and not cleared since. */
  private readonly _exceededLevels = new Set<number>()
  private _isStale = false

  constructor (options: MemoryWatchOptions) {
    this._options = options
  }

  async run (scope: Scope): Promise<void> {
    await everySecond(this._options.clock, scope, () => this._readOnce())
  }

  private _readOnce (): void {
    const { metrics, limitBytes, read } = this._options
    const use = read()
    this._noteStale(use)
    metrics.gauge(MetricName.MemoryResidentBytes, use.residentBytes)
    metrics.gauge(MetricName.MemoryHeapBytes, use.heapBytes)
    metrics.gauge(MetricName.MemoryExternalBytes, use.externalBytes)
    if (limitBytes === undefined) return
    metrics.gauge(MetricName.MemoryLimitBytes, limitBytes)
    for (const levelPercent of MEMORY_LEVELS_PERCENT) this._compare(levelPercent, use, limitBytes)
  }

  /** One line when the resident size becomes unreadable, and one when it can be read again. */
  private _noteStale ({ staleReason, residentBytes }: MemoryUse): void {
    const isStale = staleReason !== undefined
    if (isStale === this._isStale) return
    this._isStale = isStale
    this._options.logger.event(isStale ? MemoryEvent.Unreadable : MemoryEvent.ReadAgain, { error: staleReason, residentBytes })
  }

  private _compare (levelPercent: number, use: MemoryUse, limitBytes: number): void {
    const usedPercent = 100 * use.residentBytes / limitBytes
    const fields: LogFields = { levelPercent, limitBytes, ...use }
    if (!this._exceededLevels.has(levelPercent) && usedPercent >= levelPercent) {
      this._exceededLevels.add(levelPercent)
      this._options.logger.event(MemoryEvent.LevelReached, fields)
    } else if (this._exceededLevels.has(levelPercent) && usedPercent < levelPercent - CLEARING_MARGIN_PERCENT) {
      this._exceededLevels.delete(levelPercent)
      this._options.logger.event(MemoryEvent.LevelCleared, fields)
    }
  }
}
