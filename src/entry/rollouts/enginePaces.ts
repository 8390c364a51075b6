/**
 * How fast engines make the tokens of one sample, and when a running sample
 * should go on with another engine: when its own is much slower than the rest
 * of the pool and another has room. The tokens go along, so moving costs a
 * prefill and throws nothing away, where a second attempt would throw away
 * the slower one's work.
 */
import type { Clock } from '../../utils/clock.js'
import type { RolloutParts } from './rolloutParts.js'

/** A pace is judged over this time. */
const WINDOW_MS = 4_000
/** A sample moves when it gets less than this part of the usual pace. */
const SLOW_FRACTION = 0.4
/** A sample that has moved stays for so long. */
const REST_MS = 10_000
const SMOOTHING = 0.05
/** An engine has room when less than this part of it runs. */
const ROOM_FRACTION = 0.75

export class EnginePaces {
  private readonly _parts: RolloutParts
  /** Moving mean of tokens per second of a sample, by pool. */
  private readonly _usual = new Map<string, number>()

  constructor (parts: RolloutParts) {
    this._parts = parts
  }

  sample (pool: string): SamplePace {
    return new SamplePace(this._parts.clock, (tokensPerSecond, engineId) => this._judge(pool, tokensPerSecond, engineId))
  }

  /** @returns whether the sample should move */
  private _judge (pool: string, tokensPerSecond: number, engineId: string): boolean {
    const usual = this._usual.get(pool) ?? tokensPerSecond
    this._usual.set(pool, usual + SMOOTHING * (tokensPerSecond - usual))
    return tokensPerSecond < SLOW_FRACTION * usual && this._hasRoomElsewhere(pool, engineId)
  }

  private _hasRoomElsewhere (pool: string, engineId: string): boolean {
    return this._parts.directory.available(pool).some(({ announcement: { endpointId, load, maxConcurrentCount } }) => {
      return endpointId !== engineId && load.runningCount + load.waitingCount < ROOM_FRACTION * maxConcurrentCount
    })
  }
}

type Judge = (tokensPerSecond: number, engineId: string) => boolean

export class SamplePace {
  private readonly _clock: Clock
  private readonly _judge: Judge
  private _move = (): void => {}
  private _engineId: string | undefined
  private _windowStartMs = 0
  private _windowCount = 0
  private _restsUntilMs = 0

  constructor (clock: Clock, judge: Judge) {
    this._clock = clock
    this._judge = judge
  }

  /** @param move breaks the run off, to go on elsewhere */
  start (move: () => void): void {
    this._move = move
    this._engineId = undefined
  }

  note (tokensCount: number, engineId: string | undefined): void {
    const nowMs = this._clock.nowMs()
    if (engineId === undefined || engineId !== this._engineId) {
      this._engineId = engineId
      this._windowStartMs = nowMs
      this._windowCount = 0
      return
    }
    this._windowCount += tokensCount
    const elapsedMs = nowMs - this._windowStartMs
    if (elapsedMs < WINDOW_MS) return
    const shouldMove = this._judge(1000 * this._windowCount / elapsedMs, engineId)
    this._windowStartMs = nowMs
    this._windowCount = 0
    if (!shouldMove || nowMs < this._restsUntilMs) return
    this._restsUntilMs = nowMs + REST_MS
    this._move()
  }
}
