/**
 * Runs the items of all open batches while this host leads the batch store.
 * Every item is a task that waits here for its turn; a turn is given whenever
 * an engine with fitting weights has room.
 */
import type { EndpointClient } from '../endpoints/endpointClient.js'
import type { EndpointPool } from '../endpoints/endpointPool.js'
import type { FleetView } from '../fleet/fleetView.js'
import type { RequestForwarder } from '../gateway/requestForwarder.js'
import { CurrentRoutes } from '../gateway/routeTable.js'
import type { BatchItem, ItemResult } from '../protocol/batches.js'
import { EndpointLifecycle } from '../protocol/fleet.js'
import type { ModelEngine, RoutingRoute } from '../protocol/routing.js'
import type { Replica } from '../replication/log/replica.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import type { Metrics } from '../utils/metrics.js'
import type { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { Supervisor } from '../utils/supervisor.js'
import { BatchEvent } from './batchEvents.js'
import type { Batch, BatchState } from './batchState.js'
import { EngineFleet, type Engine } from './engineFleet.js'
import { ASSUMED_TOKEN_MS, compareWaiting, expectedEventsCount, expectedGapMs, fastestEngine, movingGainMs, shouldWaitForFaster, type MovingRun } from './itemOrder.js'
import { ItemRun, type BatchTimes, type ItemRunParts } from './itemRun.js'
import { ItemOutput } from './itemOutput.js'
import { ModelDemand } from './modelDemand.js'
import { patientUntilMs, slotsForPatient } from './slotSharing.js'

/** How often waiting items are looked at when nothing is heard: suspicions and pauses of engines end by time. */
const LOOK_INTERVAL_MS = 50
/** Output of items whose batch ended early, kept for their return in a later one. */
const MAX_KEPT_OUTPUTS_COUNT = 2_000
/** Until a trainer's own interval was seen; both users' trainers ask every four seconds. */
const ASSUMED_STEP_INTERVAL_MS = 4_000
/** For a batch whose route is not known any more. */
const DEFAULT_DUE_MS = 10_000

export interface BatchDispatcherParts {
  clock: Clock
  logger: Logger
  metrics: Metrics
  client: EndpointClient
  forwarder: RequestForwarder
  pool: EndpointPool
  view: FleetView
  replica: Replica
  state: BatchState
  supervisor: Supervisor
}

interface Waiting {
  run: ItemRun
  sinceMs: number
  resolve: (engine: Engine) => void
}

interface TrackedBatch {
  batch: Batch
  supervisor: Supervisor
}

export class BatchDispatcher {
  readonly engines: EngineFleet
  readonly demand: ModelDemand
  private readonly _parts: BatchDispatcherParts
  private readonly _routes = new CurrentRoutes()
  private readonly _tracked = new Map<string, TrackedBatch>()
  private readonly _keptOutputs = new Map<string, ItemOutput>()
  private readonly _seenItemIds = new Set<string>()
  private readonly _runs = new Set<ItemRun>()
  /** Slots that are kept for runs on their way from a slower engine. */
  private readonly _reserved = new Map<ItemRun, Engine>()
  private _waiting: Waiting[] = []
  private _isBeginning = false

  constructor (parts: BatchDispatcherParts) {
    this._parts = parts
    this.engines = new EngineFleet(parts.pool, parts.clock)
    this.demand = new ModelDemand(parts.clock)
  }

  /** Open batches that this host runs. */
  batches (): Batch[] {
    return [...this._tracked.values()].map(({ batch }) => batch)
  }

  /** The oldest version that a model's engines need for what is open. */
  neededVersion (model: string): number {
    const versions = this.batches().filter(({ submission }) => submission.model === model).map(({ submission }) => submission.minVersion)
    return Math.max(0, ...versions)
  }

  /** Items of a model that wait for an engine. */
  waitingCount (model: string): number {
    return this._waiting.filter(({ run }) => run.item.model === model).length
  }

  /** Follows the list of batches until the scope closes. */
  async run (scope: Scope): Promise<void> {
    const { clock, replica, view } = this._parts
    this._parts.logger.event(BatchEvent.DispatchBegun, { term: replica.core.term, openBatchesCount: this._parts.state.open().length })
    scope.onClose(view.onChange(() => {
      this._track()
      this._giveTurns()
    }))
    scope.onClose(() => this._parts.logger.event(BatchEvent.DispatchEnded, { reason: scope.closeReason ?? '' }))
    this._parts.supervisor.spawn('turns', turnsScope => this._lookRegularly(turnsScope))
    for (;;) {
      this._track()
      await replica.applied.wait(scope, { clock, deadlineMs: clock.nowMs() + 1_000 })
    }
  }

  /** Puts all output that only this host holds into the replicated state, for whoever leads next. */
  async keepOutputs (progress: Progress): Promise<void> {
    await progress.race(Promise.all([...this._runs].map(run => run.keepOutput(progress))))
  }

  /** An engine has changed: somebody may get a turn. */
  enginesChanged (): void {
    this._giveTurns()
  }

  routeOf (host: string, path: string): RoutingRoute | undefined {
    const { routing } = this._parts.view
    return routing && this._routes.of(routing).find(host, path)
  }

  private async _lookRegularly (scope: Scope): Promise<void> {
    const { clock } = this._parts
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + LOOK_INTERVAL_MS)
      if (this._waiting.length > 0) this._giveTurns()
    }
  }

  private _track (): void {
    const { state, view } = this._parts
    for (const [batchId, { batch, supervisor }] of this._tracked) {
      if (!batch.isEnded && state.get(batchId) === batch) continue
      supervisor.scope.close('the batch has ended')
      this._tracked.delete(batchId)
    }
    // Without a routing configuration, nothing tells when an item may be given up; a host that has just started gets one within seconds.
    if (!view.routing) return
    // What has made most and what is longest is to begin first, so none begins before all of them wait.
    this._isBeginning = true
    for (const batch of state.open()) {
      if (!this._tracked.has(batch.batchId)) this._begin(batch)
    }
    this._isBeginning = false
    this._giveTurns()
  }

  private _begin (batch: Batch): void {
    const { clock, supervisor: parent } = this._parts
    const supervisor = parent.child(`batch ${batch.batchId}`)
    this._tracked.set(batch.batchId, { batch, supervisor })
    this.demand.asked(batch.submission, this._parts.view.namedVersion(batch.submission.model))
    const promise = this.routeOf(batch.submission.host, batch.submission.path)?.batch
    const nowMs = clock.nowMs()
    const items = batch.openItems()
    const longestMs = Math.max(0, ...items.map(({ expectedTokensCount }) => expectedTokensCount * ASSUMED_TOKEN_MS))
    const times: BatchTimes = {
      dueAtMs: nowMs + (promise?.dueMs ?? DEFAULT_DUE_MS),
      giveUpAtMs: nowMs + (promise?.maxQueueMs ?? DEFAULT_DUE_MS),
      longestEndsAtMs: nowMs + longestMs
    }
    for (const item of items) this._beginItem(batch, item, times, supervisor)
  }

  private _beginItem (batch: Batch, item: BatchItem, times: BatchTimes, supervisor: Supervisor): void {
    const { clock, logger, metrics, client, forwarder, replica } = this._parts
    const parts: ItemRunParts = {
      clock,
      logger,
      metrics,
      client,
      forwarder,
      replica,
      acquire: (run, scope) => this._acquire(run, scope),
      release: (run, engine) => this._release(run, engine),
      shouldMove: (run, engine) => this._shouldMove(run, engine),
      onWhole: run => this.demand.made(run.item.model, run.output.lastEventId),
      tokensPerEvent: run => this._modelEngineOf(run)?.tokensPerEvent ?? 1,
      routeOf: (host, path) => this.routeOf(host, path)
    }
    const run = new ItemRun(parts, batch, item, times, this._keptOutputOf(batch, item), this._seenItemIds.has(item.itemId))
    this._seenItemIds.add(item.itemId)
    const completed = this._completedResultOf(batch, item)
    this._runs.add(run)
    supervisor.spawn(`item ${item.itemId}`, async scope => {
      scope.onClose(() => {
        this._runs.delete(run)
        this._freeReserved(run)
        this._keepOutput(run)
      })
      await run.run(scope, completed)
    })
  }

  /** A result of an earlier batch that fits this one as it is. */
  private _completedResultOf (batch: Batch, item: BatchItem): ItemResult | undefined {
    const completed = this._parts.state.completedResult(item)
    if (!completed) return undefined
    return completed.versions.every(version => version >= batch.submission.minVersion) ? completed : undefined
  }

  private _keptOutputOf (batch: Batch, item: BatchItem): ItemOutput | undefined {
    const kept = this._keptOutputs.get(item.itemId)
    this._keptOutputs.delete(item.itemId)
    const output = kept ?? new ItemOutput(this._parts.state.unfinishedParts(item.itemId))
    return output.isMadeSince(batch.submission.minVersion) ? output : undefined
  }

  private _keepOutput (run: ItemRun): void {
    if (!run.isBegun || run.batch.isListed(run.item.itemId)) return
    this._keptOutputs.set(run.item.itemId, run.output)
    const [oldest] = this._keptOutputs.keys()
    if (this._keptOutputs.size > MAX_KEPT_OUTPUTS_COUNT && oldest !== undefined) this._keptOutputs.delete(oldest)
  }

  private async _acquire (run: ItemRun, scope: Scope): Promise<Engine> {
    const reserved = this._reserved.get(run)
    if (reserved && reserved.mayBegin(run.item.model) && this._isReady(reserved)) {
      this._reserved.delete(run)
      return reserved
    }
    this._freeReserved(run)
    let waiting: Waiting | undefined
    const turn = new Promise<Engine>(resolve => {
      waiting = { run, sinceMs: this._parts.clock.nowMs(), resolve }
      this._waiting.push(waiting)
    })
    const stopWaiting = scope.onClose(() => { this._waiting = this._waiting.filter(other => other !== waiting) })
    this._giveTurns()
    try {
      return await scope.race(turn)
    } finally {
      stopWaiting()
    }
  }

  private _release (run: ItemRun, engine: Engine): void {
    engine.leave(tokensOf(run))
    this._offerToRunning(engine)
    this._giveTurns()
  }

  /**
   * Gives a free slot to the run on a slower engine that gains most by it,
   * ahead of what waits, which gets the slot that the run leaves: the longest
   * samples decide when a step ends.
   */
  private _offerToRunning (engine: Engine): void {
    if (!engine.isSound || engine.freeSlotsCount === 0 || !this._isReady(engine)) return
    let mover: ItemRun | undefined
    let mostGainMs = 0
    for (const run of this._runs) {
      const gainMs = this._gainMs(run, engine)
      if (gainMs <= mostGainMs) continue
      mover = run
      mostGainMs = gainMs
    }
    if (!mover) return
    engine.enter(tokensOf(mover))
    this._reserved.set(mover, engine)
    mover.move()
  }

  /** An engine that leaves finishes its runs, and gives up their slots, but gets nothing new. */
  private _isReady (engine: Engine): boolean {
    return this._parts.view.endpoint(engine.id)?.lifecycle === EndpointLifecycle.Ready
  }

  /** What a run saves by going on at an engine; 0 when it does not run, or had better stay. */
  private _gainMs (run: ItemRun, to: Engine): number {
    if (!run.engine || this._reserved.has(run) || !to.mayBegin(run.item.model) || !this._fits(run, to)) return 0
    return movingGainMs(run.engine, to, this._movingRun(run))
  }

  private _freeReserved (run: ItemRun): void {
    const engine = this._reserved.get(run)
    if (!engine) return
    this._reserved.delete(run)
    engine.leave(tokensOf(run))
  }

  private _giveTurns (): void {
    if (this._waiting.length === 0 || this._isBeginning) return
    const slotsForPatientCounts = this._slotsForPatientCounts()
    this._waiting.sort((left, right) => compareWaiting(left.run, right.run, ASSUMED_TOKEN_MS))
    const left: Waiting[] = []
    for (const waiting of this._waiting) {
      const engine = this._engineFor(waiting, slotsForPatientCounts)
      if (!engine) {
        left.push(waiting)
        continue
      }
      engine.enter(tokensOf(waiting.run))
      waiting.resolve(engine)
    }
    this._waiting = left
  }

  /** The engine to begin at now; undefined when none has room, or when one that is worth waiting for will have. */
  private _engineFor ({ run, sinceMs }: Waiting, slotsForPatientCounts: ReadonlyMap<string, number>): Engine | undefined {
    const fitting = this._fittingEngines(run)
    const slotsCount = this._isPatient(run) ? slotsForPatientCounts.get(this._serviceOf(run) ?? '') : undefined
    const modelEngine = this._modelEngineOf(run)
    const assumedGapMs = ASSUMED_TOKEN_MS * (modelEngine?.tokensPerEvent ?? 1)
    const kvCapacityTokens = modelEngine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY
    const free = fastestEngine(fitting.filter(engine => engine.mayRun(run.item.model) && engine.runningCount < (slotsCount ?? Number.POSITIVE_INFINITY)), assumedGapMs, kvCapacityTokens)
    const best = fastestEngine(fitting, assumedGapMs, kvCapacityTokens)
    if (!free || !best || best === free) return free
    const mayWait = shouldWaitForFaster({
      freeGapMs: expectedGapMs(free, assumedGapMs),
      fullGapMs: expectedGapMs(best, assumedGapMs),
      remainingEventsCount: this._remainingEventsCount(run),
      waitedMs: this._parts.clock.nowMs() - sinceMs
    })
    return mayWait ? undefined : free
  }

  private _isPatient (run: ItemRun): boolean {
    const gapMs = ASSUMED_TOKEN_MS * (this._modelEngineOf(run)?.tokensPerEvent ?? 1)
    const item = { longestEndsAtMs: Math.min(run.times.longestEndsAtMs, run.dueAtMs), remainingEventsCount: this._remainingEventsCount(run) }
    return this._parts.clock.nowMs() < patientUntilMs(item, gapMs)
  }

  /** For each service whose items wait. */
  private _slotsForPatientCounts (): Map<string, number> {
    const services = new Set(this._waiting.map(({ run }) => this._serviceOf(run)).filter(service => service !== undefined))
    return new Map([...services].map(service => [service, this._slotsForPatient(service)]))
  }

  private _slotsForPatient (service: string): number {
    const waiting = this._waiting.map(({ run }) => run).filter(run => this._serviceOf(run) === service)
    const running = [...this._runs].filter(run => run.engine?.endpoint.service === service)
    const engines = this.engines.ofService(service).filter(engine => engine.isSound && waiting.some(run => this._fits(run, engine)))
    const horizonsMs = waiting.map(run => this.demand.namingIntervalMs(run.item.model)).filter(intervalMs => intervalMs !== undefined)
    return slotsForPatient({
      workMs: [...waiting, ...running].reduce((sumMs, run) => sumMs + this._remainingMs(run), 0),
      horizonMs: Math.min(ASSUMED_STEP_INTERVAL_MS, ...horizonsMs),
      enginesCount: engines.length,
      slotsCount: Math.max(1, ...engines.map(engine => engine.endpoint.slotsCount))
    })
  }

  /** Time that a run still needs for its events. */
  private _remainingMs (run: ItemRun): number {
    return expectedEventsCount(this._movingRun(run)) * ASSUMED_TOKEN_MS * (this._modelEngineOf(run)?.tokensPerEvent ?? 1)
  }

  /** Sound engines whose weights may make the item, with room or without. */
  private _fittingEngines (run: ItemRun): Engine[] {
    const service = this._serviceOf(run)
    if (service === undefined) return []
    return this.engines.ofService(service).filter(engine => engine.mayBegin(run.item.model) && this._fits(run, engine))
  }

  /** Whether an engine belongs to the run's service, with weights that may go on with it. */
  private _fits (run: ItemRun, engine: Engine): boolean {
    if (engine.endpoint.service !== this._serviceOf(run)) return false
    return engine.version(run.item.model) >= run.batch.submission.minVersion
  }

  /** Room is only left for moves when nothing waits for it. */
  private _shouldMove (run: ItemRun, engine: Engine): boolean {
    if (this._waiting.length > 0) return false
    const others = this._fittingEngines(run).filter(other => other !== engine && other.mayRun(run.item.model) && other.pace.expectedGapMs !== undefined)
    const fastest = fastestEngine(others, Number.POSITIVE_INFINITY, this._modelEngineOf(run)?.kvCapacityTokens ?? Number.POSITIVE_INFINITY)
    if (!fastest) return false
    return movingGainMs(engine, fastest, this._movingRun(run)) > 0
  }

  private _movingRun (run: ItemRun): MovingRun {
    return {
      madeCount: run.output.lastEventId,
      hintedCount: this._remainingEventsCount(run),
      longestCount: this.demand.longestEventsCount(run.item.model)
    }
  }

  private _remainingEventsCount (run: ItemRun): number {
    return run.remainingTokensCount / (this._modelEngineOf(run)?.tokensPerEvent ?? 1)
  }

  private _serviceOf ({ batch }: ItemRun): string | undefined {
    return this.routeOf(batch.submission.host, batch.submission.path)?.services.find(({ weight }) => weight > 0)?.service
  }

  private _modelEngineOf (run: ItemRun): ModelEngine | undefined {
    const service = this._serviceOf(run)
    return this._parts.view.routing?.services.find(({ name }) => name === service)?.engine
  }
}

function tokensOf (run: ItemRun): number {
  return run.item.promptTokensCount + run.item.expectedTokensCount
}
