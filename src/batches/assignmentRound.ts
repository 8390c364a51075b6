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
import { deferrableUntilMs } from './slotSharing.js'

/** Where the items of a run's batch may go. */
export interface Placement {
  service: string
  modelEngine: ModelEngine | undefined
}

/** An engine with weights that fit, at the moment of the round. */
interface Candidate extends EngineLoad {
  /** Runs up to which another one may begin. */
  maxRunsCount: number
}

export interface AssignmentRoundOptions {
  nowMs: number
  placementOf: (run: ItemRun) => Placement | undefined
  enginesOf: (service: string) => Engine[]
  /** Slots of an engine up to which items begin that can wait. */
  deferrableSlotsOf: (service: string, engines: Engine[]) => number
}

/** What is the same for all items of a batch. */
interface CandidateSet {
  placement: Placement
  candidates: Candidate[]
  /** No engine has room for an item; slots are only taken during a round, so this stays. */
  isFull: boolean
  /** The same for items that can wait. */
  isFullForDeferrable: boolean
  /** The best candidates by the runs up to which an engine counts, as long as no slot was taken since. */
  cheapest: Map<number | undefined, Candidate | undefined>
  /** Slots that this round had given when they were compared. */
  assignedCountAtComparison: number
}

export class AssignmentRound {
  private readonly _options: AssignmentRoundOptions
  /** By batch and service. */
  private readonly _candidateSets = new Map<Batch, Map<string, CandidateSet>>()
  private readonly _deferrableSlots = new Map<string, number>()
  /** Slots that were given; the engines compare as they did until the next one is. */
  private _assignedCount = 0

  constructor (options: AssignmentRoundOptions) {
    this._options = options
  }

  /**
   * The engine to begin at now; undefined when none has room, or when one that is
   * worth waiting for will have. The slot has to be taken before the next call.
   */
  engineFor (run: ItemRun, waitedMs: number): Engine | undefined {
    const engine = this._choose(run, waitedMs)
    if (engine) this._assignedCount++
    return engine
  }

  private _choose (run: ItemRun, waitedMs: number): Engine | undefined {
    const candidateSet = run.isRestricted ? this._restrictedCandidatesFor(run) : this._candidatesFor(run)
    if (!candidateSet || candidateSet.isFull) return undefined
    const isDeferrable = this._isDeferrable(run, candidateSet.placement)
    if (isDeferrable && candidateSet.isFullForDeferrable) return undefined
    const free = this._cheapest(candidateSet, isDeferrable ? this._deferrableSlotsOf(candidateSet) : Number.POSITIVE_INFINITY)
    if (!free) {
      candidateSet.isFullForDeferrable = true
      candidateSet.isFull ||= !isDeferrable
      return undefined
    }
    const best = this._cheapest(candidateSet, undefined) ?? free
    if (best === free) return free.engine
    const remainingEventsCount = run.remainingTokensCount / tokensPerEvent(candidateSet.placement)
    return shouldWaitForFaster({ freeGapMs: free.gapMs, fullGapMs: best.gapMs, remainingEventsCount, waitedMs }) ? undefined : free.engine
  }

  /** For an item that may not go wherever the rest of its batch may. */
  private _restrictedCandidatesFor (run: ItemRun): CandidateSet | undefined {
    const shared = this._candidatesFor(run)
    if (!shared) return undefined
    const allowed = shared.candidates.filter(({ engine }) => run.mayRunOn(engine))
    const untried = allowed.filter(({ engine }) => !run.avoids(engine))
    return candidateSetOf(shared.placement, untried.length > 0 ? untried : allowed, this._assignedCount)
  }

  private _candidatesFor (run: ItemRun): CandidateSet | undefined {
    const { batch, item } = run
    const placement = this._options.placementOf(run)
    if (!placement) return undefined
    const candidateSets = this._candidateSets.get(batch) ?? new Map<string, CandidateSet>()
    this._candidateSets.set(batch, candidateSets)
    const existing = candidateSets.get(placement.service)
    if (existing) return existing
    const { minVersion } = batch.submission
    const candidates = this._options.enginesOf(placement.service).filter(engine => engine.mayBegin(item.model) && engine.version(item.model) >= minVersion)
    const candidateSet = candidateSetOf(placement, candidates.map(engine => candidateOf(engine, placement)), this._assignedCount)
    candidateSets.set(placement.service, candidateSet)
    return candidateSet
  }

  /** Compares the engines only after a slot was taken: hundreds of items may wait for a faster engine than the one that is free. */
  private _cheapest (candidateSet: CandidateSet, maxRunsCount: number | undefined): Candidate | undefined {
    if (candidateSet.assignedCountAtComparison !== this._assignedCount) {
      candidateSet.cheapest.clear()
      candidateSet.assignedCountAtComparison = this._assignedCount
    }
    if (!candidateSet.cheapest.has(maxRunsCount)) candidateSet.cheapest.set(maxRunsCount, cheapest(candidateSet.candidates, maxRunsCount))
    return candidateSet.cheapest.get(maxRunsCount)
  }

  private _isDeferrable (run: ItemRun, placement: Placement): boolean {
    const item = {
      longestEndsAtMs: Math.min(run.times.longestEndsAtMs, run.dueAtMs),
      remainingEventsCount: run.remainingTokensCount / tokensPerEvent(placement)
    }
    return this._options.nowMs < deferrableUntilMs(item, ASSUMED_TOKEN_MS * tokensPerEvent(placement))
  }

  private _deferrableSlotsOf ({ placement, candidates }: CandidateSet): number {
    let slotsCount = this._deferrableSlots.get(placement.service)
    if (slotsCount === undefined) {
      slotsCount = this._options.deferrableSlotsOf(placement.service, candidates.map(({ engine }) => engine))
      this._deferrableSlots.set(placement.service, slotsCount)
    }
    return slotsCount
  }
}

export function tokensPerEvent ({ modelEngine }: Placement): number {
  return modelEngine?.tokensPerEvent ?? 1
}

function candidateSetOf (placement: Placement, candidates: Candidate[], assignedCountAtComparison: number): CandidateSet {
  return { placement, candidates, isFull: false, isFullForDeferrable: false, cheapest: new Map(), assignedCountAtComparison }
}

function candidateOf (engine: Engine, placement: Placement): Candidate {
  const load = loadOf(engine, ASSUMED_TOKEN_MS * tokensPerEvent(placement), placement.modelEngine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY)
  // One run alone where it has yet to show that slowness has passed.
  return { ...load, maxRunsCount: load.isUncertain ? 1 : engine.endpoint.slotsCount }
}

/** @param maxRunsCount runs up to which an engine counts; undefined counts full ones too */
function cheapest (candidates: readonly Candidate[], maxRunsCount: number | undefined): Candidate | undefined {
  let best: Candidate | undefined
  let lowestCostMs = Number.POSITIVE_INFINITY
  for (const candidate of candidates) {
    const { engine } = candidate
    if (maxRunsCount !== undefined && engine.runningCount >= Math.min(maxRunsCount, candidate.maxRunsCount)) continue
    // One that is on trial takes a run at a time, and may have got it in this round.
    if (candidate.isUncertain && !engine.health.isOpen) continue
    const costMs = eventCostMs(candidate)
    if (costMs >= lowestCostMs) continue
    best = candidate
    lowestCostMs = costMs
  }
  return best
}
