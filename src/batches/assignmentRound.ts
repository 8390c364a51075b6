/**
 * One look at all that waits: which engines may run each item is worked out once
 * for all items of a batch, and each engine's pace and soundness are read once.
 * Without that, four trainers with 500 items before 31 engines kept the leader
 * of the store busy for longer than its heartbeats may fail, and it lost its
 * leadership at every step.
 */
import type { ModelEngine } from '../protocol/routing.js'
import type { Batch } from './batch.js'
import type { Engine } from './engineFleet.js'
import { ASSUMED_TOKEN_MS, eventCostMs, loadOf, shouldWaitForFaster, type EngineLoad } from './itemOrder.js'
import type { ItemRun } from './itemRun.js'
import { patientUntilMs } from './slotSharing.js'

/** Where the items of a run's batch may go. */
export interface RunPlace {
  service: string
  modelEngine: ModelEngine | undefined
}

/** An engine with weights that fit, at the moment of the round. */
interface Candidate extends EngineLoad {
  /** Runs up to which another one may begin. */
  mostRunsCount: number
}

export interface AssignmentRoundParts {
  nowMs: number
  placeOf: (run: ItemRun) => RunPlace | undefined
  enginesOf: (service: string) => Engine[]
  /** Slots of an engine up to which items begin that can wait. */
  patientSlotsOf: (service: string, engines: Engine[]) => number
}

/** What is the same for all items of a batch. */
interface BatchChoice {
  place: RunPlace
  candidates: Candidate[]
  /** No engine has room for an item; slots are only taken during a round, so this stays. */
  isFull: boolean
  /** The same for items that can wait. */
  isFullForPatient: boolean
  /** The best candidates by the runs up to which an engine counts, as long as no slot was taken since. */
  cheapest: Map<number | undefined, Candidate | undefined>
  /** Slots that this round had given when they were compared. */
  comparedAtCount: number
}

export class AssignmentRound {
  private readonly _parts: AssignmentRoundParts
  /** By batch and service. */
  private readonly _choices = new Map<Batch, Map<string, BatchChoice>>()
  private readonly _patientSlots = new Map<string, number>()
  /** Slots that were given; the engines compare as they did until the next one is. */
  private _givenCount = 0

  constructor (parts: AssignmentRoundParts) {
    this._parts = parts
  }

  /**
   * The engine to begin at now; undefined when none has room, or when one that is
   * worth waiting for will have. The slot has to be taken before the next call.
   */
  engineFor (run: ItemRun, waitedMs: number): Engine | undefined {
    const engine = this._choose(run, waitedMs)
    if (engine) this._givenCount++
    return engine
  }

  private _choose (run: ItemRun, waitedMs: number): Engine | undefined {
    const choice = run.isChoosy ? this._ownChoiceFor(run) : this._choiceFor(run)
    if (!choice || choice.isFull) return undefined
    const isPatient = this._isPatient(run, choice.place)
    if (isPatient && choice.isFullForPatient) return undefined
    const free = this._cheapest(choice, isPatient ? this._patientSlotsOf(choice) : Number.POSITIVE_INFINITY)
    if (!free) {
      choice.isFullForPatient = true
      choice.isFull ||= !isPatient
      return undefined
    }
    const best = this._cheapest(choice, undefined) ?? free
    if (best === free) return free.engine
    const remainingEventsCount = run.remainingTokensCount / tokensPerEvent(choice.place)
    return shouldWaitForFaster({ freeGapMs: free.gapMs, fullGapMs: best.gapMs, remainingEventsCount, waitedMs }) ? undefined : free.engine
  }

  /** For an item that may not go wherever the rest of its batch may. */
  private _ownChoiceFor (run: ItemRun): BatchChoice | undefined {
    const shared = this._choiceFor(run)
    if (!shared) return undefined
    const allowed = shared.candidates.filter(({ engine }) => run.mayBegin(engine))
    const untried = allowed.filter(({ engine }) => !run.avoids(engine))
    return choiceAmong(shared.place, untried.length > 0 ? untried : allowed, this._givenCount)
  }

  private _choiceFor (run: ItemRun): BatchChoice | undefined {
    const { batch, item } = run
    const place = this._parts.placeOf(run)
    if (!place) return undefined
    const choices = this._choices.get(batch) ?? new Map<string, BatchChoice>()
    this._choices.set(batch, choices)
    const known = choices.get(place.service)
    if (known) return known
    const { minVersion } = batch.submission
    const candidates = this._parts.enginesOf(place.service).filter(engine => engine.mayBegin(item.model) && engine.version(item.model) >= minVersion)
    const choice = choiceAmong(place, candidates.map(engine => candidateOf(engine, place)), this._givenCount)
    choices.set(place.service, choice)
    return choice
  }

  /** Compares the engines only after a slot was taken: hundreds of items may wait for a faster engine than the one that is free. */
  private _cheapest (choice: BatchChoice, mostRunsCount: number | undefined): Candidate | undefined {
    if (choice.comparedAtCount !== this._givenCount) {
      choice.cheapest.clear()
      choice.comparedAtCount = this._givenCount
    }
    if (!choice.cheapest.has(mostRunsCount)) choice.cheapest.set(mostRunsCount, cheapest(choice.candidates, mostRunsCount))
    return choice.cheapest.get(mostRunsCount)
  }

  private _isPatient (run: ItemRun, place: RunPlace): boolean {
    const item = {
      longestEndsAtMs: Math.min(run.times.longestEndsAtMs, run.dueAtMs),
      remainingEventsCount: run.remainingTokensCount / tokensPerEvent(place)
    }
    return this._parts.nowMs < patientUntilMs(item, ASSUMED_TOKEN_MS * tokensPerEvent(place))
  }

  private _patientSlotsOf ({ place, candidates }: BatchChoice): number {
    let slotsCount = this._patientSlots.get(place.service)
    if (slotsCount === undefined) {
      slotsCount = this._parts.patientSlotsOf(place.service, candidates.map(({ engine }) => engine))
      this._patientSlots.set(place.service, slotsCount)
    }
    return slotsCount
  }
}

export function tokensPerEvent ({ modelEngine }: RunPlace): number {
  return modelEngine?.tokensPerEvent ?? 1
}

function choiceAmong (place: RunPlace, candidates: Candidate[], comparedAtCount: number): BatchChoice {
  return { place, candidates, isFull: false, isFullForPatient: false, cheapest: new Map(), comparedAtCount }
}

function candidateOf (engine: Engine, place: RunPlace): Candidate {
  const load = loadOf(engine, ASSUMED_TOKEN_MS * tokensPerEvent(place), place.modelEngine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY)
  // One run alone where it has yet to show that slowness has passed.
  return { ...load, mostRunsCount: load.isInDoubt ? 1 : engine.endpoint.slotsCount }
}

/** @param mostRunsCount runs up to which an engine counts; undefined counts full ones too */
function cheapest (candidates: readonly Candidate[], mostRunsCount: number | undefined): Candidate | undefined {
  let best: Candidate | undefined
  let lowestCostMs = Number.POSITIVE_INFINITY
  for (const candidate of candidates) {
    const { engine } = candidate
    if (mostRunsCount !== undefined && engine.runningCount >= Math.min(mostRunsCount, candidate.mostRunsCount)) continue
    // One that is on trial takes a run at a time, and may have got it in this round.
    if (candidate.isInDoubt && !engine.health.isOpen) continue
    const costMs = eventCostMs(candidate)
    if (costMs >= lowestCostMs) continue
    best = candidate
    lowestCostMs = costMs
  }
  return best
}
