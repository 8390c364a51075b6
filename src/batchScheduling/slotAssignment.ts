/**
 * Assigns the slots of engines to waiting items and to runs that should move to
 * another engine. This module holds the waiting and running items; the rules are in
 * itemOrder and slotSharing, in groupScheduling while engines are short, and in
 * kindPlacement and movePolicy where engines differ.
 */
import type { FleetView } from '../fleet/fleetView.js'
import { EndpointLifecycle } from '../protocol/fleet.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import { AssignmentRound } from './assignmentRound.js'
import type { Engine, EngineFleet } from './engineFleet.js'
import { GroupScheduling, type BatchPlan } from './groupScheduling.js'
import { ASSUMED_TOKEN_MS, compareWaiting, expectedEventsCount, fastestEngine, gainPerEventMs, movingGainMs, type RunEstimate, type WaitingItem } from './itemOrder.js'
import { KindPlacement } from './kindPlacement.js'
import type { ModelDemand } from './modelDemand.js'
import { MovePolicy, MoveReason, type Move } from './movePolicy.js'
import { tokensPerEvent, type Placement } from './placement.js'
import type { SchedulableItem } from './schedulableItem.js'
import { slotsForDeferrable } from './slotSharing.js'
import { StartPacing } from './startPacing.js'
import { WaitReason } from './waitReason.js'

/** Interval between steps, assumed until the interval of the trainer was observed; the trainers of both known deployments submit a step every four seconds. */
const ASSUMED_STEP_INTERVAL_MS = 4_000
/** Time reserved before an engine is removed, since the notice of its removal arrives some tens of milliseconds late. */
const LEAVING_MARGIN_MS = 250

export interface SlotAssignmentOptions {
  clock: Clock
  view: FleetView
  engines: EngineFleet
  demand: ModelDemand
  /** All items that are not listed yet: waiting, running or being scored. */
  runs: ReadonlySet<SchedulableItem>
  /** Called at each turn in which runs may start, with its delay. */
  onTurn: (latenessMs: number, waitingCount: number) => void
  /** Called with each new plan of the groups of the open batches. */
  onPlan?: (plans: readonly BatchPlan[]) => void
  /** The service at which an item runs; undefined while its route is unknown. */
  placementOf: (run: SchedulableItem) => Placement | undefined
}

interface WaitingRun {
  run: SchedulableItem
  sinceMs: number
  resolve: (engine: Engine | undefined) => void
}

export class SlotAssignment {
  private readonly _options: SlotAssignmentOptions
  private readonly _pacing: StartPacing
  private readonly _kinds: KindPlacement
  private readonly _moves: MovePolicy
  /** Engines with a slot reserved for a run that is leaving a slower engine, or whose host was lost. */
  private readonly _reserved = new Map<SchedulableItem, Engine>()
  /** Items that were moved off an engine before its removal. */
  private readonly _movedBeforeRemoval = new WeakSet<SchedulableItem>()
  private readonly _groups: GroupScheduling
  /** Runs that were stopped for waiting items and have not ended yet. */
  private readonly _stopping = new Set<SchedulableItem>()
  private _waiting: WaitingRun[] = []
  private _isSorted = true
  private _isPaused = false

  constructor (options: SlotAssignmentOptions) {
    this._options = options
    this._pacing = new StartPacing(options.clock)
    const { clock, engines, demand, runs, placementOf, onPlan } = options
    this._groups = new GroupScheduling({ clock, engines, runs, placementOf, onPlan })
    this._kinds = new KindPlacement(options)
    this._moves = new MovePolicy({
      clock,
      runs,
      expectedRestCount: run => this._kinds.expectedRestCount(run),
      allowedRestCount: run => expectedEventsCount(this._estimateOf(run)),
      isForecast: run => demand.hasSamples(run.item.model),
      fastestGapMs: run => this._kinds.fastestGapMs(run)
    })
  }

  /** Whether the processor of this host is overloaded. */
  get isOverloaded (): boolean {
    return this._pacing.isOverloaded
  }

  /** Assigns slots at regular turns until the scope closes, because starts are limited per turn, and ejections and pauses of engines end by time. */
  async run (scope: Scope): Promise<void> {
    for (;;) {
      await sleepUntil(this._options.clock, scope, this._pacing.dueAtMs)
      this._options.onTurn(this._pacing.beginTurn(), this._waiting.length)
      for (const run of this._options.runs) run.leaveUnreachable()
      this.assign()
      this._stopSurplusRuns()
    }
  }

  /** Number of items of a model that wait for a slot. */
  waitingCount (model: string): number {
    return this._waiting.filter(({ run }) => run.item.model === model).length
  }

  /** Time that all open items of a service still need, one after the other. */
  openWorkMs (service: string): number {
    const open = [...this._options.runs].filter(run => this._options.placementOf(run)?.service === service)
    return open.reduce((sumMs, run) => sumMs + this._remainingMs(run), 0)
  }

  /** Why a waiting item has no slot. */
  waitReasonOf (run: SchedulableItem): WaitReason {
    const placement = this._options.placementOf(run)
    if (!placement) return WaitReason.NoRoute
    const engines = this._options.engines.ofService(placement.service)
    if (engines.length === 0) return WaitReason.NoEngine
    const fitting = engines.filter(engine => this._fits(run, engine))
    if (fitting.length === 0) return WaitReason.NoVersion
    const healthy = fitting.filter(engine => engine.acceptsRuns(run.item.model))
    if (healthy.length === 0) return WaitReason.EnginesUnfit
    const free = healthy.filter(engine => engine.canStartRun(run.item.model))
    if (free.length === 0) return WaitReason.NoSlot
    return free.some(engine => this._kinds.isSuitable(run, engine)) ? WaitReason.Turn : WaitReason.FasterKind
  }

  /** Assigns slots only after all items were added, so that the most urgent item gets the first slot. */
  assignAfter (addItems: () => void): void {
    this._isPaused = true
    addItems()
    this._groups.batchAdded()
    this._isPaused = false
    this.assign()
  }

  /** Waits for a slot of an engine and takes it; undefined when none is free until the deadline. */
  async acquire (run: SchedulableItem, deadlineMs: number, scope: Scope): Promise<Engine | undefined> {
    const reserved = this._reserved.get(run)
    if (reserved && reserved.acceptsRuns(run.item.model) && this._isReady(reserved)) {
      this._reserved.delete(run)
      return reserved
    }
    this.releaseReservation(run)
    let waiting: WaitingRun | undefined
    const assigned = new Promise<Engine | undefined>(resolve => {
      waiting = { run, sinceMs: this._options.clock.nowMs(), resolve }
      this._waiting.push(waiting)
      this._isSorted = false
    })
    const stopWaiting = (): void => { this._waiting = this._waiting.filter(other => other !== waiting) }
    const removeCloseListener = scope.onClose(stopWaiting)
    const cancelTimer = this._options.clock.callAt(deadlineMs, () => {
      stopWaiting()
      waiting?.resolve(undefined)
    })
    this.assign()
    try {
      return await scope.race(assigned)
    } finally {
      removeCloseListener()
      cancelTimer()
    }
  }

  release (run: SchedulableItem, engine: Engine): void {
    engine.removeRun(tokensOf(run))
    this._offerSlotToRunning(engine)
    this.assign()
  }

  /**
   * Keeps the slot of an item whose host was lost for its next try. Neither the item
   * nor the engine is at fault, and items of other steps that wait for a slot would
   * otherwise get all slots of a step that has just begun.
   */
  keep (run: SchedulableItem, engine: Engine): void {
    if (this._reserved.has(run)) this.release(run, engine)
    else this._reserved.set(run, engine)
  }

  /** Frees the slot that is reserved for a run, if a slot is reserved. */
  releaseReservation (run: SchedulableItem): void {
    const engine = this._reserved.get(run)
    if (!engine) return
    this._reserved.delete(run)
    engine.removeRun(tokensOf(run))
  }

  /** Moves runs that cannot finish before the removal of their engine, because the removal would interrupt these runs. */
  moveFromLeavingEngines (): void {
    for (const run of this._options.runs) {
      const { engine } = run
      const leavesInMs = engine && this._leavesInMs(engine)
      if (!engine || leavesInMs === undefined || this._movedBeforeRemoval.has(run)) continue
      const gapMs = engine.pace.currentGapMs ?? this._assumedGapMs(run)
      if (expectedEventsCount(this._estimateOf(run)) * gapMs <= leavesInMs - LEAVING_MARGIN_MS) continue
      this._movedBeforeRemoval.add(run)
      run.move({ reason: MoveReason.EngineLeaves, restCount: expectedEventsCount(this._estimateOf(run)) })
    }
  }

  /** Time from the notice of removal of an engine until its removal; undefined for other engines. */
  private _leavesInMs ({ id }: Engine): number | undefined {
    const endpoint = this._options.view.endpoint(id)
    return endpoint?.lifecycle === EndpointLifecycle.Leaving ? endpoint.leavesInMs : undefined
  }

  /** Why a run should move to another engine now, if it should; never while items wait, which get free slots first. */
  moveOf (run: SchedulableItem, engine: Engine): Move | undefined {
    if (this._waiting.length > 0 || this.isOverloaded || !this._moves.movable().has(run)) return undefined
    const others = this._fittingEngines(run).filter(other => other !== engine && !run.avoids(other) && other.canStartRun(run.item.model) && other.pace.expectedGapMs !== undefined)
    const fastest = fastestEngine(others, Number.POSITIVE_INFINITY, this._kvCapacityTokens(run))
    const gainMs = fastest ? movingGainMs(engine, fastest, this._estimateOf(run)) : 0
    return gainMs > 0 ? this._recordMove(run, engine, gainMs) : undefined
  }

  private _recordMove (run: SchedulableItem, engine: Engine, gainMs: number): Move {
    this._moves.recordMove(run)
    return { reason: this._moves.reasonFor(engine), restCount: expectedEventsCount(this._estimateOf(run)), gainMs }
  }

  /** Assigns free slots to waiting items. */
  assign (): void {
    if (this._waiting.length === 0 || this._isPaused || !this._pacing.mayStart) return
    const { clock, engines, placementOf } = this._options
    const nowMs = clock.nowMs()
    const round = new AssignmentRound({
      nowMs,
      placementOf,
      enginesOf: service => engines.ofService(service),
      deferrableSlotsOf: (service, candidates) => this._deferrableSlotsOf(service, candidates),
      kindChoice: this._kinds
    })
    const remaining: WaitingRun[] = []
    const sorted = this._sortedWaiting()
    const queue = this._groups.queueOf(sorted)
    for (let position = 0; position < sorted.length; position++) {
      const waiting = (queue ? queue.next() : sorted[position]) as WaitingRun
      const engine = this._pacing.mayStart ? round.engineFor(waiting.run, nowMs - waiting.sinceMs) : undefined
      if (!engine) {
        remaining.push(waiting)
        continue
      }
      this._pacing.recordStart()
      queue?.recordStart()
      engine.addRun(tokensOf(waiting.run))
      this._kinds.recordStart(waiting.run, engine)
      waiting.resolve(engine)
    }
    this._waiting = remaining
  }

  /** Waiting items in order. The sort keys of items do not change while the items wait, so the list is sorted only after items were added or the plan of their groups has changed. */
  private _sortedWaiting (): WaitingRun[] {
    const isPlanChanged = this._groups.refresh()
    if (this._isSorted && !isPlanChanged) return this._waiting
    const keyed = this._waiting.map(waiting => ({ waiting, key: sortKeyOf(waiting.run) }))
    keyed.sort((left, right) => this._groups.compareGroups(left.waiting.run, right.waiting.run) || compareWaiting(left.key, right.key, ASSUMED_TOKEN_MS))
    this._isSorted = true
    return keyed.map(({ waiting }) => waiting)
  }

  /** Stops runs of groups that no trainer waits for, while items that are waited for find all engines full. */
  private _stopSurplusRuns (): void {
    for (const run of this._stopping) if (!run.engine) this._stopping.delete(run)
    if (this._waiting.length === 0 || this.isOverloaded) return
    const candidates = this._groups.runsGivingWay().filter(run => !this._stopping.has(run))
    if (candidates.length === 0) return
    const wanting = this._waiting.filter(({ run }) => !this._groups.isSurplus(run)).slice(this._stopping.size)
    for (const { run } of wanting) {
      const stopped = candidates.findIndex(({ engine }) => engine !== undefined && this._fits(run, engine) && engine.acceptsRuns(run.item.model))
      if (stopped < 0 || this.waitReasonOf(run) !== WaitReason.NoSlot) return
      for (const surplus of candidates.splice(stopped, 1)) {
        this._stopping.add(surplus)
        surplus.move({ reason: MoveReason.GivesWay, restCount: expectedEventsCount(this._estimateOf(surplus)) })
      }
    }
  }

  /**
   * Gives a free slot to the run on a slower engine that gains most by moving, ahead of
   * waiting items, which get the slot that the run leaves. The longest samples
   * determine when a step ends.
   */
  private _offerSlotToRunning (engine: Engine): void {
    if (this.isOverloaded || !engine.isHealthy || engine.freeSlotsCount === 0 || !this._isReady(engine)) return
    const slower = new Set(this._options.engines.ofService(engine.endpoint.service).filter(other => gainPerEventMs(other, engine) > 0))
    if (slower.size === 0) return
    const best = this._bestMoveTo(engine, slower)
    if (!best) return
    const move = this._recordMove(best.run, best.from, best.gainMs)
    engine.addRun(tokensOf(best.run))
    this._reserved.set(best.run, engine)
    best.run.move(move)
  }

  /** The run that gains most by moving from one of some engines to another. */
  private _bestMoveTo (to: Engine, slower: ReadonlySet<Engine>): { run: SchedulableItem, from: Engine, gainMs: number } | undefined {
    let best: { run: SchedulableItem, from: Engine, gainMs: number } | undefined
    for (const run of this._moves.movable()) {
      const from = run.engine
      // A run without events has most likely only just started.
      if (!run.isStarted || !from || !slower.has(from)) continue
      const gainMs = this._gainMs(run, from, to)
      if (gainMs > (best?.gainMs ?? 0)) best = { run, from, gainMs }
    }
    return best
  }

  /** Time that a run saves by moving to an engine; 0 when the run should stay. */
  private _gainMs (run: SchedulableItem, from: Engine, to: Engine): number {
    if (this._reserved.has(run) || !to.acceptsRuns(run.item.model) || !this._fits(run, to) || run.avoids(to)) return 0
    return movingGainMs(from, to, this._estimateOf(run))
  }

  private _deferrableSlotsOf (service: string, candidates: readonly Engine[]): number {
    const { runs, placementOf, demand } = this._options
    const waiting = this._waiting.map(({ run }) => run).filter(run => placementOf(run)?.service === service)
    const running = [...runs].filter(run => run.engine?.endpoint.service === service)
    const models = new Set(waiting.map(({ item }) => item.model))
    const horizonsMs = [...models].map(model => demand.versionIntervalMs(model)).filter(intervalMs => intervalMs !== undefined)
    return slotsForDeferrable({
      workMs: [...waiting, ...running].reduce((sumMs, run) => sumMs + this._remainingMs(run), 0),
      horizonMs: Math.min(ASSUMED_STEP_INTERVAL_MS, ...horizonsMs),
      enginesCount: candidates.length,
      slotsCount: Math.max(1, ...candidates.map(({ endpoint }) => endpoint.slotsCount))
    })
  }

  /** Healthy engines whose weights are new enough for the item, with a free slot or without. */
  private _fittingEngines (run: SchedulableItem): Engine[] {
    const placement = this._options.placementOf(run)
    if (!placement) return []
    return this._options.engines.ofService(placement.service).filter(engine => engine.acceptsRuns(run.item.model) && this._fits(run, engine))
  }

  /** Whether an engine belongs to the service of a run and has weights that are new enough for the run. */
  private _fits (run: SchedulableItem, engine: Engine): boolean {
    if (engine.endpoint.service !== this._options.placementOf(run)?.service) return false
    return engine.version(run.item.model) >= run.batch.submission.minVersion
  }

  /** Whether an engine accepts new runs; an engine with a notice of removal only finishes its present runs. */
  private _isReady (engine: Engine): boolean {
    return this._options.view.endpoint(engine.id)?.lifecycle === EndpointLifecycle.Ready
  }

  private _estimateOf (run: SchedulableItem): RunEstimate {
    return {
      generatedCount: run.generatedCount,
      hintedRemainingCount: this._kinds.expectedRestCount(run),
      longestCount: this._options.demand.maxExpectedEventsCount(run.item.model)
    }
  }

  /** Estimated time that a run still needs. */
  private _remainingMs (run: SchedulableItem): number {
    return expectedEventsCount(this._estimateOf(run)) * this._assumedGapMs(run)
  }

  private _assumedGapMs (run: SchedulableItem): number {
    return ASSUMED_TOKEN_MS * this._tokensPerEvent(run)
  }

  private _tokensPerEvent (run: SchedulableItem): number {
    const placement = this._options.placementOf(run)
    return placement ? tokensPerEvent(placement) : 1
  }

  private _kvCapacityTokens (run: SchedulableItem): number {
    return this._options.placementOf(run)?.modelEngine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY
  }
}

/** Copies the properties that determine the order, so that sorting reads each property once per item. */
function sortKeyOf ({ isStarted, isCarriedOver, dueAtMs, remainingTokensCount, priority }: SchedulableItem): WaitingItem {
  return { isStarted, isCarriedOver, dueAtMs, remainingTokensCount, priority }
}

function tokensOf (run: SchedulableItem): number {
  return run.item.promptTokensCount + run.item.expectedTokensCount
}
