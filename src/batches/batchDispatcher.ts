/**
 * Runs the items of all open batches while this host leads the batch store.
 * Every item is a task that waits for a slot of an engine.
 */
import type { EndpointPool } from '../endpoints/endpointPool.js'
import type { FleetView } from '../fleet/fleetView.js'
import type { RequestQuarantine } from '../quarantine/requestQuarantine.js'
import { ResultState, type BatchItem, type ItemResult } from '../protocol/batches.js'
import type { SupplyNeed } from '../engineSupply/supplyPlan.js'
import type { RoutingRoute, RoutingService } from '../protocol/routing.js'
import type { Replica } from '../replication/log/replica.js'
import type { Clock } from '../utils/clock.js'
import { everySecond } from '../utils/everySecond.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { ProcessorMeter } from '../utils/processorWatch.js'
import type { Progress } from '../utils/progress.js'
import type { RandomSource } from '../utils/randomSource.js'
import type { Scope } from '../utils/scope.js'
import type { Supervisor } from '../utils/supervisor.js'
import type { Batch } from './batch.js'
import { BatchEvent } from './batchEvents.js'
import { itemKeyOf, type BatchState } from './batchState.js'
import { EngineFleet } from '../batchScheduling/engineFleet.js'
import type { BatchTimes } from '../batchScheduling/schedulableItem.js'
import type { BatchAges } from './batchTimes.js'
import type { ItemExecutor } from './itemExecutor.js'
import { ItemRun, type ItemRunOptions } from './itemRun.js'
import { ItemOutput } from './itemOutput.js'
import { ModelDemand } from '../batchScheduling/modelDemand.js'
import { PlanReports } from './planReports.js'
import { SharedItems } from './sharedItems.js'
import { PlacementSelector } from './placementSelector.js'
import { SlotAssignment } from '../batchScheduling/slotAssignment.js'
import { StepReports, type ReportedStep } from './stepReports.js'
import { workForecastOf } from './workForecast.js'

/** Outputs of unfinished items of ended batches that are kept for a later batch with the same items. */
const MAX_CARRIED_OVER_OUTPUTS_COUNT = 2_000
/** Shortest time between two log lines about overload. */
const OVERLOAD_LOG_INTERVAL_MS = 1_000
/** Longest wait for events that other hosts hold, so that a host that does not answer leaves time for the handover. */
const FLUSH_TIMEOUT_MS = 250
/** Decimal places of cores in log lines. */
const CORES_DIGITS = 2
/** Steps of a model that are open at the same time: the earlier step still waits for its long samples. */
const STEPS_OPEN_COUNT = 2

export interface BatchDispatcherOptions {
  clock: Clock
  random: RandomSource
  logger: Logger
  metrics: Metrics
  /** Runs items and scores their outputs. */
  executor: ItemExecutor
  /** The route of a request in the current routing configuration. */
  routeOf: (host: string, path: string) => RoutingRoute | undefined
  quarantine: RequestQuarantine
  pool: EndpointPool
  view: FleetView
  replica: Replica
  state: BatchState
  /** Records when this replica received each batch. */
  ages: BatchAges
  supervisor: Supervisor
}

interface TrackedBatch extends ReportedStep {
  supervisor: Supervisor
}

export class BatchDispatcher {
  readonly engines: EngineFleet
  readonly demand: ModelDemand
  private readonly _options: BatchDispatcherOptions
  private readonly _tracked = new Map<string, TrackedBatch>()
  private readonly _carriedOverOutputs = new Map<string, ItemOutput>()
  private readonly _seenItemKeys = new Set<string>()
  private readonly _runs = new Set<ItemRun>()
  private readonly _shared: SharedItems
  private readonly _placements: PlacementSelector
  private readonly _slots: SlotAssignment
  private readonly _reports: StepReports<ItemRun>
  private _overloadLoggedAtMs = Number.NEGATIVE_INFINITY

  constructor (options: BatchDispatcherOptions) {
    this._options = options
    this.engines = new EngineFleet(options.pool, options.clock)
    this.demand = new ModelDemand(options.clock)
    const { clock, random, view, logger, metrics, routeOf } = options
    this._shared = new SharedItems({ clock, logger })
    this._placements = new PlacementSelector({ view, engines: this.engines, random, routeOf })
    const planReports = new PlanReports({ clock, logger, metrics })
    this._slots = new SlotAssignment({ onPlan: plans => planReports.report(plans), clock, view, engines: this.engines, demand: this.demand, runs: this._runs, placementOf: run => this._placements.placementOf(run), onTurn: (latenessMs, waitingCount) => this._recordTurn(latenessMs, waitingCount) })
    this._reports = new StepReports({ clock, logger, metrics, steps: () => [...this._tracked.values()], items: () => this._runs, waitReasonOf: run => this._slots.waitReasonOf(run) })
  }

  /** The open batches that this host runs. */
  batches (): Batch[] {
    return [...this._tracked.values()].map(({ batch }) => batch)
  }

  /** The lowest version that the engines of a model need for all open batches of the model; 0 without an open batch. */
  neededVersion (model: string): number {
    const versions = this.batches().filter(({ submission }) => submission.model === model).map(({ submission }) => submission.minVersion)
    return Math.max(0, ...versions)
  }

  /** Priority of the most urgent open batch of a model; undefined without an open batch. */
  priorityOf (model: string): number | undefined {
    const priorities = this.batches().filter(({ submission }) => submission.model === model).map(({ submission }) => submission.priority ?? 0)
    return priorities.length === 0 ? undefined : Math.min(...priorities)
  }

  /** Number of items of a model that wait for a slot. */
  waitingCount (model: string): number {
    return this._slots.waitingCount(model)
  }

  /** Demand of the steps of a service's models; `itemsCount` is undefined until a step of each model was seen. */
  supplyNeedOf ({ name, engine }: RoutingService): SupplyNeed {
    const counts = engine?.models.map(model => this.demand.stepItemsCount(model)) ?? []
    const isKnown = counts.every(count => count !== undefined)
    const itemsCount = isKnown ? STEPS_OPEN_COUNT * counts.reduce((sum, count) => sum + count, 0) : undefined
    const forecast = workForecastOf(this.engines.ofService(name), engine?.models ?? [], this.demand, this._slots.openWorkMs(name))
    return { itemsCount, slotsCount: engine?.slotsCount ?? 1, ...(forecast ? { forecast } : {}) }
  }

  /** Starts and stops items as batches are submitted and end, until the scope closes. */
  async run (scope: Scope): Promise<void> {
    const { clock, replica, view } = this._options
    this._options.logger.event(BatchEvent.DispatchStarted, { term: replica.core.term, openBatchesCount: this._options.state.open().length })
    scope.onClose(view.onChange(() => {
      this._syncTracked()
      this._slots.moveFromLeavingEngines()
      this._slots.assign()
    }))
    scope.onClose(() => this._options.logger.event(BatchEvent.DispatchEnded, { reason: scope.closeReason ?? '' }))
    this._options.supervisor.spawn('slots', slotsScope => this._slots.run(slotsScope))
    this._options.supervisor.spawn('step reports', reportsScope => this._reports.run(reportsScope))
    this._options.supervisor.spawn('load reports', reportsScope => this._reportLoad(reportsScope))
    for (;;) {
      this._syncTracked()
      await replica.applied.wait(scope, { clock, deadlineMs: clock.nowMs() + 1_000 })
    }
  }

  /** Whether the processor of this host is overloaded. */
  get isOverloaded (): boolean {
    return this._slots.isOverloaded
  }

  /** Writes all output that is not in the replicated state yet, so that the next leader can continue from it. */
  async replicateOutputs (progress: Progress): Promise<void> {
    const { clock, executor } = this._options
    await executor.flush(progress.withDeadline(clock.nowMs() + FLUSH_TIMEOUT_MS))
    await progress.race(Promise.all([...this._runs].map(run => run.replicateOutput(progress))))
  }

  /** Called when an engine has changed; assigns slots that have become free. */
  enginesChanged (): void {
    this._slots.assign()
  }

  /** Logs the load of this leader each second while batches are open. */
  private async _reportLoad (scope: Scope): Promise<void> {
    const { clock, logger, replica } = this._options
    const meter = new ProcessorMeter(clock)
    await everySecond(clock, scope, () => {
      const { cores, maxLoopDelayMs } = meter.read()
      const { maxCommitMs, ...counts } = replica.core.replicationStats.take()
      if (this._tracked.size === 0) return
      logger.event(BatchEvent.LeaderLoad, {
        cores: roundedTo(cores, CORES_DIGITS),
        maxLoopDelayMs: Math.round(maxLoopDelayMs),
        maxCommitMs: Math.round(maxCommitMs),
        ...counts,
        pendingProposalsCount: replica.pendingProposalsCount,
        itemsCount: this._runs.size
      })
    })
  }

  private _recordTurn (latenessMs: number, waitingCount: number): void {
    const { clock, logger, metrics } = this._options
    metrics.timing(MetricName.TurnLateMs, latenessMs)
    if (!this._slots.isOverloaded || clock.nowMs() < this._overloadLoggedAtMs + OVERLOAD_LOG_INTERVAL_MS) return
    this._overloadLoggedAtMs = clock.nowMs()
    logger.event(BatchEvent.Overloaded, { latenessMs: Math.round(latenessMs), waitingCount, itemsCount: this._runs.size })
  }

  private _syncTracked (): void {
    const { state, view } = this._options
    for (const [batchId, tracked] of this._tracked) {
      const { batch, supervisor } = tracked
      if (!batch.isEnded && state.get(batchId) === batch) continue
      this._logEnd(tracked)
      supervisor.scope.close('the batch has ended')
      this._tracked.delete(batchId)
    }
    // Batches start only with a routing configuration, which defines when items may be abandoned; a host that has just started receives it within seconds.
    if (!view.routing) return
    const added = state.open().filter(batch => !this._tracked.has(batch.batchId))
    if (added.length === 0) return
    // Slots are assigned only after all items were added, so that started and long items of any batch get their slots first.
    this._slots.assignAfter(() => {
      for (const batch of added) this._startBatch(batch)
    })
  }

  private _logEnd ({ batch, startedAtMs, dueAtMs }: TrackedBatch): void {
    const { clock, logger } = this._options
    const { submission, results, batchId } = batch
    const nowMs = clock.nowMs()
    const givenUpCount = results.filter(({ state }) => state === ResultState.Abandoned).length
    logger.event(BatchEvent.StepEnded, {
      batchId, model: submission.model, step: submission.step, openForMs: Math.round(nowMs - startedAtMs), dueInMs: Math.round(dueAtMs - nowMs), itemsCount: submission.itemsCount, listedCount: results.length, givenUpCount
    })
  }

  private _startBatch (batch: Batch): void {
    const { clock, supervisor: parent } = this._options
    const supervisor = parent.child(`batch ${batch.batchId}`)
    this.demand.recordStep(batch.submission, this._options.view.namedVersion(batch.submission.model))
    const batchPolicy = this._options.routeOf(batch.submission.host, batch.submission.path)?.batch
    const nowMs = clock.nowMs()
    const times = this._options.ages.timesOf(batch, batchPolicy)
    this._tracked.set(batch.batchId, { batch, supervisor, startedAtMs: nowMs, dueAtMs: times.dueAtMs })
    for (const item of batch.openItems()) this._startItem(batch, item, times, supervisor)
  }

  private _startItem (batch: Batch, item: BatchItem, times: BatchTimes, supervisor: Supervisor): void {
    const key = keyOf(batch, item)
    const resume = (): void => { if (!supervisor.scope.isClosed) this._startItem(batch, item, times, supervisor) }
    // A run for an earlier batch ends here, so that this one takes over its output.
    const turn = this._shared.take(key, { batch, item, resume })
    const { clock, logger, metrics, executor, quarantine, replica, routeOf } = this._options
    const options: ItemRunOptions = {
      clock,
      logger,
      metrics,
      executor,
      quarantine,
      replica,
      acquire: (run, deadlineMs, scope) => this._slots.acquire(run, deadlineMs, scope),
      markRemoved: endpointId => this._options.view.markRemoved(endpointId),
      release: (run, engine) => this._slots.release(run, engine),
      keepSlot: (run, engine) => this._slots.keep(run, engine),
      moveOf: (run, engine) => this._slots.moveOf(run, engine),
      onComplete: run => this._recordSample(run),
      tokensPerEvent: run => this._placements.placementOf(run)?.modelEngine?.tokensPerEvent ?? 1,
      enginesCount: run => this.engines.ofService(this._placements.placementOf(run)?.service ?? '').length,
      routeOf
    }
    const run = new ItemRun(options, batch, item, times, this._carriedOverOutputOf(batch, item), this._isCarriedOver(batch, item))
    this._seenItemKeys.add(key)
    const completed = this._completedResultOf(batch, item)
    this._runs.add(run)
    supervisor.spawn(`item ${item.itemId}`, async scope => {
      scope.onClose(() => {
        this._runs.delete(run)
        this._slots.releaseReservation(run)
        this._carryOverOutput(run)
        turn.end()
      })
      turn.begin(scope)
      await run.run(scope, completed)
    })
  }

  private _isCarriedOver (batch: Batch, item: BatchItem): boolean {
    return this._seenItemKeys.has(keyOf(batch, item)) || this._options.state.isCarriedOver(item.itemId, batch.submission.account)
  }

  private _recordSample ({ item, output, tokensPerEvent }: ItemRun): void {
    this.demand.recordSample(item.model, output.lastEventId, item.expectedTokensCount / tokensPerEvent)
  }

  /** The completed result of the same item in an earlier batch, if its versions are new enough for this batch. */
  private _completedResultOf (batch: Batch, item: BatchItem): ItemResult | undefined {
    const completed = this._options.state.completedResult(item, batch.submission.account, batch.submission.model)
    if (!completed) return undefined
    return completed.versions.every(version => version >= batch.submission.minVersion) ? completed : undefined
  }

  private _carriedOverOutputOf (batch: Batch, item: BatchItem): ItemOutput | undefined {
    const carriedOver = this._carriedOverOutputs.get(keyOf(batch, item))
    this._carriedOverOutputs.delete(keyOf(batch, item))
    const output = carriedOver ?? new ItemOutput(this._options.state.unfinishedParts(item.itemId, batch.submission.account, batch.submission.model))
    return output.isGeneratedSince(batch.submission.minVersion) ? output : undefined
  }

  private _carryOverOutput (run: ItemRun): void {
    if (!run.isStarted || run.batch.isListed(run.item.itemId)) return
    this._carriedOverOutputs.set(keyOf(run.batch, run.item), run.output)
    const [oldest] = this._carriedOverOutputs.keys()
    if (this._carriedOverOutputs.size > MAX_CARRIED_OVER_OUTPUTS_COUNT && oldest !== undefined) this._carriedOverOutputs.delete(oldest)
  }
}

function roundedTo (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}

/** Items of two models are different items, whatever their ids. */
function keyOf ({ submission }: Batch, { itemId }: BatchItem): string {
  return `${submission.model} ${itemKeyOf(submission.account, itemId)}`
}
