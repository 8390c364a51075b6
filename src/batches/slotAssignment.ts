/**
 * Gives the slots of engines to items that wait, and to runs that had better go
 * on elsewhere. The rules are in itemOrder and slotSharing; what waits and what
 * runs is held here.
 */
import type { FleetView } from '../fleet/fleetView.js'
import { EndpointLifecycle } from '../protocol/fleet.js'
import type { ModelEngine } from '../protocol/routing.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import type { Engine, EngineFleet } from './engineFleet.js'
import { ASSUMED_TOKEN_MS, compareWaiting, expectedEventsCount, expectedGapMs, fastestEngine, movingGainMs, shouldWaitForFaster, type MovingRun } from './itemOrder.js'
import type { ItemRun } from './itemRun.js'
import type { ModelDemand } from './modelDemand.js'
import { patientUntilMs, slotsForPatient } from './slotSharing.js'

/** How often waiting items are looked at when nothing is heard: suspicions and pauses of engines end by time. */
const LOOK_INTERVAL_MS = 50
/** Until a trainer's own interval was seen; both users' trainers ask every four seconds. */
const ASSUMED_STEP_INTERVAL_MS = 4_000

export interface SlotAssignmentParts {
  clock: Clock
  view: FleetView
  engines: EngineFleet
  demand: ModelDemand
  /** Every item that is not listed yet, whether it waits, runs or is scored. */
  runs: ReadonlySet<ItemRun>
  /** The service whose engines run an item; undefined while its route is not known. */
  serviceOf: (run: ItemRun) => string | undefined
}

interface Waiting {
  run: ItemRun
  sinceMs: number
  resolve: (engine: Engine) => void
}

/** What is the same for all items that wait at one moment. */
type PatientSlots = ReadonlyMap<string, number>

export class SlotAssignment {
  private readonly _parts: SlotAssignmentParts
  /** Slots that are kept for runs on their way from a slower engine. */
  private readonly _reserved = new Map<ItemRun, Engine>()
  private _waiting: Waiting[] = []
  private _isHeld = false

  constructor (parts: SlotAssignmentParts) {
    this._parts = parts
  }

  /** Looks for room regularly until the scope closes. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._parts
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + LOOK_INTERVAL_MS)
      this.assign()
    }
  }

  /** Items of a model that wait for an engine. */
  waitingCount (model: string): number {
    return this._waiting.filter(({ run }) => run.item.model === model).length
  }

  /** Lets many items come before the first gets a slot, so that the one that should is first. */
  holdWhile (addItems: () => void): void {
    this._isHeld = true
    addItems()
    this._isHeld = false
    this.assign()
  }

  /** Waits until an engine has room for the item, and takes the slot. */
  async acquire (run: ItemRun, scope: Scope): Promise<Engine> {
    const reserved = this._reserved.get(run)
    if (reserved && reserved.mayBegin(run.item.model) && this._isReady(reserved)) {
      this._reserved.delete(run)
      return reserved
    }
    this.forget(run)
    let waiting: Waiting | undefined
    const turn = new Promise<Engine>(resolve => {
      waiting = { run, sinceMs: this._parts.clock.nowMs(), resolve }
      this._waiting.push(waiting)
    })
    const stopWaiting = scope.onClose(() => { this._waiting = this._waiting.filter(other => other !== waiting) })
    this.assign()
    try {
      return await scope.race(turn)
    } finally {
      stopWaiting()
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

  /** Whether a run had better go on at another engine; room is only left for that when nothing waits for it. */
  shouldMove (run: ItemRun, engine: Engine): boolean {
    if (this._waiting.length > 0) return false
    const others = this._fittingEngines(run).filter(other => other !== engine && other.mayRun(run.item.model) && other.pace.expectedGapMs !== undefined)
    const fastest = fastestEngine(others, Number.POSITIVE_INFINITY, this._kvCapacityTokens(run))
    return fastest !== undefined && movingGainMs(engine, fastest, this._movingRun(run)) > 0
  }

  /** Gives slots to what waits, as far as there is room. */
  assign (): void {
    if (this._waiting.length === 0 || this._isHeld) return
    const patientSlots = this._patientSlots()
    this._waiting.sort((left, right) => compareWaiting(left.run, right.run, ASSUMED_TOKEN_MS))
    const left: Waiting[] = []
    for (const waiting of this._waiting) {
      const engine = this._engineFor(waiting, patientSlots)
      if (!engine) {
        left.push(waiting)
        continue
      }
      engine.enter(tokensOf(waiting.run))
      waiting.resolve(engine)
    }
    this._waiting = left
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
    for (const run of this._parts.runs) {
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

  /** What a run saves by going on at an engine; 0 when it does not run, or had better stay. */
  private _gainMs (run: ItemRun, to: Engine): number {
    if (!run.engine || this._reserved.has(run) || !to.mayBegin(run.item.model) || !this._fits(run, to)) return 0
    return movingGainMs(run.engine, to, this._movingRun(run))
  }

  /** The engine to begin at now; undefined when none has room, or when one that is worth waiting for will have. */
  private _engineFor (waiting: Waiting, patientSlots: PatientSlots): Engine | undefined {
    const { run } = waiting
    const fitting = this._fittingEngines(run)
    const open = fitting.filter(engine => engine.mayRun(run.item.model) && engine.runningCount < this._slotsFor(run, patientSlots))
    const assumedGapMs = this._assumedGapMs(run)
    const free = fastestEngine(open, assumedGapMs, this._kvCapacityTokens(run))
    const best = fastestEngine(fitting, assumedGapMs, this._kvCapacityTokens(run))
    if (!free || !best || best === free) return free
    return this._mayWaitFor(best, free, waiting) ? undefined : free
  }

  private _mayWaitFor (best: Engine, free: Engine, { run, sinceMs }: Waiting): boolean {
    const assumedGapMs = this._assumedGapMs(run)
    return shouldWaitForFaster({
      freeGapMs: expectedGapMs(free, assumedGapMs),
      fullGapMs: expectedGapMs(best, assumedGapMs),
      remainingEventsCount: this._hintedEventsCount(run),
      waitedMs: this._parts.clock.nowMs() - sinceMs
    })
  }

  /** Slots of an engine that an item may fill. */
  private _slotsFor (run: ItemRun, patientSlots: PatientSlots): number {
    const item = { longestEndsAtMs: Math.min(run.times.longestEndsAtMs, run.dueAtMs), remainingEventsCount: this._hintedEventsCount(run) }
    const isPatient = this._parts.clock.nowMs() < patientUntilMs(item, this._assumedGapMs(run))
    const slotsCount = isPatient ? patientSlots.get(this._parts.serviceOf(run) ?? '') : undefined
    return slotsCount ?? Number.POSITIVE_INFINITY
  }

  /** For each service whose items wait. */
  private _patientSlots (): PatientSlots {
    const services = new Set(this._waiting.map(({ run }) => this._parts.serviceOf(run)).filter(service => service !== undefined))
    return new Map([...services].map(service => [service, this._patientSlotsOf(service)]))
  }

  private _patientSlotsOf (service: string): number {
    const { runs, serviceOf, engines, demand } = this._parts
    const waiting = this._waiting.map(({ run }) => run).filter(run => serviceOf(run) === service)
    const running = [...runs].filter(run => run.engine?.endpoint.service === service)
    const useful = engines.ofService(service).filter(engine => engine.isSound && waiting.some(run => this._fits(run, engine)))
    const horizonsMs = waiting.map(run => demand.namingIntervalMs(run.item.model)).filter(intervalMs => intervalMs !== undefined)
    return slotsForPatient({
      workMs: [...waiting, ...running].reduce((sumMs, run) => sumMs + this._remainingMs(run), 0),
      horizonMs: Math.min(ASSUMED_STEP_INTERVAL_MS, ...horizonsMs),
      enginesCount: useful.length,
      slotsCount: Math.max(1, ...useful.map(engine => engine.endpoint.slotsCount))
    })
  }

  /** Sound engines whose weights may make the item, with room or without. */
  private _fittingEngines (run: ItemRun): Engine[] {
    const service = this._parts.serviceOf(run)
    if (service === undefined) return []
    return this._parts.engines.ofService(service).filter(engine => engine.mayBegin(run.item.model) && this._fits(run, engine))
  }

  /** Whether an engine belongs to the run's service, with weights that may go on with it. */
  private _fits (run: ItemRun, engine: Engine): boolean {
    if (engine.endpoint.service !== this._parts.serviceOf(run)) return false
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
    return this._modelEngineOf(run)?.tokensPerEvent ?? 1
  }

  private _kvCapacityTokens (run: ItemRun): number {
    return this._modelEngineOf(run)?.kvCapacityTokens ?? Number.POSITIVE_INFINITY
  }

  private _modelEngineOf (run: ItemRun): ModelEngine | undefined {
    const service = this._parts.serviceOf(run)
    return this._parts.view.routing?.services.find(({ name }) => name === service)?.engine
  }
}

function tokensOf (run: ItemRun): number {
  return run.item.promptTokensCount + run.item.expectedTokensCount
}
