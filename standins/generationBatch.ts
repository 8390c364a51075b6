/**
 * Continuous batching: each round generates a few tokens for every running
 * sequence, removes completed sequences and admits waiting ones in order of
 * priority. The duration of a round grows with the number of sequences.
 */
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import type { Scope } from '../src/utils/scope.js'

export interface Sequence {
  readonly priority: number
  /** Characters of the prompt that still have to be prefilled before the first token. */
  prefillChars: number
  /** Generates the next tokens; returns true if the sequence is complete. */
  advance (tokensCount: number): boolean
  /** Whether the reader is too slow, so that generation has to wait. */
  isStalled (): boolean
}

export interface BatchSettings {
  maxRunningCount: number
  /** Duration of a round with one sequence. */
  roundMs: number
  /** Added to the duration of a round for every further sequence. */
  perSequenceMs: number
  tokensPerRound: number
  /** Characters of prompts prefilled per round, over all sequences. */
  prefillCharsPerRound: number
}

const MAX_IDLE_WAIT_MS = 60_000

export class GenerationBatch {
  private readonly _clock: Clock
  private readonly _settings: BatchSettings
  private readonly _running = new Set<Sequence>()
  private _waiting: Sequence[] = []
  private _wake: () => void = () => {}
  private _pausesCount = 0
  private _tokensCount = 0
  /** Multiplier of the duration of every round; 5 makes the engine five times slower. */
  slowFactor = 1

  constructor (clock: Clock, settings: BatchSettings) {
    this._clock = clock
    this._settings = settings
  }

  get runningCount (): number {
    return this._running.size
  }

  get waitingCount (): number {
    return this._waiting.length
  }

  /** Tokens generated since the start, counting each sequence's last round in full. */
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

  /** Pauses generation until resumed, as a swap of weights does; calls nest. */
  pause (): void {
    this._pausesCount++
  }

  resume (): void {
    this._pausesCount--
    this._wake()
  }

  /** Runs rounds until the scope closes. */
  async run (scope: Scope): Promise<void> {
    let roundEndsAtMs = this._clock.nowMs()
    for (;;) {
      this._admit()
      if (this._pausesCount > 0 || this._running.size === 0) {
        await this._idle(scope)
        roundEndsAtMs = this._clock.nowMs()
        continue
      }
      roundEndsAtMs = Math.max(roundEndsAtMs + this._roundDurationMs(), this._clock.nowMs())
      await sleepUntil(this._clock, scope, roundEndsAtMs)
      if (this._pausesCount === 0) this._advanceAll()
    }
  }

  private _roundDurationMs (): number {
    const { roundMs, perSequenceMs } = this._settings
    return this.slowFactor * (roundMs + perSequenceMs * (this._running.size - 1))
  }

  private _admit (): void {
    while (this._running.size < this._settings.maxRunningCount) {
      const next = this._waiting.shift()
      if (!next) return
      this._running.add(next)
    }
  }

  private _advanceAll (): void {
    let remainingChars = this._settings.prefillCharsPerRound
    for (const sequence of this._running) {
      if (sequence.prefillChars > 0) {
        const prefilledChars = Math.min(remainingChars, sequence.prefillChars)
        sequence.prefillChars -= prefilledChars
        remainingChars -= prefilledChars
        continue
      }
      if (sequence.isStalled()) continue
      this._tokensCount += this._settings.tokensPerRound
      if (sequence.advance(this._settings.tokensPerRound)) this._running.delete(sequence)
    }
  }

  private async _idle (scope: Scope): Promise<void> {
    const woken = new Promise<void>(resolve => { this._wake = resolve })
    const timeoutScope = scope.child('idle')
    const timeout = sleepUntil(this._clock, timeoutScope, this._clock.nowMs() + MAX_IDLE_WAIT_MS)
    timeout.catch(() => {})
    try {
      await scope.race(Promise.race([woken, timeout]))
    } finally {
      timeoutScope.close('woken')
    }
  }
}
