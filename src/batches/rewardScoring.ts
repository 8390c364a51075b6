/**
 * Scores a sample whose text is whole, by its reward call: asked again until
 * there is a score, the call was failed as often as its route allows, or
 * endpoints end under it and the item may be given up.
 */
import type { ForwardOutcome, RequestForwarder } from '../gateway/requestForwarder.js'
import type { RewardCall } from '../protocol/batches.js'
import { RefusalReason } from '../protocol/refusals.js'
import type { RoutingRoute } from '../protocol/routing.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { LogFields } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'

/** One try of the reward call, with its retries: the longest of both sites takes a tenth of this. */
const REWARD_TIMEOUT_MS = 2_000
const RETRY_PAUSE_MS = 50
/** A call under which endpoints end goes to none of them: whether it was lifted is looked at this often. */
const QUARANTINED_PAUSE_MS = 1_000
const HTTP_OK_MIN = 200
const HTTP_OK_MAX = 299

export type RewardScore =
  /** The receipt of the endpoint that scored it. */
  | { kind: 'scored', receipt: string }
  /** No further call is allowed. */
  | { kind: 'lost' }

export interface RewardScoringOptions {
  clock: Clock
  metrics: Metrics
  forwarder: RequestForwarder
  /** The route of a request, in the routing configuration of the moment. */
  routeOf: (host: string, path: string) => RoutingRoute | undefined
  /** Told of every call that has ended. */
  onCalled: (fields: LogFields) => void
}

export class RewardScoring {
  private readonly _options: RewardScoringOptions

  constructor (options: RewardScoringOptions) {
    this._options = options
  }

  /** @param abandonAtMs from then on a call that is sent to no endpoint is given up */
  async score (reward: RewardCall, abandonAtMs: number, scope: Scope): Promise<RewardScore> {
    const { clock, routeOf } = this._options
    let failuresCount = 0
    for (;;) {
      const route = routeOf(reward.host, reward.path)
      const outcome = route && await this._call(reward, route, scope)
      if (outcome?.kind === 'answered') {
        const receipt = receiptOf(outcome)
        if (receipt !== undefined) return { kind: 'scored', receipt }
        failuresCount += outcome.failedAnswersCount
      }
      const isWithheld = isQuarantined(outcome)
      const hasExhaustedAttempts = route !== undefined && failuresCount >= route.maxAttemptsCount
      if (hasExhaustedAttempts || (isWithheld && clock.nowMs() >= abandonAtMs)) return { kind: 'lost' }
      await sleepUntil(clock, scope, clock.nowMs() + (isWithheld ? QUARANTINED_PAUSE_MS : RETRY_PAUSE_MS))
    }
  }

  private async _call (reward: RewardCall, route: RoutingRoute, scope: Scope): Promise<ForwardOutcome> {
    const { clock, forwarder, metrics, onCalled } = this._options
    const outcome = await forwarder.forward({
      route,
      method: 'POST',
      path: reward.path,
      host: reward.host,
      headers: [],
      body: reward.body,
      attemptId: reward.rewardId,
      progress: new Progress(clock, scope, clock.nowMs() + REWARD_TIMEOUT_MS),
      isPersistent: true
    })
    metrics.count(MetricName.RewardCalled, { outcome: outcome.kind })
    const details = outcome.kind === 'answered' ? { status: outcome.status, failedAnswersCount: outcome.failedAnswersCount } : { reason: outcome.reason }
    onCalled({ rewardId: reward.rewardId, outcome: outcome.kind, ...details })
    return outcome
  }
}

function isQuarantined (outcome: ForwardOutcome | undefined): boolean {
  return outcome?.kind === 'refused' && outcome.reason === RefusalReason.Quarantined
}

/** That of a success. */
function receiptOf ({ status, receipt }: Extract<ForwardOutcome, { kind: 'answered' }>): string | undefined {
  return status >= HTTP_OK_MIN && status <= HTTP_OK_MAX ? receipt : undefined
}
