/**
 * Gives the slots of engines to items that wait, and to runs that had better go
 * on elsewhere. The rules are in itemOrder and slotSharing; what waits and what
 * runs is held here.
 */
import type { FleetView } from '../fleet/fleetView.js'
import { EndpointLifecycle } from '../protocol/fleet.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import { AssignmentRound, tokensPerEvent, type RunPlace } from './assignmentRound.js'
import type { Engine, EngineFleet } from './engineFleet.js'
import { ASSUMED_TOKEN_MS, compareWaiting, expectedEventsCount, fastestEngine, gainPerEventMs, movingGainMs, type MovingRun, type WaitingItem } from './itemOrder.js'
import type { ItemRun } from './itemRun.js'
import type { ModelDemand } from './modelDemand.js'
import { slotsForPatient } from './slotSharing.js'
import { StartPacing } from './startPacing.js'
import { WaitReason } from './stepReports.js'

/** Until a trainer's own interval was seen; both users' trainers ask every four seconds. */
const ASSUMED_STEP_INTERVAL_MS = 4_000
/** Notice of an engine that is taken away comes some tens of milliseconds late. */
const LEAVING_MARGIN_MS = 250

export interface SlotAssignmentParts {
  clock: Clock
  view: FleetView
  engines: EngineFleet
  demand: ModelDemand
  /** Every item that is not listed yet, whether it waits, runs or is scored. */
  runs: ReadonlySet<ItemRun>
  /** Told of each turn in which runs are begun, and how late it came. */
  onTurn: (latenessMs: number, waitingCount: number) => void
  /** Where an item may run; undefined while its route is not known. */
  placeOf: (run: ItemRun) => RunPlace | undefined
}

interface Waiting {
  run: ItemRun
  sinceMs: number
  resolve: (engine: Engine | undefined) => void
}

export class SlotAssignment {
  private readonly _parts: SlotAssignmentParts
  private readonly _pacing: StartPacing
  /** Slots that are kept for runs on their way from a slower engine. */
  private readonly _reserved = new Map<ItemRun, Engine>()
  /** Runs that were sent away from an engine that is to be taken away. */
  private readonly _leftInTime = new WeakSet<ItemRun>()
  private _waiting: Waiting[] = []
  private _isInOrder = true
  private _isHeld = false

  constructor (parts: SlotAssignmentParts) {
    this._parts = parts
    this._pacing = new StartPacing(parts.clock)
  }

  /** This host has more to do than its processor takes. */
  get isHeldUp (): boolean {
    return this._pacing.isHeldUp
  }

  /** Looks for room regularly until the scope closes: runs are begun in turns, and suspicions and pauses of engines end by time. */
  async run (scope: Scope): Promise<void> {
    for (;;) {
      await sleepUntil(this._parts.clock, scope, this._pacing.dueAtMs)
      this._parts.onTurn(this._pacing.beginTurn(), this._waiting.length)
      this.assign()
    }
  }

  /** Items of a model that wait for an engine. */
  waitingCount (model: string): number {
    return this._waiting.filter(({ run }) => run.item.model === model).length
  }

  /** What keeps an item that waits from a slot. */
  waitReasonOf (run: ItemRun): WaitReason {
    const place = this._parts.placeOf(run)
    if (!place) return WaitReason.NoRoute
    const engines = this._parts.engines.ofService(place.service)
    if (engines.length === 0) return WaitReason.NoEngine
    const fitting = engines.filter(engine => this._fits(run, engine))
    if (fitting.length === 0) return WaitReason.NoVersion
    const sound = fitting.filter(engine => engine.mayBegin(run.item.model))
    if (sound.length === 0) return WaitReason.EnginesUnfit
    return sound.some(engine => engine.mayRun(run.item.model)) ? WaitReason.Turn : WaitReason.NoSlot
  }

  /** Lets many items come before the first gets a slot, so that the one that should is first. */
  holdWhile (addItems: () => void): void {
    this._isHeld = true
    addItems()
    this._isHeld = false
    this.assign()
  }

  /** Waits until an engine has room for the item, and takes the slot; undefined when none has until the deadline. */
  async acquire (run: ItemRun, deadlineMs: number, scope: Scope): Promise<Engine | undefined> {
    const reserved = this._reserved.get(run)
    if (reserved && reserved.mayBegin(run.item.model) && this._isReady(reserved)) {
      this._reserved.delete(run)
      return reserved
    }
    this.forget(run)
    let waiting: Waiting | undefined
    const turn = new Promise<Engine | undefined>(resolve => {
      waiting = { run, sinceMs: this._parts.clock.nowMs(), resolve }
      this._waiting.push(waiting)
      this._isInOrder = false
    })
    const leave = (): void => { this._waiting = this._waiting.filter(other => other !== waiting) }
    const stopWaiting = scope.onClose(leave)
    const cancelTimer = this._parts.clock.callAt(deadlineMs, () => {
      leave()
      waiting?.resolve(undefined)
    })
    this.assign()
    try {
      return await scope.race(turn)
    } finally {
      stopWaiting()
      cancelTimer()
    }
  }

  release (run: ItemRun, engine: Engine): void {
    engine.leave(tokensOf(run))
    this._offerToRunning(engine)
    this.assign()
  }

  /** The run is over: a slot that was kept for it is free. */
  forget (run: ItemRun): void {
    const engine = this._reserved.get(run)
    if (!engine) return
    this._reserved.delete(run)
    engine.leave(tokensOf(run))
  }

  /** Runs that cannot end before their engine is taken away go on elsewhere at once, rather than being cut. */
  moveFromLeaving (): void {
    for (const run of this._parts.runs) {
      const { engine } = run
      const leavesInMs = engine && this._leavesInMs(engine)
      if (!engine || leavesInMs === undefined || this._leftInTime.has(run)) continue
      const gapMs = engine.pace.presentGapMs ?? this._assumedGapMs(run)
      if (expectedEventsCount(this._movingRun(run)) * gapMs <= leavesInMs - LEAVING_MARGIN_MS) continue
      this._leftInTime.add(run)
      run.move()
    }
  }

  /** Time until an engine is taken away, as it said when it began to leave. */
  private _leavesInMs ({ id }: Engine): number | undefined {
    const endpoint = this._parts.view.endpoint(id)
    return endpoint?.lifecycle === EndpointLifecycle.Leaving ? endpoint.leavesInMs : undefined
  }

  /** Whether a run had better go on at another engine; room is only left for that when nothing waits for it. */
  shouldMove (run: ItemRun, engine: Engine): boolean {
    if (this._waiting.length > 0 || this.isHeldUp) return false
    const others = this._fittingEngines(run).filter(other => other !== engine && !run.avoids(other) && other.mayRun(run.item.model) && other.pace.expectedGapMs !== undefined)
    const fastest = fastestEngine(others, Number.POSITIVE_INFINITY, this._kvCapacityTokens(run))
    return fastest !== undefined && movingGainMs(engine, fastest, this._movingRun(run)) > 0
  }

  /** Gives slots to what waits, as far as there is room. */
  assign (): void {
    if (this._waiting.length === 0 || this._isHeld || !this._pacing.mayStart) return
    const { clock, engines, placeOf } = this._parts
    const nowMs = clock.nowMs()
    const round = new AssignmentRound({
      nowMs,
      placeOf,
      enginesOf: service => engines.ofService(service),
      patientSlotsOf: (service, candidates) => this._patientSlotsOf(service, candidates)
    })
    const left: Waiting[] = []
    for (const waiting of this._inOrder()) {
      const engine = this._pacing.mayStart ? round.engineFor(waiting.run, nowMs - waiting.sinceMs) : undefined
      if (!engine) {
        left.push(waiting)
        continue
      }
      this._pacing.started()
      engine.enter(tokensOf(waiting.run))
      waiting.resolve(engine)
    }
    this._waiting = left
  }

  /** What the order depends on does not change while an item waits, so it is sorted only after others came. */
  private _inOrder (): Waiting[] {
    if (this._isInOrder) return this._waiting
    const keyed = this._waiting.map(waiting => ({ waiting, key: waitingKey(waiting.run) }))
    keyed.sort((left, right) => compareWaiting(left.key, right.key, ASSUMED_TOKEN_MS))
    this._isInOrder = true
    return keyed.map(({ waiting }) => waiting)
  }

  /**
   * Gives a free slot to the run on a slower engine that gains most by it,
   * ahead of what waits, which gets the slot that the run leaves: the longest
   * samples decide when a step ends.
   */
  private _offerToRunning (engine: Engine): void {
    if (this.isHeldUp || !engine.isSound || engine.freeSlotsCount === 0 || !this._isReady(engine)) return
    const slower = new Set(this._parts.engines.ofService(engine.endpoint.service).filter(other => gainPerEventMs(other, engine) > 0))
    if (slower.size === 0) return
    let mover: ItemRun | undefined
    let mostGainMs = 0
    for (const run of this._parts.runs) {
      // One without an event is most likely only about to begin.
      if (!run.isBegun || !run.engine || !slower.has(run.engine)) continue
      const gainMs = this._gainMs(run, run.engine, engine)
      if (gainMs <= mostGainMs) continue
      mover = run
      mostGainMs = gainMs
    }
    if (!mover) return
    engine.enter(tokensOf(mover))
    this._reserved.set(mover, engine)
    mover.move()
  }

  /** What a run saves by going on at an engine; 0 when it had better stay. */
  private _gainMs (run: ItemRun, from: Engine, to: Engine): number {
    if (this._reserved.has(run) || !to.mayBegin(run.item.model) || !this._fits(run, to) || run.avoids(to)) return 0
    return movingGainMs(from, to, this._movingRun(run))
  }

  private _patientSlotsOf (service: string, candidates: readonly Engine[]): number {
    const { runs, placeOf, demand } = this._parts
    const waiting = this._waiting.map(({ run }) => run).filter(run => placeOf(run)?.service === service)
    const running = [...runs].filter(run => run.engine?.endpoint.service === service)
    const models = new Set(waiting.map(({ item }) => item.model))
    const horizonsMs = [...models].map(model => demand.namingIntervalMs(model)).filter(intervalMs => intervalMs !== undefined)
    return slotsForPatient({
      workMs: [...waiting, ...running].reduce((sumMs, run) => sumMs + this._remainingMs(run), 0),
      horizonMs: Math.min(ASSUMED_STEP_INTERVAL_MS, ...horizonsMs),
      enginesCount: candidates.length,
      slotsCount: Math.max(1, ...candidates.map(({ endpoint }) => endpoint.slotsCount))
    })
  }

  /** Sound engines whose weights may make the item, with room or without. */
  private _fittingEngines (run: ItemRun): Engine[] {
    const place = this._parts.placeOf(run)
    if (!place) return []
    return this._parts.engines.ofService(place.service).filter(engine => engine.mayBegin(run.item.model) && this._fits(run, engine))
  }

  /** Whether an engine belongs to the run's service, with weights that may go on with it. */
  private _fits (run: ItemRun, engine: Engine): boolean {
    if (engine.endpoint.service !== this._parts.placeOf(run)?.service) return false
    return engine.version(run.item.model) >= run.batch.submission.minVersion
  }

  /** An engine that leaves finishes its runs, and gives up their slots, but gets nothing new. */
  private _isReady (engine: Engine): boolean {
    return this._parts.view.endpoint(engine.id)?.lifecycle === EndpointLifecycle.Ready
  }

  private _movingRun (run: ItemRun): MovingRun {
    return {
      madeCount: run.output.lastEventId,
      hintedCount: this._hintedEventsCount(run),
      longestCount: this._parts.demand.longestEventsCount(run.item.model)
    }
  }

  /** Events that its submitter still expects. */
  private _hintedEventsCount (run: ItemRun): number {
    return run.remainingTokensCount / this._tokensPerEvent(run)
  }

  /** Time that a run still needs for its events. */
  private _remainingMs (run: ItemRun): number {
    return expectedEventsCount(this._movingRun(run)) * this._assumedGapMs(run)
  }

  private _assumedGapMs (run: ItemRun): number {
    return ASSUMED_TOKEN_MS * this._tokensPerEvent(run)
  }

  private _tokensPerEvent (run: ItemRun): number {
    const place = this._parts.placeOf(run)
    return place ? tokensPerEvent(place) : 1
  }

  private _kvCapacityTokens (run: ItemRun): number {
    return this._parts.placeOf(run)?.modelEngine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY
  }
}

/** What the order depends on, read once for a round. */
function waitingKey ({ isBegun, isCarriedOver, dueAtMs, remainingTokensCount, priority }: ItemRun): WaitingItem {
  return { isBegun, isCarriedOver, dueAtMs, remainingTokensCount, priority }
}

function tokensOf (run: ItemRun): number {
  return run.item.promptTokensCount + run.item.expectedTokensCount
}
