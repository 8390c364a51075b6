/**
 * One request in the queue, and the promise its caller waits on. It is settled
 * exactly once: with an outcome, or by the closing of its scope.
 */
import { ScopeClosedError, invariant } from '../../utils/errors.js'
import type { QueuedWork } from './classQueue.js'
import type { AssignOutcome } from './scheduler.js'

export interface Waiting extends QueuedWork {
  readonly outcome: Promise<AssignOutcome>
  /** Calls back once when it no longer waits. */
  onSettled (callback: () => void): void
}

export interface WaitingParts extends Omit<QueuedWork, 'settle' | 'passedCount'> {
  /** When its deadline can't be met any more. */
  hopelessAtMs: number
  onHopeless: () => void
  onScopeClosed: () => void
}

export function waitFor (parts: WaitingParts): Waiting {
  const { item, progress, enqueuedAtMs, order, sequence, patienceEndsAtMs, homes } = parts
  const callbacks: Array<() => void> = []
  let settled = false
  let resolve: (outcome: AssignOutcome) => void = () => {}
  let reject: (error: unknown) => void = () => {}
  const outcome = new Promise<AssignOutcome>((_resolve, _reject) => {
    resolve = _resolve
    reject = _reject
  })
  function end (): void {
    invariant(!settled, 'a waiting request was settled twice')
    settled = true
    for (const callback of callbacks) callback()
  }
  callbacks.push(progress.clock.callAt(parts.hopelessAtMs, parts.onHopeless))
  callbacks.push(progress.scope.onClose(() => {
    if (settled) return
    end()
    parts.onScopeClosed()
    parts.left()
    reject(new ScopeClosedError('the request was withdrawn', { props: { reason: progress.scope.closeReason ?? '' } }))
  }))
  return {
    item,
    progress,
    enqueuedAtMs,
    order,
    sequence,
    patienceEndsAtMs,
    homes,
    passedCount: 0,
    outcome,
    left: parts.left,
    onSettled: callback => callbacks.push(callback),
    settle (result) {
      end()
      if (result.kind === 'refused') parts.left()
      resolve(result)
    }
  }
}
