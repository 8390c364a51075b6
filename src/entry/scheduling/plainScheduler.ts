/**
 * The plain policy, kept as the baseline that others are measured against:
 * one bounded first-in-first-out queue for each pool, and the endpoint with the
 * least load, as reported and corrected by what this host sent since.
 */
import type { ConfigurationView } from '../../controlClient/controlClient.js'
import { RefusalReason, type RetryReason } from '../../protocol/refusals.js'
import { ResourceKind } from '../../protocol/resources.js'
import type { Clock } from '../../utils/clock.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import type { Progress } from '../../utils/progress.js'
import type { EndpointDirectory, EndpointRecord } from '../directory/endpointRecord.js'
import type { AssignOutcome, Assignment, Scheduler, WorkItem } from './scheduler.js'

const DEFAULT_MAX_QUEUED_COUNT = 1_000
const DEFAULT_MAX_QUEUED_BYTES = 64 * 1024 * 1024
const DEFAULT_MAX_CONCURRENT_COUNT = 32
const RETRY_PERCENT = 20
const MIN_RETRIES_COUNT = 10
const MAX_RETRIES_COUNT = 100

interface Waiting {
  item: WorkItem
  resolve: (outcome: AssignOutcome) => void
  /** The outcome has reached the one who waits. */
  isTaken: boolean
}

interface PoolState {
  queue: Waiting[]
  queuedBytes: number
  retriesLeftCount: number
  /** Instants of the tries that run, by endpoint. */
  running: Map<string, Set<number>>
}

export class PlainScheduler implements Scheduler {
  private readonly _directory: EndpointDirectory
  private readonly _configuration: ConfigurationView
  private readonly _clock: Clock
  private readonly _metrics: Metrics
  private readonly _pools = new Map<string, PoolState>()

  constructor (directory: EndpointDirectory, configuration: ConfigurationView, clock: Clock, metrics: Metrics) {
    this._directory = directory
    this._configuration = configuration
    this._clock = clock
    this._metrics = metrics
    directory.changes.observe(change => {
      this._serveQueue(change.kind === 'put' ? change.record.announcement.pool : change.pool)
    }).catch(() => {})
  }

  async assign (item: WorkItem, progress: Progress): Promise<AssignOutcome> {
    const state = this._state(item.pool)
    state.retriesLeftCount = Math.min(MAX_RETRIES_COUNT, state.retriesLeftCount + RETRY_PERCENT / 100)
    const refused = this._refusalOf(item, state)
    if (refused) return refused
    const now = state.queue.length === 0 ? this._tryAssign(item, state) : undefined
    if (now) return now
    if (item.onlyWhenIdle) return { kind: 'refused', reason: RefusalReason.NoEndpoint, message: 'no endpoint is idle' }
    return await this._wait(item, state, progress)
  }

  takeRetry (pool: string, reason: RetryReason): boolean {
    const state = this._state(pool)
    if (state.retriesLeftCount < 1) return false
    state.retriesLeftCount--
    this._metrics.count(MetricName.RequestRetried, { reason })
    return true
  }

  private async _wait (item: WorkItem, state: PoolState, progress: Progress): Promise<AssignOutcome> {
    const waiting: Waiting = { item, resolve: () => {}, isTaken: false }
    const assigned = new Promise<AssignOutcome>(resolve => { waiting.resolve = resolve })
    state.queue.push(waiting)
    state.queuedBytes += item.bodyBytes
    try {
      const raced = await progress.race(assigned)
      waiting.isTaken = raced.kind === 'done'
      if (raced.kind === 'done') return raced.value
      return { kind: 'refused', reason: RefusalReason.DeadlinePassed, message: 'the deadline passed in the queue' }
    } finally {
      this._leaveQueue(waiting, state, assigned)
    }
  }

  private _leaveQueue (waiting: Waiting, state: PoolState, assigned: Promise<AssignOutcome>): void {
    const index = state.queue.indexOf(waiting)
    if (index >= 0) {
      state.queue.splice(index, 1)
      state.queuedBytes -= waiting.item.bodyBytes
    } else if (!waiting.isTaken) {
      // It was assigned in the very moment in which nobody waited any more.
      assigned.then(outcome => {
        if (outcome.kind === 'assigned') outcome.assignment.finish({ kind: 'cancelled' })
      }).catch(() => {})
    }
  }

  private _refusalOf (item: WorkItem, state: PoolState): AssignOutcome | undefined {
    const spec = this._configuration.get(ResourceKind.EndpointPool, item.pool)?.spec
    if (this._candidates(item).length === 0) {
      return { kind: 'refused', reason: RefusalReason.NoEndpoint, message: `pool ${item.pool} has no endpoint for this request` }
    }
    const full = state.queue.length >= (spec?.maxQueuedCount ?? DEFAULT_MAX_QUEUED_COUNT) ||
      state.queuedBytes + item.bodyBytes > (spec?.maxQueuedBytes ?? DEFAULT_MAX_QUEUED_BYTES)
    if (full) return { kind: 'refused', reason: RefusalReason.QueueFull, message: `the queue of pool ${item.pool} is full` }
    return undefined
  }

  private _candidates (item: WorkItem): EndpointRecord[] {
    const { minWeightVersion, excludedEndpointIds } = item
    return this._directory.available(item.pool).filter(({ announcement }) => {
      const freshEnough = minWeightVersion === undefined || (announcement.weightVersion ?? 0) >= minWeightVersion
      return freshEnough && !excludedEndpointIds.includes(announcement.endpointId)
    })
  }

  private _tryAssign (item: WorkItem, state: PoolState): AssignOutcome | undefined {
    const maxCount = this._configuration.get(ResourceKind.EndpointPool, item.pool)?.spec.maxConcurrentCount ?? DEFAULT_MAX_CONCURRENT_COUNT
    let best: EndpointRecord | undefined
    let bestLoad = Infinity
    for (const endpoint of this._candidates(item)) {
      const running = state.running.get(endpoint.announcement.endpointId)
      if ((running?.size ?? 0) >= Math.min(maxCount, endpoint.announcement.maxConcurrentCount)) continue
      const load = correctedLoad(endpoint, running)
      if (item.onlyWhenIdle && load > 0) continue
      if (load >= bestLoad) continue
      best = endpoint
      bestLoad = load
    }
    return best && { kind: 'assigned', assignment: this._assignment(best, state, item.pool) }
  }

  private _assignment (endpoint: EndpointRecord, state: PoolState, pool: string): Assignment {
    const { endpointId } = endpoint.announcement
    const running = state.running.get(endpointId) ?? new Set()
    state.running.set(endpointId, running)
    let startedAtMs = this._clock.nowMs()
    // Two tries of one instant must stay two.
    while (running.has(startedAtMs)) startedAtMs += 0.001
    running.add(startedAtMs)
    return {
      endpoint,
      finish: () => {
        running.delete(startedAtMs)
        if (running.size === 0) state.running.delete(endpointId)
        this._serveQueue(pool)
      }
    }
  }

  private _serveQueue (pool: string): void {
    const state = this._pools.get(pool)
    if (!state) return
    for (let first = state.queue[0]; first; first = state.queue[0]) {
      const outcome = this._candidates(first.item).length === 0
        ? { kind: 'refused' as const, reason: RefusalReason.NoEndpoint, message: `pool ${pool} has no endpoint left` }
        : this._tryAssign(first.item, state)
      if (!outcome) return
      state.queue.shift()
      state.queuedBytes -= first.item.bodyBytes
      first.resolve(outcome)
    }
  }

  private _state (pool: string): PoolState {
    let state = this._pools.get(pool)
    if (!state) {
      state = { queue: [], queuedBytes: 0, retriesLeftCount: MIN_RETRIES_COUNT, running: new Map() }
      this._pools.set(pool, state)
    }
    return state
  }
}

function correctedLoad ({ announcement, loadAtMs }: EndpointRecord, running: Set<number> | undefined): number {
  let sentSinceCount = 0
  for (const startedAtMs of running ?? []) {
    if (startedAtMs > loadAtMs) sentSinceCount++
  }
  return announcement.load.runningCount + announcement.load.waitingCount + sentSinceCount
}
