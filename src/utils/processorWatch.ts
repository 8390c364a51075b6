/**
 * Monitors how much processor time this process uses and how long its event loop is
 * blocked. A process whose loop is blocked reads messages late, and may take its
 * peers for silent.
 */
import { monitorEventLoopDelay, type IntervalHistogram } from 'node:perf_hooks'
import type { Clock } from './clock.js'
import { everySecond } from './everySecond.js'
import { MetricName } from './metricNames.js'
import type { Metrics } from './metrics.js'
import type { Scope } from './scope.js'

const LOOP_DELAY_RESOLUTION_MS = 20
const NS_PER_MS = 1_000_000
const US_PER_MS = 1_000

export interface ProcessorUse {
  /** Cores used on average since the last reading. */
  cores: number
  /** Longest event loop delay since the last reading. */
  maxLoopDelayMs: number
}

/** Reads the processor use of this process since its previous reading. */
export class ProcessorMeter {
  private readonly _clock: Clock
  private readonly _delays: IntervalHistogram
  private _cpu = process.cpuUsage()
  private _readAtMs: number

  constructor (clock: Clock) {
    this._clock = clock
    this._delays = monitorEventLoopDelay({ resolution: LOOP_DELAY_RESOLUTION_MS })
    this._delays.enable()
    this._readAtMs = clock.nowMs()
  }

  read (): ProcessorUse {
    const nowMs = this._clock.nowMs()
    const used = process.cpuUsage(this._cpu)
    const cores = (used.user + used.system) / US_PER_MS / Math.max(1, nowMs - this._readAtMs)
    const maxLoopDelayMs = Math.max(0, this._delays.max / NS_PER_MS - LOOP_DELAY_RESOLUTION_MS)
    this._cpu = process.cpuUsage()
    this._readAtMs = nowMs
    this._delays.reset()
    return { cores, maxLoopDelayMs }
  }
}

/** Updates the gauges of processor use every second, until the scope closes. */
export async function watchProcessor (clock: Clock, metrics: Metrics, scope: Scope, onUse: (use: ProcessorUse) => void = () => {}): Promise<void> {
  const meter = new ProcessorMeter(clock)
  await everySecond(clock, scope, () => {
    const use = meter.read()
    metrics.gauge(MetricName.ProcessorCores, use.cores)
    metrics.gauge(MetricName.LoopDelayMs, use.maxLoopDelayMs)
    onUse(use)
  })
}
