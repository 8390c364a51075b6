/**
 * Scores a sample with complete text by its reward call. The call is repeated until
 * there is a score, until it has failed as often as its route allows, or until this
 * host no longer holds the lease on the item. It is owed with its item: endpoints that
 * end under it do not withhold it.
 */
import type { ForwardOutcome } from '../gateway/forwardRequest.js'
import type { RequestForwarder } from '../gateway/requestForwarder.js'
import type { RewardCall } from '../protocol/batches.js'
import type { RoutingRoute } from '../protocol/routing.js'
import type { RewardScore } from '../protocol/runnerTasks.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'

/** Time limit for one reward call with its retries; the longest calls of both known deployments take a tenth of this limit. */
const REWARD_TIMEOUT_MS = 2_000
const RETRY_PAUSE_MS = 50
const HTTP_OK_MIN = 200
const HTTP_OK_MAX = 299

export interface RewardScoringOptions {
  clock: Clock
  metrics: Metrics
  forwarder: RequestForwarder
  /** The route of a request in the current routing configuration. */
  routeOf: (host: string, path: string) => RoutingRoute | undefined
}

export class RewardScoring {
  private readonly _options: RewardScoringOptions

  constructor (options: RewardScoringOptions) {
    this._options = options
  }

  /** @param holdsLease whether no other host may make the call; asked before every try */
  async score (reward: RewardCall, scope: Scope, holdsLease: () => boolean): Promise<RewardScore> {
    const { clock, routeOf } = this._options
    let failuresCount = 0
    for (;;) {
      if (!holdsLease()) return { kind: 'interrupted', reason: 'the lease has ended' }
      const route = routeOf(reward.host, reward.path)
      const outcome = route && await this._call(reward, route, scope, holdsLease)
      if (outcome?.kind === 'answered') {
        const receipt = receiptOf(outcome)
        if (receipt !== undefined) return { kind: 'scored', receipt }
        failuresCount += outcome.failedAnswersCount
      }
      if (route !== undefined && failuresCount >= route.maxAttemptsCount) return { kind: 'lost' }
      await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
    }
  }

  private async _call (reward: RewardCall, route: RoutingRoute, scope: Scope, holdsLease: () => boolean): Promise<ForwardOutcome> {
    const { clock, forwarder, metrics } = this._options
    const outcome = await forwarder.forward({
      route,
      method: 'POST',
      path: reward.path,
      host: reward.host,
      headers: [],
      body: reward.body,
      attemptId: reward.rewardId,
      progress: new Progress(clock, scope, clock.nowMs() + REWARD_TIMEOUT_MS),
      mayTry: holdsLease,
      isPersistent: true,
      isOwed: true
    })
    metrics.count(MetricName.RewardCalled, { outcome: outcome.kind })
    return outcome
  }
}

/** The receipt of a successful answer. */
function receiptOf ({ status, receipt }: Extract<ForwardOutcome, { kind: 'answered' }>): string | undefined {
  return status >= HTTP_OK_MIN && status <= HTTP_OK_MAX ? receipt : undefined
}
