/**
 * Measures the token throughput of single samples and decides when a running
 * sample is moved to another engine: when the sample is much slower than the average of
 * the pool and another engine has spare capacity. The generated tokens move with
 * the sample, so a move costs one prefill and discards nothing, whereas a second
 * parallel attempt would discard the work of the slower attempt.
 */
import type { Clock } from '../../utils/clock.js'
import type { RolloutContext } from './rolloutContext.js'

/** Throughput is measured over windows of this length. */
const WINDOW_MS = 4_000
/** A sample is moved when its throughput is below this fraction of the pool's average. */
const SLOW_FRACTION = 0.4
/** Minimum time between two moves of a sample. */
const MIN_STAY_MS = 10_000
const SMOOTHING = 0.05
/** An engine has spare capacity when its load is below this fraction of its capacity. */
const SPARE_LOAD_FRACTION = 0.75

export class ThroughputMonitor {
  private readonly _context: RolloutContext
  /** Moving average of the tokens per second of one sample, by pool. */
  private readonly _meanTokensPerSecond = new Map<string, number>()

  constructor (context: RolloutContext) {
    this._context = context
  }

  trackSample (pool: string): SampleThroughput {
    return new SampleThroughput(this._context.clock, (tokensPerSecond, engineId) => this._shouldMove(pool, tokensPerSecond, engineId))
  }

  /** Adds a measurement to the pool's average; returns whether the sample should be moved. */
  private _shouldMove (pool: string, tokensPerSecond: number, engineId: string): boolean {
    const meanTokensPerSecond = this._meanTokensPerSecond.get(pool) ?? tokensPerSecond
    this._meanTokensPerSecond.set(pool, meanTokensPerSecond + SMOOTHING * (tokensPerSecond - meanTokensPerSecond))
    return tokensPerSecond < SLOW_FRACTION * meanTokensPerSecond && this._hasSpareEngine(pool, engineId)
  }

  private _hasSpareEngine (pool: string, engineId: string): boolean {
    return this._context.directory.available(pool).some(({ announcement: { endpointId, load, maxConcurrentCount } }) => {
      return endpointId !== engineId && load.runningCount + load.waitingCount < SPARE_LOAD_FRACTION * maxConcurrentCount
    })
  }
}

type MoveCheck = (tokensPerSecond: number, engineId: string) => boolean

export class SampleThroughput {
  private readonly _clock: Clock
  private readonly _shouldMove: MoveCheck
  private _move = (): void => {}
  private _engineId: string | undefined
  private _windowStartMs = 0
  private _windowTokensCount = 0
  private _staysUntilMs = 0

  constructor (clock: Clock, shouldMove: MoveCheck) {
    this._clock = clock
    this._shouldMove = shouldMove
  }

  /** @param move called to abort the current run, so that the sample continues on another engine */
  start (move: () => void): void {
    this._move = move
    this._engineId = undefined
  }

  record (tokensCount: number, engineId: string | undefined): void {
    const nowMs = this._clock.nowMs()
    if (engineId === undefined || engineId !== this._engineId) {
      this._engineId = engineId
      this._windowStartMs = nowMs
      this._windowTokensCount = 0
      return
    }
    this._windowTokensCount += tokensCount
    const elapsedMs = nowMs - this._windowStartMs
    if (elapsedMs < WINDOW_MS) return
    const shouldMove = this._shouldMove(1000 * this._windowTokensCount / elapsedMs, engineId)
    this._windowStartMs = nowMs
    this._windowTokensCount = 0
    if (!shouldMove || nowMs < this._staysUntilMs) return
    this._staysUntilMs = nowMs + MIN_STAY_MS
    this._move()
  }
}
