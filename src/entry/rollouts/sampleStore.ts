/**
 * Contents of finished samples that this host keeps until their trainer has
 * confirmed them, and checkpoints of samples that run on other hosts. All of
 * it is in memory: a content has a second host, and one that both lose is
 * generated again.
 */
import type { HeldSample, Slot } from '../../protocol/rolloutCommands.js'
import type { Clock } from '../../utils/clock.js'
import type { Checkpoint, SampleContent } from './rolloutMethods.js'

/** A content that the ledger does not name yet may still be on its way into it. */
const COMMIT_GRACE_MS = 120_000
const CHECKPOINT_LIFETIME_MS = 600_000
const MAX_CHECKPOINTS = 4096

interface Kept<T> {
  value: T
  keptAtMs: number
}

export class SampleStore {
  private readonly _clock: Clock
  private readonly _samples = new Map<string, Kept<SampleContent>>()
  private readonly _checkpoints = new Map<string, Kept<Checkpoint>>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  get samplesCount (): number {
    return this._samples.size
  }

  keep (content: SampleContent): void {
    this._samples.set(content.attemptId, { value: content, keptAtMs: this._clock.nowMs() })
  }

  get (attemptId: string): SampleContent | undefined {
    return this._samples.get(attemptId)?.value
  }

  forget (attemptId: string): void {
    this._samples.delete(attemptId)
  }

  /** Keeps what the ledger still needs of this host, and what it may not know yet. */
  sweep (held: HeldSample[]): void {
    const needed = new Set(held.map(({ attemptId }) => attemptId))
    const oldestMs = this._clock.nowMs() - COMMIT_GRACE_MS
    for (const [attemptId, { keptAtMs }] of this._samples) {
      if (!needed.has(attemptId) && keptAtMs < oldestMs) this._samples.delete(attemptId)
    }
    const oldestCheckpointMs = this._clock.nowMs() - CHECKPOINT_LIFETIME_MS
    for (const [key, { keptAtMs }] of this._checkpoints) {
      if (keptAtMs < oldestCheckpointMs) this._checkpoints.delete(key)
    }
  }

  keepCheckpoint (checkpoint: Checkpoint): void {
    const key = slotKey(checkpoint)
    if (!this._checkpoints.has(key) && this._checkpoints.size >= MAX_CHECKPOINTS) return
    this._checkpoints.set(key, { value: checkpoint, keptAtMs: this._clock.nowMs() })
  }

  checkpoint (slot: Slot): Checkpoint | undefined {
    return this._checkpoints.get(slotKey(slot))?.value
  }
}

export function slotKey ({ job, step, group, index }: Slot): string {
  return `${job}/${step}/${group}/${index}`
}
