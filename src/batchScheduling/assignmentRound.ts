/**
 * One pass over all waiting items. The engines that may run an item are computed
 * once per batch; the time per event and the health of each engine are also read once per batch.
 * Without this sharing, 500 items of four trainers and 31 engines blocked the
 * event loop of the store leader for longer than the heartbeat timeout, so that
 * it lost its leadership at every step.
 */
import type { ModelEngine } from '../protocol/routing.js'
import type { Engine } from './engineFleet.js'
import { ASSUMED_TOKEN_MS, eventCostMs, loadOf, shouldWaitForFaster, type EngineLoad } from './itemOrder.js'
import type { SchedulableBatch, SchedulableItem } from './schedulableItem.js'
import { deferrableUntilMs } from './slotSharing.js'

/** The service at which an item runs. */
export interface Placement {
  service: string
  modelEngine: ModelEngine | undefined
}

/** An engine whose weights are new enough, with its load at the start of the round. */
interface Candidate extends EngineLoad {
  /** Another run may start while the engine has fewer runs than this. */
  maxRunsCount: number
}

export interface AssignmentRoundOptions {
  nowMs: number
  placementOf: (run: SchedulableItem) => Placement | undefined
  enginesOf: (service: string) => Engine[]
  /** Runs of an engine up to which deferrable items may start there. */
  deferrableSlotsOf: (service: string, engines: Engine[]) => number
}

/** The engines that items of a batch may use at one service; shared by all items of the batch without restrictions of their own. */
interface CandidateSet {
  placement: Placement
  candidates: Candidate[]
  /** No engine has a free slot. Slots are only taken during a round, so this never changes back. */
  isFull: boolean
  /** No engine has a slot that a deferrable item may take. */
  isFullForDeferrable: boolean
  /** The cheapest candidate by run limit; cleared after a slot is assigned. */
  cheapest: Map<number | undefined, Candidate | undefined>
  /** Value of the round's `_assignedCount` when `cheapest` was last filled. */
  assignedCountAtComparison: number
}

export class AssignmentRound {
  private readonly _options: AssignmentRoundOptions
  /** By batch and service. */
  private readonly _candidateSets = new Map<SchedulableBatch, Map<string, CandidateSet>>()
  private readonly _deferrableSlots = new Map<string, number>()
  /** Slots assigned in this round; the ranking of the engines can only change when this count grows. */
  private _assignedCount = 0

  constructor (options: AssignmentRoundOptions) {
    this._options = options
  }

  /**
   * The engine on which to start the run now; undefined when none has a free slot, or
   * when it is better to wait for a faster one. The caller takes the slot before the next call.
   */
  engineFor (run: SchedulableItem, waitedMs: number): Engine | undefined {
    const engine = this._choose(run, waitedMs)
    if (engine) this._assignedCount++
    return engine
  }

  private _choose (run: SchedulableItem, waitedMs: number): Engine | undefined {
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

  /** Candidates for an item with restrictions of its own; engines at which the item has failed only count when there is no other engine. */
  private _restrictedCandidatesFor (run: SchedulableItem): CandidateSet | undefined {
    const shared = this._candidatesFor(run)
    if (!shared) return undefined
    const allowed = shared.candidates.filter(({ engine }) => run.mayRunOn(engine))
    const untried = allowed.filter(({ engine }) => !run.avoids(engine))
    return candidateSetOf(shared.placement, untried.length > 0 ? untried : allowed, this._assignedCount)
  }

  private _candidatesFor (run: SchedulableItem): CandidateSet | undefined {
    const { batch, item } = run
    const placement = this._options.placementOf(run)
    if (!placement) return undefined
    const candidateSets = this._candidateSets.get(batch) ?? new Map<string, CandidateSet>()
    this._candidateSets.set(batch, candidateSets)
    const existing = candidateSets.get(placement.service)
    if (existing) return existing
    const { minVersion } = batch.submission
    const candidates = this._options.enginesOf(placement.service).filter(engine => engine.acceptsRuns(item.model) && engine.version(item.model) >= minVersion)
    const candidateSet = candidateSetOf(placement, candidates.map(engine => candidateOf(engine, placement)), this._assignedCount)
    candidateSets.set(placement.service, candidateSet)
    return candidateSet
  }

  /** Compares the engines again only after a slot was taken, since hundreds of items may wait for a faster engine than the free one. */
  private _cheapest (candidateSet: CandidateSet, maxRunsCount: number | undefined): Candidate | undefined {
    if (candidateSet.assignedCountAtComparison !== this._assignedCount) {
      candidateSet.cheapest.clear()
      candidateSet.assignedCountAtComparison = this._assignedCount
    }
    if (!candidateSet.cheapest.has(maxRunsCount)) candidateSet.cheapest.set(maxRunsCount, cheapest(candidateSet.candidates, maxRunsCount))
    return candidateSet.cheapest.get(maxRunsCount)
  }

  private _isDeferrable (run: SchedulableItem, placement: Placement): boolean {
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
  // An engine that may still be slow gets a single run as a probe. One that had failed gets the next as soon as it has begun the last.
  return { ...load, maxRunsCount: engine.pace.needsProbe ? 1 : engine.endpoint.slotsCount }
}

/** @param maxRunsCount considers engines with fewer runs than this; undefined also considers full engines */
function cheapest (candidates: readonly Candidate[], maxRunsCount: number | undefined): Candidate | undefined {
  let best: Candidate | undefined
  let lowestCostMs = Number.POSITIVE_INFINITY
  for (const candidate of candidates) {
    const { engine } = candidate
    if (maxRunsCount !== undefined && engine.runningCount >= Math.min(maxRunsCount, candidate.maxRunsCount)) continue
    // A probing engine accepts one run at a time and may have got that run earlier in this round.
    if (candidate.isUncertain && !engine.health.isAvailable) continue
    const costMs = eventCostMs(candidate)
    if (costMs >= lowestCostMs) continue
    best = candidate
    lowestCostMs = costMs
  }
  return best
}
