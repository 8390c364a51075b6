/**
 * One pass over all waiting items. The engines that may run an item are computed
 * once per batch; the time per event and the health of each engine are also read once per batch.
 * Without this sharing, 500 items of four trainers and 31 engines blocked the
 * event loop of the store leader for longer than the heartbeat timeout, so that
 * it lost its leadership at every step.
 */
import { CandidateSet, type Candidate, type Tier } from './candidateSet.js'
import type { Engine } from './engineFleet.js'
import { KIND_RATIO, type EngineKind } from './engineKinds.js'
import { ASSUMED_TOKEN_MS, shouldWaitForFaster } from './itemOrder.js'
import { tokensPerEvent, type Placement } from './placement.js'
import type { SchedulableBatch, SchedulableItem } from './schedulableItem.js'
import { deferrableUntilMs } from './slotSharing.js'
import type { StartingKind } from './stepPlacement.js'

/** Runs by which an engine of the item's group may exceed the least busy one of its kind, for an item that has time. */
const MAX_FURTHER_RUNS_COUNT = 1

/** Longest wait for a slot of an item's kind while a slower engine is free: an engine of full slots frees one more often, and weights take as long to load. */
const MAX_KIND_WAIT_MS = 1_500

/** Where engines differ by nature: what placement by kind rests on. */
export interface KindChoice {
  /** The kinds of a service's engines, fastest first. */
  kindsOf: (service: string) => readonly EngineKind[]
  /** The kind on which an item starts; undefined while all engines are of one kind. */
  startingKindOf: (run: SchedulableItem) => StartingKind | undefined
  /** The engines that have run items of the same group. */
  enginesOfGroup: (run: SchedulableItem) => readonly Engine[]
}

export interface AssignmentRoundOptions {
  nowMs: number
  placementOf: (run: SchedulableItem) => Placement | undefined
  enginesOf: (service: string) => Engine[]
  /** Runs of an engine up to which deferrable items may start there. */
  deferrableSlotsOf: (service: string, engines: Engine[]) => number
  /** Absent where engines count as of one kind. */
  kindChoice?: KindChoice
}

interface KindRequest {
  kind: StartingKind
  isDeferrable: boolean
  waitedMs: number
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
    const kind = candidateSet.tiers.length > 0 ? this._options.kindChoice?.startingKindOf(run) : undefined
    return kind ? this._chooseByKind(run, candidateSet, { kind, isDeferrable, waitedMs }) : this._chooseByLoad(run, candidateSet, isDeferrable, waitedMs)
  }

  /** Chooses among engines of one kind. */
  private _chooseByLoad (run: SchedulableItem, candidateSet: CandidateSet, isDeferrable: boolean, waitedMs: number): Engine | undefined {
    if (isDeferrable && candidateSet.isFullForDeferrable) return undefined
    const free = this._cheapest(candidateSet, candidateSet.whole, isDeferrable ? this._deferrableSlotsOf(candidateSet) : Number.POSITIVE_INFINITY)
    if (!free) {
      candidateSet.isFullForDeferrable = true
      candidateSet.isFull ||= !isDeferrable
      return undefined
    }
    const best = this._cheapest(candidateSet, candidateSet.whole, undefined) ?? free
    if (best === free) return free.engine
    const remainingEventsCount = remainingEventsCountOf(run, candidateSet)
    return shouldWaitForFaster({ freeGapMs: free.gapMs, fullGapMs: best.gapMs, remainingEventsCount, waitedMs }) ? undefined : free.engine
  }

  /**
   * Tries the kind on which the item starts, then faster ones, then slower ones. An item
   * that can wait leaves half of a faster engine to those that need it.
   */
  private _chooseByKind (run: SchedulableItem, candidateSet: CandidateSet, { kind, isDeferrable, waitedMs }: KindRequest): Engine | undefined {
    const { tiers } = candidateSet
    const isSuitable = ({ gapMs }: Tier): boolean => gapMs <= KIND_RATIO * kind.gapMs
    const isNeeded = ({ gapMs }: Tier): boolean => kind.neededGapMs < kind.gapMs && gapMs <= KIND_RATIO * kind.neededGapMs
    const suitable = tiers.filter(isSuitable).reverse()
    const ownSlotsCount = isDeferrable ? this._deferrableSlotsOf(candidateSet) : Number.POSITIVE_INFINITY
    const choices = [
      ...suitable.filter(isNeeded).map(tier => ({ tier, slotsCount: halfOf(tier) })),
      ...suitable.map((tier, position) => ({ tier, slotsCount: position > 0 && isDeferrable ? halfOf(tier) : ownSlotsCount }))
    ]
    for (const { tier, slotsCount } of choices) {
      const free = this._cheapest(candidateSet, tier, slotsCount)
      if (free) return this._withGroup(run, candidateSet, { tier, slotsCount, isDeferrable }, free).engine
    }
    for (const tier of tiers.filter(other => !isSuitable(other))) {
      const free = this._cheapest(candidateSet, tier, ownSlotsCount)
      if (!free) continue
      return this._waitsForKind(run, candidateSet, { startingGapMs: kind.gapMs, freeGapMs: tier.gapMs, waitedMs }) ? undefined : free.engine
    }
    candidateSet.isFull = this._cheapest(candidateSet, candidateSet.whole, Number.POSITIVE_INFINITY) === undefined
    return undefined
  }

  /** Whether an item waits for its kind although a slower engine is free: for as long as it would lose there, within a bound. */
  private _waitsForKind (run: SchedulableItem, candidateSet: CandidateSet, { startingGapMs, freeGapMs, waitedMs }: { startingGapMs: number, freeGapMs: number, waitedMs: number }): boolean {
    const isExpected = candidateSet.tiers.some(({ gapMs }) => gapMs <= KIND_RATIO * startingGapMs) || this._isBeingLoaded(run, candidateSet, startingGapMs)
    if (!isExpected || waitedMs >= MAX_KIND_WAIT_MS) return false
    return shouldWaitForFaster({ freeGapMs, fullGapMs: startingGapMs, remainingEventsCount: remainingEventsCountOf(run, candidateSet), waitedMs })
  }

  /** Whether an engine of an item's kind is about to have its weights. */
  private _isBeingLoaded ({ item, batch }: SchedulableItem, { placement }: CandidateSet, startingGapMs: number): boolean {
    const kinds = this._options.kindChoice?.kindsOf(placement.service) ?? []
    const suitable = kinds.filter(({ gapMs }) => gapMs <= KIND_RATIO * startingGapMs).flatMap(({ engines }) => engines)
    return suitable.some(({ load }) => load?.model === item.model && load.version >= batch.submission.minVersion)
  }

  /** Prefers an engine that has the prompt of the item's group, where that costs the step nothing. */
  private _withGroup (run: SchedulableItem, candidateSet: CandidateSet, { tier, slotsCount, isDeferrable }: { tier: Tier, slotsCount: number, isDeferrable: boolean }, cheapest: Candidate): Candidate {
    const engines = this._options.kindChoice?.enginesOfGroup(run) ?? []
    return candidateSet.preferred(engines, cheapest, tier, slotsCount, isDeferrable ? MAX_FURTHER_RUNS_COUNT : 0)
  }

  /** Candidates for an item with restrictions of its own; engines at which the item has failed only count when there is no other engine. */
  private _restrictedCandidatesFor (run: SchedulableItem): CandidateSet | undefined {
    const shared = this._candidatesFor(run)
    if (!shared) return undefined
    const untried = shared.filter(engine => !run.avoids(engine))
    return untried.engines.length > 0 ? untried : shared
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
    const engines = this._options.enginesOf(placement.service).filter(engine => engine.acceptsRuns(item.model) && engine.version(item.model) >= minVersion)
    const candidateSet = CandidateSet.of(placement, engines, this._options.kindChoice?.kindsOf(placement.service) ?? [])
    candidateSets.set(placement.service, candidateSet)
    return candidateSet
  }

  private _cheapest (candidateSet: CandidateSet, tier: Tier, maxRunsCount: number | undefined): Candidate | undefined {
    return candidateSet.cheapest(tier, maxRunsCount, this._assignedCount)
  }

  private _isDeferrable (run: SchedulableItem, placement: Placement): boolean {
    const item = {
      longestEndsAtMs: Math.min(run.times.longestEndsAtMs, run.dueAtMs),
      remainingEventsCount: run.remainingTokensCount / tokensPerEvent(placement)
    }
    return this._options.nowMs < deferrableUntilMs(item, ASSUMED_TOKEN_MS * tokensPerEvent(placement))
  }

  private _deferrableSlotsOf ({ placement, engines }: CandidateSet): number {
    let slotsCount = this._deferrableSlots.get(placement.service)
    if (slotsCount === undefined) {
      slotsCount = this._options.deferrableSlotsOf(placement.service, engines)
      this._deferrableSlots.set(placement.service, slotsCount)
    }
    return slotsCount
  }
}

function remainingEventsCountOf (run: SchedulableItem, { placement }: CandidateSet): number {
  return run.remainingTokensCount / tokensPerEvent(placement)
}

/** Half of the slots of a tier's engines. */
function halfOf ({ candidates }: Tier): number {
  return Math.floor(Math.max(...candidates.map(({ engine }) => engine.endpoint.slotsCount)) / 2)
}
