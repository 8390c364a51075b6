/**
 * Scores samples with the services of a pool. Calls are repeated until one
 * succeeds or the deadline passes, so that the tokens of a sample aren't discarded
 * because of a failed call.
 */
import { request } from 'undici'
import { SCORE_PATH, scoreReplySchema, type ScoreRequest } from '../../protocol/endpoints.js'
import { RefusalReason, RetryReason } from '../../protocol/refusals.js'
import { sleepUntil } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import type { Assignment, WorkItem } from '../scheduling/scheduler.js'
import { RolloutEvent } from './rolloutEvents.js'
import type { RolloutContext } from './rolloutContext.js'

const SCORE_CALL_TIMEOUT_MS = 30_000
const INITIAL_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 5_000

export type ScoreOutcome =
  | { kind: 'scored', score: number }
  /** The service responded, but did not score the sample. */
  | { kind: 'refused', message: string }
  | { kind: 'failed', message: string }

export type ScoreCall = (url: string, body: ScoreRequest, progress: Progress) => Promise<ScoreOutcome>

export const scoreOverHttp: ScoreCall = async (url, body, progress) => {
  const callScope = progress.scope.child('score')
  try {
    const answer = await request(url + SCORE_PATH, {
      method: 'POST',
      // A connection for each call: the reply carries no id that would tell whose it is.
      reset: true,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      headersTimeout: progress.remainingMs(),
      bodyTimeout: progress.remainingMs(),
      signal: callScope.signal()
    })
    const text = await answer.body.text()
    if (answer.statusCode !== 200) return { kind: 'refused', message: `status ${answer.statusCode}` }
    const parsed = scoreReplySchema.safeParse(JSON.parse(text))
    return parsed.success ? { kind: 'scored', score: parsed.data.score } : { kind: 'failed', message: 'malformed response of the scoring service' }
  } catch (error) {
    progress.scope.throwIfClosed()
    return { kind: 'failed', message: String(error) }
  } finally {
    callScope.close('call over')
  }
}

export interface ScoreTask {
  pool: string
  priorityClass: string
  callerName: string
  prompt: string
  tokens: string[]
}

export class SampleScorer {
  private readonly _context: RolloutContext
  private readonly _call: ScoreCall

  constructor (context: RolloutContext) {
    this._context = context
    this._call = context.scoreCall ?? scoreOverHttp
  }

  /** @returns undefined when the deadline passed first */
  async score (task: ScoreTask, progress: Progress): Promise<number | undefined> {
    const excludedEndpointIds: string[] = []
    for (let backoffMs = INITIAL_BACKOFF_MS; !progress.isPastDeadline(); backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS)) {
      const outcome = await this._attempt(task, excludedEndpointIds, progress)
      if (outcome.kind === 'scored') return outcome.score
      this._context.logger.event(RolloutEvent.ScoringFailed, { pool: task.pool, message: outcome.message })
      const waitMs = outcome.kind === 'refused' ? Math.max(backoffMs, outcome.retryAfterMs ?? 0) : backoffMs
      await sleepUntil(progress.clock, progress.scope, Math.min(progress.deadlineMs, progress.clock.nowMs() + waitMs * (0.5 + this._context.random.real())))
    }
    return undefined
  }

  private async _attempt (task: ScoreTask, excludedEndpointIds: string[], progress: Progress): Promise<ScoreOutcome & { retryAfterMs?: number }> {
    const assigned = await this._context.scheduler.assign(toItem(task, excludedEndpointIds), progress)
    if (assigned.kind === 'refused') {
      // Every service of the pool has been tried, so all of them are candidates again.
      if (assigned.reason === RefusalReason.NoEndpoint) excludedEndpointIds.length = 0
      return { kind: 'refused', message: assigned.message, retryAfterMs: assigned.retryAfterMs }
    }
    const outcome = await this._callEndpoint(assigned.assignment, task, progress)
    if (outcome.kind === 'scored') return outcome
    excludedEndpointIds.push(assigned.assignment.endpoint.announcement.endpointId)
    this._context.scheduler.takeRetry(task.pool, outcome.kind === 'refused' ? RetryReason.EndpointRefused : RetryReason.EndpointError)
    return outcome
  }

  private async _callEndpoint (assignment: Assignment, { prompt, tokens }: ScoreTask, progress: Progress): Promise<ScoreOutcome> {
    const { clock } = this._context
    const startedAtMs = clock.nowMs()
    let outcome: ScoreOutcome | undefined
    try {
      outcome = await this._call(assignment.endpoint.announcement.url, { prompt, tokens }, progress.withDeadline(startedAtMs + SCORE_CALL_TIMEOUT_MS))
      return outcome
    } finally {
      const durationMs = clock.nowMs() - startedAtMs
      if (outcome === undefined) assignment.finish({ kind: 'cancelled' })
      else if (outcome.kind === 'scored') assignment.finish({ kind: 'succeeded', tokensCount: 1, durationMs })
      else assignment.finish({ kind: outcome.kind })
    }
  }
}

function toItem ({ pool, callerName, priorityClass, prompt }: ScoreTask, excludedEndpointIds: string[]): WorkItem {
  return { pool, callerName, priorityClass, bodyBytes: prompt.length, expectedTokensCount: 1, excludedEndpointIds: [...excludedEndpointIds] }
}
