/**
 * Scores samples by the plain services of a pool. A call may be repeated; the
 * tokens of a sample are never thrown away because its score is late.
 */
import { request } from 'undici'
import { SCORE_PATH, scoreReplySchema, type ScoreRequest } from '../../protocol/endpoints.js'
import { RefusalReason, RetryReason } from '../../protocol/refusals.js'
import { sleepUntil } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import type { Assignment, WorkItem } from '../scheduling/scheduler.js'
import { RolloutEvent } from './rolloutEvents.js'
import type { RolloutParts } from './rolloutParts.js'

const SCORE_CALL_MS = 30_000
const FIRST_PAUSE_MS = 100
const MAX_PAUSE_MS = 5_000

export type ScoreOutcome =
  | { kind: 'scored', score: number }
  /** The service is there, but did not score. */
  | { kind: 'refused', message: string }
  | { kind: 'failed', message: string }

export type ScoreCall = (url: string, body: ScoreRequest, progress: Progress) => Promise<ScoreOutcome>

export const scoreOverHttp: ScoreCall = async (url, body, progress) => {
  const callScope = progress.scope.child('score')
  try {
    const answer = await request(url + SCORE_PATH, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      headersTimeout: progress.remainingMs(),
      bodyTimeout: progress.remainingMs(),
      signal: callScope.signal()
    })
    const text = await answer.body.text()
    if (answer.statusCode !== 200) return { kind: 'refused', message: `status ${answer.statusCode}` }
    const parsed = scoreReplySchema.safeParse(JSON.parse(text))
    return parsed.success ? { kind: 'scored', score: parsed.data.score } : { kind: 'failed', message: 'malformed score' }
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
  private readonly _parts: RolloutParts
  private readonly _call: ScoreCall

  constructor (parts: RolloutParts) {
    this._parts = parts
    this._call = parts.scoreCall ?? scoreOverHttp
  }

  /** @returns undefined when the deadline passed first */
  async score (task: ScoreTask, progress: Progress): Promise<number | undefined> {
    const excludedEndpointIds: string[] = []
    for (let pauseMs = FIRST_PAUSE_MS; !progress.isOver(); pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS)) {
      const outcome = await this._try(task, excludedEndpointIds, progress)
      if (outcome.kind === 'scored') return outcome.score
      this._parts.logger.event(RolloutEvent.ScoringFailed, { pool: task.pool, message: outcome.message })
      const waitMs = outcome.kind === 'refused' ? Math.max(pauseMs, outcome.retryAfterMs ?? 0) : pauseMs
      await sleepUntil(progress.clock, progress.scope, Math.min(progress.deadlineMs, progress.clock.nowMs() + waitMs * (0.5 + this._parts.random.real())))
    }
    return undefined
  }

  private async _try (task: ScoreTask, excludedEndpointIds: string[], progress: Progress): Promise<ScoreOutcome & { retryAfterMs?: number }> {
    const assigned = await this._parts.scheduler.assign(toItem(task, excludedEndpointIds), progress)
    if (assigned.kind === 'refused') {
      // Every service of the pool has been tried: begin again with all of them.
      if (assigned.reason === RefusalReason.NoEndpoint) excludedEndpointIds.length = 0
      return { kind: 'refused', message: assigned.message, retryAfterMs: assigned.retryAfterMs }
    }
    const outcome = await this._callOn(assigned.assignment, task, progress)
    if (outcome.kind === 'scored') return outcome
    excludedEndpointIds.push(assigned.assignment.endpoint.announcement.endpointId)
    this._parts.scheduler.takeRetry(task.pool, outcome.kind === 'refused' ? RetryReason.EndpointRefused : RetryReason.EndpointError)
    return outcome
  }

  private async _callOn (assignment: Assignment, { prompt, tokens }: ScoreTask, progress: Progress): Promise<ScoreOutcome> {
    const { clock } = this._parts
    const startedAtMs = clock.nowMs()
    let outcome: ScoreOutcome | undefined
    try {
      outcome = await this._call(assignment.endpoint.announcement.url, { prompt, tokens }, progress.before(startedAtMs + SCORE_CALL_MS))
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
