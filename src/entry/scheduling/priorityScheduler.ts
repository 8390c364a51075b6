/**
 * The scheduler of an entry host: checks a request against configuration and
 * caller limits and hands it to the scheduler of its pool.
 */
import { ResourceKind } from '../../protocol/resources.js'
import { RefusalReason } from '../../protocol/refusals.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Progress } from '../../utils/progress.js'
import { CallerLimits } from './callerLimits.js'
import { DecisionLog } from './decisionLog.js'
import { PoolScheduler } from './poolScheduler.js'
import type { AssignOutcome, Scheduler, WorkItem } from './scheduler.js'
import type { SchedulerParts } from './schedulerParts.js'
import { retryAfterMs } from './waitForecast.js'

export type { SchedulerParts }

class PriorityScheduler implements Scheduler {
  private readonly _parts: SchedulerParts
  private readonly _limits: CallerLimits
  private readonly _decisions = new DecisionLog()
  private readonly _pools = new Map<string, PoolScheduler>()

  constructor (parts: SchedulerParts) {
    this._parts = parts
    this._limits = new CallerLimits(parts.clock, parts.configuration)
  }

  /** Pumps pools when endpoints, or the configuration, change. */
  follow (): void {
    const { directory, configuration, scope } = this._parts
    const fail = (error: Error): void => { throw error }
    const watching = [
      directory.changes.subscribe({
        next: change => this._pools.get(change.kind === 'put' ? change.record.announcement.pool : change.pool)?.pump(),
        error: fail,
        complete: () => {}
      }),
      configuration.changes.subscribe({ next: () => this._pumpAll(), error: fail, complete: () => {} })
    ]
    scope.onClose(() => watching.forEach(subscription => subscription.unsubscribe()))
  }

  async assign (item: WorkItem, progress: Progress): Promise<AssignOutcome> {
    progress.scope.throwIfClosed()
    const refusal = this._unknownNames(item) ?? this._overLimit(item)
    if (refusal) return this._recorded(item, refusal)
    return await this._poolOf(item.pool).assign(item, progress, () => this._limits.leave(item.callerName))
  }

  takeRetry (pool: string, reason: Parameters<Scheduler['takeRetry']>[1]): boolean {
    if (!this._parts.configuration.get(ResourceKind.EndpointPool, pool)) return false
    const taken = this._poolOf(pool).retryBudget.take()
    if (taken) this._parts.metrics.count(MetricName.RequestRetried, { reason, pool })
    return taken
  }

  explain (requestId: string): ReturnType<DecisionLog['explain']> {
    return this._decisions.explain(requestId)
  }

  private _unknownNames (item: WorkItem): AssignOutcome | undefined {
    const { configuration } = this._parts
    if (!configuration.get(ResourceKind.EndpointPool, item.pool)) {
      return { kind: 'refused', reason: RefusalReason.UnknownPool, message: `no pool is named ${item.pool}` }
    }
    if (configuration.get(ResourceKind.PriorityClass, item.priorityClass)) return undefined
    return { kind: 'refused', reason: RefusalReason.UnknownPriorityClass, message: `no priority class is named ${item.priorityClass}` }
  }

  private _overLimit (item: WorkItem): AssignOutcome | undefined {
    const isRetry = item.excludedEndpointIds.length > 0
    const outcome = this._limits.enter(item.callerName, isRetry)
    if (outcome.kind === 'admitted') return undefined
    return {
      kind: 'refused',
      reason: RefusalReason.CallerLimit,
      message: outcome.message,
      retryAfterMs: retryAfterMs(outcome.retryAfterMs, this._parts.random)
    }
  }

  private _recorded (item: WorkItem, outcome: AssignOutcome): AssignOutcome {
    if (outcome.kind !== 'refused') return outcome
    const { reason, message } = outcome
    this._decisions.record(item.requestId, { kind: 'refused', atMs: this._parts.clock.nowMs(), reason, message })
    return outcome
  }

  private _poolOf (pool: string): PoolScheduler {
    const known = this._pools.get(pool)
    if (known) return known
    const created = new PoolScheduler(this._parts, pool, this._decisions)
    this._pools.set(pool, created)
    return created
  }

  private _pumpAll (): void {
    for (const pool of this._pools.values()) pool.pump()
  }
}

export function createScheduler (parts: SchedulerParts): Scheduler & Required<Pick<Scheduler, 'explain'>> {
  const scheduler = new PriorityScheduler(parts)
  scheduler.follow()
  return scheduler
}
