/**
 * Fencing numbers. A fencing number is the index of the log entry that granted
 * it, so it increases for every scope, even if the scope was evicted in between.
 */
import type { HostResult } from '../../protocol/hostCommands.js'
import type { ApplyContext } from '../../replication/replicatedState.js'

/** Limit of recorded scopes; the scope acquired least recently is evicted first. */
export const MAX_FENCES_COUNT = 16_384

interface Fence {
  fenceScope: string
  holder: string
  fencingNumber: number
  acquiredAtMs: number
  previousHolder?: string
  previousAcquiredAtMs?: number
}

export class FenceRegistry {
  private readonly _fences = new Map<string, Fence>()

  /** A repeated request of the same host returns the number already issued to that host, so that a resent command has no effect. */
  acquire (fenceScope: string, holder: string, context: ApplyContext): HostResult {
    const current = this._fences.get(fenceScope)
    if (current?.holder === holder) return resultOf(current)
    const fence: Fence = {
      fenceScope,
      holder,
      fencingNumber: context.index,
      acquiredAtMs: context.atMs,
      previousHolder: current?.holder,
      previousAcquiredAtMs: current?.acquiredAtMs
    }
    this._fences.delete(fenceScope)
    this._fences.set(fenceScope, fence)
    this._evictOldest()
    return resultOf(fence)
  }

  snapshot (): Fence[] {
    return [...this._fences.values()]
  }

  restore (snapshot: unknown): void {
    this._fences.clear()
    for (const fence of snapshot as Fence[]) this._fences.set(fence.fenceScope, fence)
  }

  private _evictOldest (): void {
    if (this._fences.size <= MAX_FENCES_COUNT) return
    const [oldest = ''] = this._fences.keys()
    this._fences.delete(oldest)
  }
}

function resultOf (fence: Fence): HostResult {
  return {
    kind: 'fenced',
    fencingNumber: fence.fencingNumber,
    previousHolder: fence.previousHolder,
    previousAcquiredAtMs: fence.previousAcquiredAtMs
  }
}
