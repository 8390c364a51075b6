/**
 * One request in the queue, with the promise that its caller awaits. The promise
 * settles exactly once: with an outcome, or when the request's scope closes.
 */
import { ScopeClosedError, invariant } from '../../utils/errors.js'
import type { QueuedWork } from './classQueue.js'
import type { AssignOutcome } from './scheduler.js'

export interface WaitingRequest extends QueuedWork {
  readonly outcome: Promise<AssignOutcome>
  /** Calls back once when the request leaves the queue. */
  onSettled (callback: () => void): void
}

export interface WaitingRequestOptions extends Omit<QueuedWork, 'settle' | 'skippedCount'> {
  /** From this instant on, the request can't meet its deadline. */
  deadlineUnreachableAtMs: number
  onDeadlineUnreachable: () => void
  onScopeClosed: () => void
}

export function createWaitingRequest (options: WaitingRequestOptions): WaitingRequest {
  const { item, progress, enqueuedAtMs, order, sequence, affinityWaitEndsAtMs, homes } = options
  const callbacks: Array<() => void> = []
  let isSettled = false
  let resolve: (outcome: AssignOutcome) => void = () => {}
  let reject: (error: unknown) => void = () => {}
  const outcome = new Promise<AssignOutcome>((_resolve, _reject) => {
    resolve = _resolve
    reject = _reject
  })
  function end (): void {
    invariant(!isSettled, 'a queued request was settled twice')
    isSettled = true
    for (const callback of callbacks) callback()
  }
  callbacks.push(progress.clock.callAt(options.deadlineUnreachableAtMs, options.onDeadlineUnreachable))
  callbacks.push(progress.scope.onClose(() => {
    if (isSettled) return
    end()
    options.onScopeClosed()
    options.release()
    reject(new ScopeClosedError('the request was withdrawn', { props: { reason: progress.scope.closeReason ?? '' } }))
  }))
  return {
    item,
    progress,
    enqueuedAtMs,
    order,
    sequence,
    affinityWaitEndsAtMs,
    homes,
    skippedCount: 0,
    outcome,
    release: options.release,
    onSettled: callback => callbacks.push(callback),
    settle (result) {
      end()
      if (result.kind === 'refused') options.release()
      resolve(result)
    }
  }
}
