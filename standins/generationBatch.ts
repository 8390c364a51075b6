/**
 * Continuous batching: in each round every running sequence gains a few
 * tokens, those that end leave, and waiting ones take their places, highest
 * priority first. A round takes longer the more sequences run in it.
 */
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import type { Scope } from '../src/utils/scope.js'

export interface Sequence {
  readonly priority: number
  /** Characters of the prompt that still have to be read before the first token. */
  prefillChars: number
  /** Makes the next tokens; true when the sequence has ended. */
  advance (tokensCount: number): boolean
  /** Whether its reader has fallen behind. */
  isStalled (): boolean
}

export interface BatchPace {
  maxRunningCount: number
  /** Time of a round with one sequence. */
  roundMs: number
  /** Added for every further sequence. */
  perSequenceMs: number
  tokensPerRound: number
  /** Characters of prompts read per round. */
  prefillCharsPerRound: number
}

const WAKE_LATE_MS = 60_000

export class GenerationBatch {
  private readonly _clock: Clock
  private readonly _pace: BatchPace
  private readonly _running = new Set<Sequence>()
  private _waiting: Sequence[] = []
  private _wake: () => void = () => {}
  private _pausedBy = 0
  private _tokensCount = 0
  /** Multiplies the time of every round: 5 makes the engine five times slower. */
  slowFactor = 1

  constructor (clock: Clock, pace: BatchPace) {
    this._clock = clock
    this._pace = pace
  }

  get runningCount (): number {
    return this._running.size
  }

  get waitingCount (): number {
    return this._waiting.length
  }

  /** Tokens made since the start. */
  get tokensCount (): number {
    return this._tokensCount
  }

  add (sequence: Sequence): void {
    const at = this._waiting.findIndex(other => other.priority < sequence.priority)
    this._waiting.splice(at < 0 ? this._waiting.length : at, 0, sequence)
    this._wake()
  }

  remove (sequence: Sequence): void {
    this._running.delete(sequence)
    this._waiting = this._waiting.filter(other => other !== sequence)
  }

  /** Stops between two rounds until resumed, as a swap of weights does. */
  pause (): void {
    this._pausedBy++
  }

  resume (): void {
    this._pausedBy--
    this._wake()
  }

  /** Runs rounds until the scope closes. */
  async run (scope: Scope): Promise<void> {
    let roundEndsAtMs = this._clock.nowMs()
    for (;;) {
      this._admit()
      if (this._pausedBy > 0 || this._running.size === 0) {
        await this._idle(scope)
        roundEndsAtMs = this._clock.nowMs()
        continue
      }
      roundEndsAtMs = Math.max(roundEndsAtMs + this._roundDurationMs(), this._clock.nowMs())
      await sleepUntil(this._clock, scope, roundEndsAtMs)
      if (this._pausedBy === 0) this._advanceAll()
    }
  }

  private _roundDurationMs (): number {
    const { roundMs, perSequenceMs } = this._pace
    return this.slowFactor * (roundMs + perSequenceMs * (this._running.size - 1))
  }

  private _admit (): void {
    while (this._running.size < this._pace.maxRunningCount) {
      const next = this._waiting.shift()
      if (!next) return
      this._running.add(next)
    }
  }

  private _advanceAll (): void {
    let prefillChars = this._pace.prefillCharsPerRound
    for (const sequence of this._running) {
      if (sequence.prefillChars > 0) {
        const readChars = Math.min(prefillChars, sequence.prefillChars)
        sequence.prefillChars -= readChars
        prefillChars -= readChars
        continue
      }
      if (sequence.isStalled()) continue
      this._tokensCount += this._pace.tokensPerRound
      if (sequence.advance(this._pace.tokensPerRound)) this._running.delete(sequence)
    }
  }

  private async _idle (scope: Scope): Promise<void> {
    const woken = new Promise<void>(resolve => { this._wake = resolve })
    const waiting = scope.child('idle')
    const late = sleepUntil(this._clock, waiting, this._clock.nowMs() + WAKE_LATE_MS)
    late.catch(() => {})
    try {
      await scope.race(Promise.race([woken, late]))
    } finally {
      waiting.close('woken')
    }
  }
}
