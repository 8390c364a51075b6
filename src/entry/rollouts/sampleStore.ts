/**
 * Stores checkpoints of running samples, and the contents of finished samples
 * until their trainer has confirmed these contents. Everything is in memory: contents
 * are replicated to a second host, and a sample that both hosts lose is
 * generated again.
 */
import type { HeldSample, Slot } from '../../protocol/rolloutCommands.js'
import type { Clock } from '../../utils/clock.js'
import type { Checkpoint, SampleContent } from './rolloutMethods.js'

/** Contents that the ledger doesn't list are retained for this long, since their commits may be in flight. */
const COMMIT_GRACE_MS = 120_000
const CHECKPOINT_LIFETIME_MS = 600_000
const MAX_CHECKPOINTS = 4096

interface Stored<T> {
  value: T
  storedAtMs: number
}

export class SampleStore {
  private readonly _clock: Clock
  private readonly _samples = new Map<string, Stored<SampleContent>>()
  private readonly _checkpoints = new Map<string, Stored<Checkpoint>>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  get samplesCount (): number {
    return this._samples.size
  }

  put (content: SampleContent): void {
    this._samples.set(content.attemptId, { value: content, storedAtMs: this._clock.nowMs() })
  }

  get (attemptId: string): SampleContent | undefined {
    return this._samples.get(attemptId)?.value
  }

  remove (attemptId: string): void {
    this._samples.delete(attemptId)
  }

  /** Removes old checkpoints, and old contents that the ledger doesn't list as stored on this host. */
  sweep (held: HeldSample[]): void {
    const needed = new Set(held.map(({ attemptId }) => attemptId))
    const oldestMs = this._clock.nowMs() - COMMIT_GRACE_MS
    for (const [attemptId, { storedAtMs }] of this._samples) {
      if (!needed.has(attemptId) && storedAtMs < oldestMs) this._samples.delete(attemptId)
    }
    const oldestCheckpointMs = this._clock.nowMs() - CHECKPOINT_LIFETIME_MS
    for (const [key, { storedAtMs }] of this._checkpoints) {
      if (storedAtMs < oldestCheckpointMs) this._checkpoints.delete(key)
    }
  }

  putCheckpoint (checkpoint: Checkpoint): void {
    const key = slotKey(checkpoint)
    if (!this._checkpoints.has(key) && this._checkpoints.size >= MAX_CHECKPOINTS) return
    this._checkpoints.set(key, { value: checkpoint, storedAtMs: this._clock.nowMs() })
  }

  checkpoint (slot: Slot): Checkpoint | undefined {
    return this._checkpoints.get(slotKey(slot))?.value
  }
}

export function slotKey ({ job, step, group, index }: Slot): string {
  return `${job}/${step}/${group}/${index}`
}
