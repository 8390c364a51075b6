/**
 * The scheduler of an entry host. It checks a request against the configuration
 * and the caller limits, and passes it to the scheduler of its pool.
 */
import { ResourceKind } from '../../protocol/resources.js'
import { RefusalReason } from '../../protocol/refusals.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Progress } from '../../utils/progress.js'
import { CallerLimits } from './callerLimits.js'
import { DecisionLog } from './decisionLog.js'
import { PoolScheduler } from './poolScheduler.js'
import type { AssignOutcome, Scheduler, WorkItem } from './scheduler.js'
import type { SchedulerOptions } from './schedulerOptions.js'
import { retryAfterMs } from './waitForecast.js'

export type { SchedulerOptions }

class PriorityScheduler implements Scheduler {
  private readonly _options: SchedulerOptions
  private readonly _callerLimits: CallerLimits
  private readonly _decisions = new DecisionLog()
  private readonly _pools = new Map<string, PoolScheduler>()

  constructor (options: SchedulerOptions) {
    this._options = options
    this._callerLimits = new CallerLimits(options.clock, options.configuration)
  }

  /** Dispatches queued requests when endpoints or the configuration change. */
  subscribe (): void {
    const { directory, configuration, scope } = this._options
    const fail = (error: Error): void => { throw error }
    const subscriptions = [
      directory.changes.subscribe({
        next: change => this._pools.get(change.kind === 'put' ? change.record.announcement.pool : change.pool)?.dispatchWaiting(),
        error: fail,
        complete: () => {}
      }),
      configuration.changes.subscribe({ next: () => this._dispatchAll(), error: fail, complete: () => {} })
    ]
    scope.onClose(() => subscriptions.forEach(subscription => subscription.unsubscribe()))
  }

  async assign (item: WorkItem, progress: Progress): Promise<AssignOutcome> {
    progress.scope.throwIfClosed()
    const refusal = this._refusalForUnknownNames(item) ?? this._refusalForCallerLimit(item)
    if (refusal) return this._recordRefusal(item, refusal)
    return await this._poolOf(item.pool).assign(item, progress, () => this._callerLimits.leave(item.callerName))
  }

  takeRetry (pool: string, reason: Parameters<Scheduler['takeRetry']>[1]): boolean {
    if (!this._options.configuration.get(ResourceKind.EndpointPool, pool)) return false
    const isTaken = this._poolOf(pool).retryBudget.tryWithdraw()
    if (isTaken) this._options.metrics.count(MetricName.RequestRetried, { reason, pool })
    return isTaken
  }

  explain (requestId: string): ReturnType<DecisionLog['explain']> {
    return this._decisions.explain(requestId)
  }

  private _refusalForUnknownNames (item: WorkItem): AssignOutcome | undefined {
    const { configuration } = this._options
    if (!configuration.get(ResourceKind.EndpointPool, item.pool)) {
      return { kind: 'refused', reason: RefusalReason.UnknownPool, message: `unknown pool ${item.pool}` }
    }
    if (configuration.get(ResourceKind.PriorityClass, item.priorityClass)) return undefined
    return { kind: 'refused', reason: RefusalReason.UnknownPriorityClass, message: `unknown priority class ${item.priorityClass}` }
  }

  private _refusalForCallerLimit (item: WorkItem): AssignOutcome | undefined {
    const isRetry = item.excludedEndpointIds.length > 0
    const outcome = this._callerLimits.enter(item.callerName, isRetry)
    if (outcome.kind === 'admitted') return undefined
    return {
      kind: 'refused',
      reason: RefusalReason.CallerLimit,
      message: outcome.message,
      retryAfterMs: retryAfterMs(outcome.retryAfterMs, this._options.random)
    }
  }

  private _recordRefusal (item: WorkItem, outcome: AssignOutcome): AssignOutcome {
    if (outcome.kind !== 'refused') return outcome
    const { reason, message } = outcome
    this._decisions.record(item.requestId, { kind: 'refused', atMs: this._options.clock.nowMs(), reason, message })
    return outcome
  }

  private _poolOf (pool: string): PoolScheduler {
    const known = this._pools.get(pool)
    if (known) return known
    const created = new PoolScheduler(this._options, pool, this._decisions)
    this._pools.set(pool, created)
    return created
  }

  private _dispatchAll (): void {
    for (const pool of this._pools.values()) pool.dispatchWaiting()
  }
}

export function createScheduler (options: SchedulerOptions): Scheduler & Required<Pick<Scheduler, 'explain'>> {
  const scheduler = new PriorityScheduler(options)
  scheduler.subscribe()
  return scheduler
}
