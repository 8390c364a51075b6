/**
 * Sends an unrepeatable call to one endpoint and classifies the outcome: the
 * response, certainly not run, or possibly run.
 */
import type { Dispatcher } from 'undici'
import { RefusalReason, RetryReason } from '../../protocol/refusals.js'
import type { RecordedAnswer } from '../../protocol/unrepeatableCommands.js'
import { isAnswerStatus } from '../../utils/answerStatus.js'
import type { Progress } from '../../utils/progress.js'
import type { Assignment, AttemptResult } from '../scheduling/scheduler.js'
import { callOnce, type OneShotOutcome } from './oneShotCall.js'
import { Echo, echoOf, isNotExecuted, requestHeaders, type ServiceCall } from './serviceCall.js'

export type EndpointOutcome =
  | { kind: 'answered', answer: RecordedAnswer }
  /** The endpoint certainly did not run the call. */
  | { kind: 'notRun', reason: RefusalReason, retryReason: RetryReason, message: string }
  /** The endpoint may have run the call. */
  | { kind: 'lost', message: string }

export interface DispatchedAttempt {
  attemptId: string
  call: ServiceCall
  /** Progress of the caller's request; if the request ends before the first byte is written, the call is not sent. */
  progress: Progress
  /** Set before the first byte is written, and cleared when the call certainly did not run. */
  isAtEndpoint: boolean
}

export interface DispatchLimits {
  connectTimeoutMs: number
  maxBodyBytes: number
}

export async function runAtEndpoint (attempt: DispatchedAttempt, assignment: Assignment, limits: DispatchLimits, progress: Progress): Promise<EndpointOutcome> {
  const { attemptId, call, progress: callerProgress } = attempt
  const { endpointId, url } = assignment.endpoint.announcement
  const startedAtMs = progress.clock.nowMs()
  callerProgress.log(`attempt ${attemptId} at ${endpointId}`)
  const request = {
    method: call.method as Dispatcher.HttpMethod,
    path: call.path,
    headers: requestHeaders(call, attemptId, progress.remainingMs()),
    body: call.body
  }
  const maySend = (): boolean => {
    attempt.isAtEndpoint = !callerProgress.scope.isClosed && !callerProgress.isPastDeadline()
    return attempt.isAtEndpoint
  }
  let result: AttemptResult = { kind: 'cancelled' }
  try {
    const outcome = await callOnce(url, request, { connectTimeoutMs: limits.connectTimeoutMs, maxResponseBytes: limits.maxBodyBytes }, progress, maySend)
    const endpointOutcome = toEndpointOutcome(outcome, attemptId)
    if (endpointOutcome.kind === 'notRun') attempt.isAtEndpoint = false
    result = attemptResultOf(outcome, endpointOutcome, progress.clock.nowMs() - startedAtMs)
    if (endpointOutcome.kind !== 'answered') callerProgress.log(`${endpointId}: ${endpointOutcome.message}`)
    return endpointOutcome
  } finally {
    assignment.finish(result)
  }
}

function toEndpointOutcome (outcome: OneShotOutcome, attemptId: string): EndpointOutcome {
  switch (outcome.kind) {
    case 'notSent':
      return { kind: 'notRun', reason: RefusalReason.EndpointFailed, retryReason: RetryReason.ConnectFailed, message: `no byte of the request was sent: ${outcome.message}` }
    case 'lost':
      return { kind: 'lost', message: `the connection was lost after the request was sent: ${outcome.message}` }
    case 'answered': {
      const { status, headers, body } = outcome
      if (!isAnswerStatus(status)) return { kind: 'lost', message: `the endpoint answered with the status ${status}, which no answer has` }
      if (echoOf(headers, attemptId) === Echo.Other) return { kind: 'lost', message: 'the endpoint responded with the id of another request' }
      if (isNotExecuted(status, headers)) {
        return { kind: 'notRun', reason: RefusalReason.EndpointRefused, retryReason: RetryReason.EndpointRefused, message: 'the endpoint reported that it did not run the call' }
      }
      return { kind: 'answered', answer: { status, contentType: headers['content-type'], body: Uint8Array.from(body), bodyDropped: false } }
    }
  }
}

function attemptResultOf (outcome: OneShotOutcome, endpointOutcome: EndpointOutcome, durationMs: number): AttemptResult {
  if (endpointOutcome.kind === 'answered') return { kind: 'succeeded', tokensCount: 1, durationMs }
  if (endpointOutcome.kind === 'notRun' && endpointOutcome.retryReason === RetryReason.EndpointRefused) return { kind: 'refused' }
  return outcome.kind === 'notSent' && outcome.message === 'the caller no longer waits for the response' ? { kind: 'cancelled' } : { kind: 'failed' }
}
